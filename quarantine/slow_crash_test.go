package quarantine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Under load an engine begins to answer seconds after it got a request, and more
// crash by then.
func TestPartIsBlockedInTimeWhereEnginesCrashLate(t *testing.T) {
	const (
		step          = 250 * time.Millisecond // between two requests with the part
		timeToCrash   = 3 * time.Second        // from when a request is sent
		maxTooLate    = 3
		crashesBefore = 5
	)
	synctest.Test(t, func(t *testing.T) {
		d := newGroup(t, 1)
		var underWay []func(bool)
		var crashes, tooLate int
		var fifth time.Time
		for i := range 60 {
			if d.admits(0, "shared", "bad") {
				underWay = append(underWay, d.run(0, fmt.Sprintf("e%d", i), "shared", "bad"))
				if crashes >= crashesBefore && d.clock.Now().Sub(fifth) > contact {
					tooLate++
				}
			} else {
				underWay = append(underWay, nil)
			}
			d.serve(0, "sound", "shared", "x")
			d.sleep(step - 100*time.Millisecond)
			if n := i - int(timeToCrash/step); n >= 0 && underWay[n] != nil {
				underWay[n](false)
				crashes++
				if crashes == crashesBefore {
					fifth = d.clock.Now()
				}
			}
		}
		d.is.True(crashes > crashesBefore)
		d.is.True(tooLate <= maxTooLate)
	})
}
