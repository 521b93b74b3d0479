package quarantine_test

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestProbesAreApartEvenAtTheTurnOfAnInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newGroup(t, 8)
		d.block()
		d.sleep(time.Minute - 200*time.Millisecond)
		// Requests come only around every second turn of an interval.
		var sent []time.Time
		for range 24 {
			for range 20 {
				for i := range d.list {
					if d.admits(i, "bad") {
						sent = append(sent, d.clock.Now())
					}
				}
				d.sleep(20 * time.Millisecond)
			}
			d.sleep(9600 * time.Millisecond)
		}
		for i := 1; i < len(sent); i++ {
			d.is.True(sent[i].Sub(sent[i-1]) >= 2*time.Second)
		}
	})
}
