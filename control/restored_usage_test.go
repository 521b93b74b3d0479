package control_test

import (
	"context"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/control"
	"quincewinch/models"
	standin "quincewinch/standin/platform"
)

// restoredUsage is two daemons that count usage, and a closer of windows.
type restoredUsage struct {
	storeFixture
	meter, other *control.Meter
	table        *staleReadTable // of meter
	leases       *settableAuthority
	closer       *control.WindowCloser
	fence        uint64
}

func newRestoredUsage(t *testing.T) *restoredUsage {
	t.Helper()
	b := newStoreFixture(t, true)
	platformClock := control.NewPlatformClock()
	platformClock.Observe(clock.Now(), clock.Now(), clock.Now())
	table := &staleReadTable{UsageTable: b.store}
	newMeter := func(id models.DaemonID, table control.UsageTable) *control.Meter {
		return control.NewMeter(id, table, clock, platformClock, discardTimeline{}, windows)
	}
	leases := &settableAuthority{}
	return &restoredUsage{
		storeFixture: b,
		meter:        newMeter("d", table),
		other:        newMeter("e", b.store),
		table:        table,
		leases:       leases,
		closer:       control.NewWindowCloser(b.store, standin.NewUsage(b.store), leases, clock, platformClock, discardTimeline{}, windows),
	}
}

// row returns a row of the usage partition.
func (r *restoredUsage) row(t *testing.T, name string) models.Row {
	t.Helper()
	is := is.New(t)
	rows, err := r.store.Read(t.Context(), models.RowKey{Partition: models.PartitionUsage, Name: name})
	is.NoErr(err)
	is.Equal(len(rows), 1)
	return rows[0]
}

// closeWindows closes and reports the windows whose grace period has passed.
func (r *restoredUsage) closeWindows(t *testing.T) {
	t.Helper()
	r.fence++
	r.leases.authority = r.takeOver(t, r.fence)
	r.closer.Step(t.Context())
}

// closeWindowsAgain closes windows after a restore, without the counts of meter.
func (r *restoredUsage) closeWindowsAgain(t *testing.T) {
	t.Helper()
	sleep(t, windows.Grace)
	r.closeWindows(t)
	sleep(t, windows.Grace)
	r.closeWindows(t)
}

// TestRestoredUsageNearWindowEnd returns the table to a copy without the counts
// of a daemon, about when the window is closed and reported.
func TestRestoredUsageNearWindowEnd(t *testing.T) {
	run := func(name string, test func(t *testing.T, is *is.I, r *restoredUsage, copied uint64)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newRestoredUsage(t)
				r.other.Count("w", clock.Now(), models.Usage{Requests: 2})
				is.NoErr(r.other.Flush(t.Context()))
				copied := r.store.Revision().Version()
				r.meter.Count("w", clock.Now(), models.Usage{Requests: 3})
				is.NoErr(r.meter.Flush(t.Context()))
				test(t, is, r, copied)
			})
		})
	}
	run("counts reported before are not moved to another window", func(t *testing.T, is *is.I, r *restoredUsage, copied uint64) {
		ended := clock.Now()
		sleep(t, 20*time.Second)
		r.closeWindows(t)
		is.Equal(r.reportedRequests(), int64(5))
		r.store.Restore(copied)
		r.closeWindowsAgain(t)
		r.meter.Count("w", ended, models.Usage{Requests: 1})
		is.NoErr(r.meter.Flush(t.Context()))
		is.NoErr(r.meter.Flush(t.Context()))
		sleep(t, 20*time.Second)
		r.closeWindows(t)
		is.Equal(r.reportedRequests(), int64(6)) // as many as were counted
	})
	run("counts that cannot have been reported are moved to another window", func(t *testing.T, is *is.I, r *restoredUsage, copied uint64) {
		r.store.Restore(copied)
		r.store.SetFaults(standin.Faults{Down: true})
		is.True(r.meter.Flush(t.Context()) != nil)
		r.store.SetFaults(standin.Faults{})
		sleep(t, 20*time.Second)
		r.closeWindows(t)
		is.Equal(r.reportedRequests(), int64(2))
		is.NoErr(r.meter.Flush(t.Context())) // moves the counts
		is.NoErr(r.meter.Flush(t.Context())) // writes them
		sleep(t, 20*time.Second)
		r.closeWindows(t)
		is.Equal(r.reportedRequests(), int64(5))
	})
	run("counts whose write was not answered are not reported twice", func(t *testing.T, is *is.I, r *restoredUsage, copied uint64) {
		r.store.SetFaults(standin.Faults{LoseAnswer: func(models.Transaction) bool { return true }})
		r.meter.Count("w", clock.Now(), models.Usage{Requests: 1})
		is.True(r.meter.Flush(t.Context()) != nil)
		r.store.SetFaults(standin.Faults{})
		sleep(t, 20*time.Second)
		r.closeWindows(t)
		is.Equal(r.reportedRequests(), int64(6))
		r.store.Restore(copied)
		r.closeWindowsAgain(t)
		is.NoErr(r.meter.Flush(t.Context()))
		is.NoErr(r.meter.Flush(t.Context()))
		sleep(t, 20*time.Second)
		r.closeWindows(t)
		is.Equal(r.reportedRequests(), int64(6))
	})
	run("late count of a reported window that the copy has open is reported", func(t *testing.T, is *is.I, r *restoredUsage, copied uint64) {
		ended := clock.Now()
		sleep(t, 20*time.Second)
		r.closeWindows(t)
		r.store.Restore(copied)
		is.NoErr(r.meter.Flush(t.Context()))
		r.meter.Count("w", ended, models.Usage{Requests: 1})
		is.NoErr(r.meter.Flush(t.Context()))
		r.closeWindowsAgain(t)
		sleep(t, 20*time.Second)
		r.closeWindows(t)
		is.Equal(r.reportedRequests(), int64(6))
	})
	run("counts that were never written are reported", func(t *testing.T, is *is.I, r *restoredUsage, copied uint64) {
		r.store.Restore(copied)
		r.store.SetFaults(standin.Faults{Down: true})
		is.True(r.meter.Flush(t.Context()) != nil)
		r.meter.Count("w", clock.Now(), models.Usage{Requests: 1})
		is.True(r.meter.Flush(t.Context()) != nil)
		r.store.SetFaults(standin.Faults{})
		sleep(t, 20*time.Second)
		r.closeWindows(t)
		is.Equal(r.reportedRequests(), int64(2))
		r.store.Restore(copied)
		is.NoErr(r.meter.Flush(t.Context()))
		r.closeWindowsAgain(t)
		sleep(t, 20*time.Second)
		r.closeWindows(t)
		is.Equal(r.reportedRequests(), int64(3)) // the others may have been reported with the two
	})
	run("row read from before the restore does not count as written again", func(t *testing.T, is *is.I, r *restoredUsage, copied uint64) {
		r.table.shown = []models.Row{r.row(t, "count/946684800/d")}
		r.store.Restore(copied)
		is.True(r.meter.Flush(t.Context()) != nil)
		r.table.shown = nil
		is.NoErr(r.meter.Flush(t.Context()))
		sleep(t, 20*time.Second)
		r.closeWindows(t)
		is.Equal(r.reportedRequests(), int64(5))
	})
	run("window is not closed before counts could be written again", func(t *testing.T, is *is.I, r *restoredUsage, copied uint64) {
		sleep(t, 20*time.Second)
		r.closer.Step(t.Context()) // without the lease
		r.store.Restore(copied)
		r.closeWindows(t)
		is.Equal(r.reportedRequests(), int64(0))
		is.NoErr(r.meter.Flush(t.Context()))
		sleep(t, windows.Grace)
		r.closeWindows(t)
		is.Equal(r.reportedRequests(), int64(5))
	})
}

const (
	// maxRestoreReach is the maximum age of the copy that the table returns from.
	maxRestoreReach = 5 * time.Second
	// restoreInterval is how often the schedules record a version to return to.
	restoreInterval = 500 * time.Millisecond
)

// pointInTime is a version of the table, and when it was the latest.
type pointInTime struct {
	version uint64
	at      time.Time
}

// restoreSometimes returns the table to older copies at random times.
func (c *usageCluster) restoreSometimes(ctx context.Context, random *rand.Rand) {
	var points []pointInTime
	for range 1 + random.IntN(2) {
		for range 10 + random.IntN(20) {
			points = append(points, pointInTime{c.store.Revision().Version(), clock.Now()})
			if clock.Sleep(ctx, restoreInterval) != nil {
				return
			}
		}
		oldest := max(0, len(points)-int(maxRestoreReach/restoreInterval))
		n := oldest + random.IntN(len(points)-oldest)
		c.store.Restore(points[n].version)
		c.restores = append(c.restores, restoredTime{from: points[n].at, to: clock.Now()})
		points = points[:n+1]
	}
}

// TestUsageAcrossRandomRestores checks the reports while machines have faults and
// the table returns from older copies.
func TestUsageAcrossRandomRestores(t *testing.T) {
	const last = 125
	const workers = 8
	for worker := range workers {
		t.Run(strconv.Itoa(worker), func(t *testing.T) {
			t.Parallel()
			for seed := worker; seed < *usageSchedules; seed += workers {
				runSeeded(t, seed, func(t *testing.T) {
					random := rand.New(rand.NewPCG(uint64(seed), 2))
					faulty := newMachine(randomEvents(random, last)...)
					c := newUsageCluster(faulty, newMachine(), newMachine())
					c.group.Go(func() { c.restoreSometimes(t.Context(), random) })
					sleep(t, trialDuration)
					c.drain(t)
					c.checkBalance(t)
					checkInvariants(t, c.history)
				})
			}
		})
	}
}
