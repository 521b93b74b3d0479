package billing_test

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"quincewinch/models"
)

// TestHolderThatRemainsReportsAllWindows guards against windows that are withheld
// after a restore although no daemon lost its counts.
func TestHolderThatRemainsReportsAllWindows(t *testing.T) {
	for _, age := range []time.Duration{time.Second, 3 * time.Second, 8 * time.Second, 19 * time.Second} {
		t.Run(age.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newRestoreCluster(1, 3)
				c.sleep(10 * time.Second) // traffic begins after the first takeover
				c.run(4*window+window/3, false)
				c.restore(age)
				c.run(4*window, false)
				c.sleep(3 * latest)
				c.stop()
				c.emulated.Close()
				synctest.Wait()
				for _, violation := range c.check(false) {
					t.Error(violation)
				}
				reported := map[int64]map[models.Workspace]int64{}
				for _, r := range c.receiver.reports {
					reported[r.window] = r.counts
				}
				for _, number := range slices.Sorted(maps.Keys(c.counted)) {
					if !maps.Equal(reported[number], c.counted[number]) {
						t.Errorf("window %d reported as %v, want %v", number, reported[number], c.counted[number])
					}
				}
			})
		})
	}
}
