package quarantine_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// Each change sends all evidence to all daemons.
func TestFurtherAnswersToAClearedPartAreNoNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newGroup(t, 1)
		d.crash(0, "e0", []string{"shared"})
		d.sleep(10 * time.Second)
		d.serve(0, "e1", "shared")
		before, _ := d.list[0].Revision()
		for range 600 {
			d.serve(0, "e1", "shared")
		}
		after, _ := d.list[0].Revision()
		d.is.Equal(after, before)
	})
}

// A block may outlive the crashes that it rests on.
func TestBlockOfAnAnsweredPartIsNotTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newGroup(t, 2)
		for _, engine := range []string{"e0", "e1", "e2"} {
			d.crash(0, engine, []string{"shared"})
		}
		d.sleep(300 * time.Millisecond)
		d.is.True(!d.admits(0, "shared"))
		d.serve(1, "e9", "shared")
		share := d.list[0].Evidence(0)
		share.Crashes = nil
		d.list[1].Learn(share)
		d.is.True(d.admits(1, "shared"))
		d.list[0].Learn(d.list[1].Evidence(0))
		d.is.True(d.admits(0, "shared"))
	})
}
