package billing_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"quincewinch/models"
)

// TestFrozenRowOfEarlierEraIsNotReported guards against a second report of a
// window with the counts of a row that an earlier holder's write left late.
func TestFrozenRowOfEarlierEraIsNotReported(t *testing.T) {
	for _, killed := range []bool{false, true} {
		t.Run(fmt.Sprintf("holder is killed: %t", killed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newRestoreCluster(1, 2)
				c.runUntil(func() bool { return c.holder() >= 0 })
				number := windowOf(c.clock.Now()) + 1
				middle := time.Unix(0, number*int64(window)).Add(window / 2)
				c.runUntil(func() bool { return !c.clock.Now().Before(middle) })
				c.receiver.setLoseAnswer(func() bool { return true })
				c.runUntil(func() bool { return c.receiver.received(number) })
				c.receiver.setLoseAnswer(nil)
				c.restore(c.clock.Now().Sub(middle))
				c.emulated.Put(string(models.PartitionUsage), fmt.Sprintf("frozen/%012d", number), []byte(`{"era":1,"requests":{"w0":1}}`))
				if killed {
					c.restart(c.holder())
				}
				c.run(3*lease, false)
				violations, _ := c.finish()
				for _, violation := range violations {
					t.Error(violation)
				}
			})
		})
	}
}
