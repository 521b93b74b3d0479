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
