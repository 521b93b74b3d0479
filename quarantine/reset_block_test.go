package quarantine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

func TestBlockOnResetsOfLiveEnginesIsLifted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newGroup(t, 1)
		for i := range 3 {
			d.crash(0, fmt.Sprintf("e%d", i), []string{"rare"})
		}
		d.sleep(200 * time.Millisecond)
		d.is.True(!d.admits(0, "rare"))
		d.sleep(350 * time.Millisecond)
		for i := range 3 {
			d.serve(0, fmt.Sprintf("e%d", i), "shared")
		}
		for _, crash := range d.list[0].Evidence(0).Crashes {
			d.is.True(crash.Refuted)
		}
		d.is.True(d.admits(0, "rare"))
	})
}
