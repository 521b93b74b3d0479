package quarantine_test

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestProbeThatALiveEngineResetsDoesNotRenewTheBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newGroup(t, 1)
		for _, engine := range []string{"e0", "e1", "e2"} {
			d.crash(0, engine, []string{"rare"})
		}
		d.sleep(300 * time.Millisecond)
		d.is.True(!d.admits(0, "rare"))
		d.sleep(time.Minute)
		d.is.True(d.admits(0, "rare"))
		d.crash(0, "e9", []string{"rare"})
		d.sleep(600 * time.Millisecond)
		d.serve(0, "e9", "shared")
		d.sleep(10 * time.Second)
		d.is.True(d.admits(0, "rare"))
	})
}
