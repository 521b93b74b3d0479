package quarantine_test

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestNoSecondProbeWhileOneIsUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newGroup(t, 1)
		for _, engine := range []string{"e0", "e1", "e2"} {
			d.crash(0, engine, []string{"bad"})
		}
		d.sleep(300 * time.Millisecond)
		d.is.True(!d.admits(0, "bad"))
		d.sleep(time.Minute)
		d.is.True(d.admits(0, "bad"))
		end := d.run(0, "e3", "bad")
		d.sleep(8 * time.Second) // it waits for its prefill
		d.is.True(!d.admits(0, "bad"))
		end(true)
		d.is.True(d.admits(0, "bad"))
	})
}
