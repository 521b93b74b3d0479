package billing_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"quincewinch/billing"
	"quincewinch/models"
	"quincewinch/peer/system"
	"quincewinch/standin/platform"
)

// held is a lease that is held for good, under a fencing number.
type held uint64

// Authority implements peer.Leases.
func (h held) Authority(name models.LeaseName) models.Authority {
	return models.Authority{
		Lease:    name,
		Fence:    uint64(h),
		Deadline: system.NewClock().Now().Add(time.Hour),
		Guard:    models.Condition{Key: models.RowKey{Partition: models.PartitionLeases, Name: "nobody-writes-it"}},
	}
}

// TestLateFreeze plays a holder whose freezing write arrives after its
// successor's: the window must keep the counts that were reported.
func TestLateFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := system.NewClock()
		store := platform.NewStore(clock)
		receiver := &receiver{clock: clock}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		closerOf := func(fence uint64) *billing.Closer {
			return billing.NewCloser(rows{store}, held(fence), receiver.of("vm"), billing.Clocks{Lease: clock, Day: clock}, zap.NewNop(), settings(nobody))
		}
		counter := billing.NewCounter("vm-1", "d", store, clock, zap.NewNop(), settings(nobody))
		late := billing.NewCounter("vm-2", "late", store, clock, zap.NewNop(), settings(nobody))
		counter.Count("w")
		late.Count("w")
		counter.Flush(ctx)
		pass(t, window+latest)
		store.SetFaults(platform.Faults{CommitDelay: func(models.Transaction) time.Duration { return 2 * time.Second }})
		closerOf(1).Step(ctx)
		store.SetFaults(platform.Faults{})
		is.Equal(len(receiver.reports), 0) // it does not know whether the window is frozen
		late.Flush(ctx)
		closerOf(2).Step(ctx)
		pass(t, 3*time.Second) // the first one's write has come by now
		closerOf(3).Step(ctx)
		is.Equal(len(receiver.reports), 2)
		is.Equal(receiver.reports[0].counts, map[models.Workspace]int64{"w": 2})
		is.Equal(receiver.reports[1].counts, receiver.reports[0].counts)
	})
}

// TestMissingCountsAreWaitedFor plays a VM that cannot write for a while.
func TestMissingCountsAreWaitedFor(t *testing.T) {
	tests := []struct {
		name     string
		writesAt time.Duration // after the window's end
		want     int64
	}{
		{"until they come", 6 * time.Second, 2},
		{"but not until the report is late", 9 * time.Second, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				clock := system.NewClock()
				store := platform.NewStore(clock)
				receiver := &receiver{clock: clock}
				vms := func() []string { return []string{"vm-1", "vm-2"} }
				closer := billing.NewCloser(rows{store}, held(1), receiver.of("vm-1"), billing.Clocks{Lease: clock, Day: clock}, zap.NewNop(), settings(vms))
				first := billing.NewCounter("vm-1", "a", store, clock, zap.NewNop(), settings(nobody))
				second := billing.NewCounter("vm-2", "b", store, clock, zap.NewNop(), settings(nobody))
				end := clock.Now().Truncate(window).Add(window)
				first.Count("w")
				second.Count("w")
				for clock.Now().Before(end.Add(latest)) {
					first.Step(t.Context())
					if clock.Now().Sub(end) >= test.writesAt {
						second.Step(t.Context())
					}
					closer.Step(t.Context())
					pass(t, step)
				}
				is.Equal(len(receiver.reports), 1)
				is.Equal(receiver.reports[0].counts["w"], test.want)
				is.True(receiver.reports[0].at.Sub(end) < latest)
			})
		})
	}
}

// pass lets virtual time pass.
func pass(t *testing.T, d time.Duration) {
	t.Helper()
	is.New(t).NoErr(system.NewClock().Sleep(t.Context(), d))
}

// nobody names no VM.
func nobody() []string { return nil }
