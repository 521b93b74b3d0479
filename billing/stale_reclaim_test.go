package billing_test

import (
	"testing"
	"testing/synctest"
	"time"

	"quincewinch/platform/emulator"
)

// TestWindowOfAnotherHolderAcrossRestores guards against a second report by a
// holder that counts as continuing although another one reported in between.
func TestWindowOfAnotherHolderAcrossRestores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRestoreCluster(1, 2)
		c.runUntil(func() bool { return c.holder() >= 0 })
		c.run(2*window, false)
		first := c.holder()
		c.restore(100 * time.Millisecond)
		c.connections[first].Set(emulator.FaultLate, time.Hour) // it reads, but cannot take the lease back
		c.runUntil(func() bool { return c.holder() >= 0 && c.holder() != first })
		second := c.holder()
		c.connections[first].Set(emulator.FaultNone, 0)
		number := windowOf(c.clock.Now()) + 2
		middle := time.Unix(0, number*int64(window)).Add(window / 2)
		c.runUntil(func() bool { return !c.clock.Now().Before(middle) })
		c.runUntil(func() bool { return c.receiver.received(number) })
		c.restart(second)
		c.receiver.setLoseAnswer(func() bool { return true })
		c.runUntil(func() bool { return c.holder() == first })
		c.run(time.Second, false)
		c.restore(c.clock.Now().Sub(middle))
		c.receiver.setLoseAnswer(nil)
		c.run(3*lease, false)
		violations, _ := c.finish()
		for _, violation := range violations {
			t.Error(violation)
		}
	})
}
