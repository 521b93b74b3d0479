package billing_test

import (
	"context"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"quincewinch/models"
)

// TestWindowsWithoutRestore guards against windows that are withheld although the
// store never returned from an older copy.
func TestWindowsWithoutRestore(t *testing.T) {
	stop := func(c *restoreCluster, i int) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		c.processes[i].leases.Release(ctx)
		c.processes[i].counter.Flush(ctx)
		c.restart(i)
	}
	tests := []struct {
		name string
		run  func(c *restoreCluster)
		// exact: no counts are lost with a process.
		exact bool
	}{
		{"daemons stop in turn", func(c *restoreCluster) {
			for i := range c.processes {
				stop(c, i)
				c.run(2*lease, false)
			}
		}, true},
		{"holder is killed", func(c *restoreCluster) {
			c.restart(c.holder())
		}, false},
		{"all daemons are killed", func(c *restoreCluster) {
			for i := range c.processes {
				c.restart(i)
			}
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newRestoreCluster(1, 3)
				c.sleep(10 * time.Second) // traffic begins after the first takeover
				c.run(4*window, false)
				test.run(c)
				c.run(4*window, false)
				c.sleep(3 * latest)
				c.stop()
				c.emulated.Close()
				synctest.Wait()
				for _, violation := range c.check(test.exact) {
					t.Error(violation)
				}
				reported := map[int64]map[models.Workspace]int64{}
				for _, r := range c.receiver.reports {
					reported[r.window] = r.counts
				}
				for _, number := range slices.Sorted(maps.Keys(c.counted)) {
					if reported[number] == nil {
						t.Errorf("window %d is not reported", number)
					}
				}
			})
		})
	}
}
