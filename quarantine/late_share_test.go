package quarantine_test

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestCrashOfALateShareCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newGroup(t, 2)
		d.crash(0, "e0", []string{"rare"})
		d.crash(0, "e1", []string{"rare"})
		share := d.list[0].Evidence(0)
		d.list[1].Learn(share)
		d.sleep(3 * time.Second)
		d.list[1].Learn(share) // the sender or the receiver was frozen
		d.sleep(300 * time.Millisecond)
		d.is.True(d.admits(1, "rare"))
		d.is.Equal(len(d.list[1].Evidence(0).Crashes), 2)
	})
}
