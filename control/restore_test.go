package control_test

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"quincewinch/control"
	"quincewinch/models"
	"quincewinch/platform"
	"quincewinch/platform/emulator"
)

const (
	leaseDuration = 3 * time.Second
	stepInterval  = 250 * time.Millisecond
	// reacquireTime is the time within which a lease has a holder again.
	reacquireTime = 3 * leaseDuration
	observeEvery  = 50 * time.Millisecond
)

// leaseDaemon is a daemon that contends for the usage lease.
type leaseDaemon struct {
	name       models.DaemonID
	connection *emulator.Connection
	leases     *control.Leases
	kill       context.CancelFunc
	killed     bool
	paused     atomic.Bool
}

// leaseWorld is a set of daemons that contend for one lease in an emulated store.
// Its daemons never act at the same time as the test.
type leaseWorld struct {
	t       *testing.T
	store   *emulator.Store
	daemons []*leaseDaemon
	holders map[uint64]models.DaemonID // by fencing number
	highest uint64                     // fencing number seen so far
}

func newLeaseWorld(t *testing.T) *leaseWorld {
	w := &leaseWorld{t: t, store: emulator.NewStore(), holders: map[uint64]models.DaemonID{}}
	t.Cleanup(w.store.Close)
	for range 3 {
		w.fill() // versions of other rows
	}
	return w
}

// start starts a daemon.
func (w *leaseWorld) start(name models.DaemonID) *leaseDaemon {
	connection := emulator.NewConnection(w.store)
	table := platform.NewStore(netip.MustParseAddrPort("10.0.0.1:1"), &http.Client{Transport: connection}, 700*time.Millisecond)
	d := &leaseDaemon{name: name, connection: connection}
	d.leases = control.NewLeases(control.Candidate{Daemon: name, Zone: "z"}, table, clock, silentTimeline{}, nil,
		func() []models.LeaseName { return []models.LeaseName{models.LeaseUsage} }, control.LeaseSettings{
			Duration: leaseDuration, HolderMargin: leaseDuration / 6, CandidateMargin: leaseDuration / 10,
			RenewInterval: leaseDuration / 3, ReadInterval: leaseDuration / 3,
			Timeout: 700 * time.Millisecond, ReacquireDelay: leaseDuration,
		})
	ctx, kill := context.WithCancel(w.t.Context())
	d.kill = kill
	w.daemons = append(w.daemons, d)
	pause := time.Duration(len(w.daemons)) * time.Millisecond // daemons act one after another
	go func() {
		for clock.Sleep(ctx, pause) == nil {
			if !d.paused.Load() {
				d.leases.Step(ctx)
			}
			pause = stepInterval
		}
	}()
	return d
}

// silentTimeline discards all events.
type silentTimeline struct{}

// Record implements peer.Timeline.
func (silentTimeline) Record(models.Event) {}

// kill ends a daemon.
func (w *leaseWorld) kill(d *leaseDaemon) {
	d.kill()
	d.killed = true
}

// fill writes a row that has nothing to do with leases.
func (w *leaseWorld) fill() {
	w.store.Put("other", "row", nil)
}

// version returns the store's newest version.
func (w *leaseWorld) version() uint64 {
	return w.store.VersionAt(clock.Now())
}

// run advances time and checks the daemons meanwhile.
func (w *leaseWorld) run(d time.Duration) {
	w.t.Helper()
	for end := clock.Now().Add(d); clock.Now().Before(end); {
		w.sleep(observeEvery)
		w.observe()
	}
}

func (w *leaseWorld) sleep(d time.Duration) {
	w.t.Helper()
	if err := clock.Sleep(w.t.Context(), d); err != nil {
		w.t.Fatal(err)
	}
}

// observe checks that at most one daemon has authority, that a fencing number
// has one holder, and that fencing numbers do not decrease.
func (w *leaseWorld) observe() {
	w.t.Helper()
	var holder models.DaemonID
	for _, d := range w.daemons {
		authority := d.leases.Authority(models.LeaseUsage)
		if d.killed || authority.Fence == 0 {
			continue
		}
		if holder != "" {
			w.t.Fatalf("%s and %s hold the lease at the same time", holder, d.name)
		}
		holder = d.name
		if before, ok := w.holders[authority.Fence]; ok && before != d.name {
			w.t.Fatalf("fencing number %d given to %s and to %s", authority.Fence, before, d.name)
		}
		if authority.Fence < w.highest {
			w.t.Fatalf("%s has fencing number %d after %d was given out", d.name, authority.Fence, w.highest)
		}
		w.holders[authority.Fence] = d.name
		w.highest = authority.Fence
	}
}

// holder returns the daemon that has authority, nil if there is none.
func (w *leaseWorld) holder() *leaseDaemon {
	for _, d := range w.daemons {
		if !d.killed && d.leases.Authority(models.LeaseUsage).Fence > 0 {
			return d
		}
	}
	return nil
}

// awaitHolder runs until a daemon has authority, for at most reacquireTime.
func (w *leaseWorld) awaitHolder() *leaseDaemon {
	w.t.Helper()
	for end := clock.Now().Add(reacquireTime); clock.Now().Before(end); {
		w.run(observeEvery)
		if d := w.holder(); d != nil {
			return d
		}
	}
	w.t.Fatalf("no daemon holds the lease %s after the last change", reacquireTime)
	return nil
}

// handOver has a daemon take the lease over from its killed holder, and returns
// it with the version before the takeover.
func (w *leaseWorld) handOver(from *leaseDaemon, to models.DaemonID) (next *leaseDaemon, before uint64) {
	w.t.Helper()
	w.kill(from)
	next = w.start(to)
	for end := clock.Now().Add(reacquireTime); w.holder() == nil; {
		if clock.Now().After(end) {
			w.t.Fatalf("%s does not take over within %s", to, reacquireTime)
		}
		before = w.version()
		w.run(observeEvery)
	}
	return next, before
}

// TestLeaseAcrossStoreRestore guards against two holders of a lease, and against
// fencing numbers given out twice, after the store returned from an older copy.
func TestLeaseAcrossStoreRestore(t *testing.T) {
	tests := []struct {
		name string
		run  func(w *leaseWorld)
	}{
		{"copy is from before the lease existed", func(w *leaseWorld) {
			before := w.version()
			w.start("a")
			w.awaitHolder()
			w.start("b")
			w.run(leaseDuration)
			w.store.Restore(before)
		}},
		{"copy is from before the lease existed, and a daemon starts", func(w *leaseWorld) {
			before := w.version()
			w.start("a")
			w.awaitHolder()
			w.store.Restore(before)
			w.start("b")
		}},
		{"copy is from before the lease existed, and the holder is killed", func(w *leaseWorld) {
			before := w.version()
			a := w.start("a")
			w.awaitHolder()
			w.store.Restore(before)
			w.kill(a)
			w.start("b")
		}},
		{"copy is from before the lease existed, and the holder is cut off", func(w *leaseWorld) {
			before := w.version()
			a := w.start("a")
			w.awaitHolder()
			a.connection.Set(emulator.FaultHang, 0)
			w.store.Restore(before)
			w.start("b")
			w.run(leaseDuration / 2)
			a.connection.Set(emulator.FaultNone, 0)
		}},
		{"copy is from before the lease existed, and the holder is paused", func(w *leaseWorld) {
			before := w.version()
			a := w.start("a")
			w.awaitHolder()
			a.paused.Store(true)
			w.store.Restore(before)
			w.start("b")
			w.run(2 * leaseDuration)
			a.paused.Store(false)
		}},
		{"copy is from before the last takeover", func(w *leaseWorld) {
			a := w.start("a")
			w.awaitHolder()
			_, before := w.handOver(a, "b")
			w.start("c")
			w.run(leaseDuration)
			w.store.Restore(before)
		}},
		{"copy is from before the last takeover, which nobody else has read", func(w *leaseWorld) {
			a := w.start("a")
			w.awaitHolder()
			b, before := w.handOver(a, "b")
			w.kill(b)
			w.store.Restore(before)
			w.start("c")
		}},
		{"copy is from before the lease was released", func(w *leaseWorld) {
			a := w.start("a")
			w.awaitHolder()
			before := w.version()
			a.leases.Release(w.t.Context())
			w.handOver(a, "b")
			w.store.Restore(before)
			w.start("c")
		}},
		{"copy is from after the lease was released", func(w *leaseWorld) {
			a := w.start("a")
			w.awaitHolder()
			a.leases.Release(w.t.Context())
			_, before := w.handOver(a, "b")
			w.run(leaseDuration)
			w.store.Restore(before)
			w.start("c")
		}},
		{"takeover gets the version of the lost one, whose holder was cut off", func(w *leaseWorld) {
			a := w.start("a")
			w.awaitHolder()
			b, before := w.handOver(a, "b")
			b.connection.Set(emulator.FaultUnavailable, 0)
			w.store.Restore(before)
			w.start("c")
			w.run(leaseDuration)
			w.awaitHolder()
			b.connection.Set(emulator.FaultNone, 0)
		}},
		{"takeover gets the version of the lost one, whose holder was paused", func(w *leaseWorld) {
			a := w.start("a")
			w.awaitHolder()
			b, before := w.handOver(a, "b")
			b.paused.Store(true)
			w.store.Restore(before)
			w.start("c")
			w.run(leaseDuration)
			w.awaitHolder()
			b.paused.Store(false)
		}},
		{"takeover is performed after the restore", func(w *leaseWorld) {
			before := w.version()
			a := w.start("a")
			a.connection.Set(emulator.FaultLate, 3*leaseDuration)
			w.run(2 * leaseDuration)
			a.connection.Set(emulator.FaultHang, 0)
			b := w.start("b")
			w.awaitHolder()
			w.store.Restore(before)
			b.connection.Set(emulator.FaultHang, 0)
			w.run(3 * leaseDuration)
			a.connection.Set(emulator.FaultNone, 0)
		}},
		{"renewal is performed after the restore", func(w *leaseWorld) {
			a := w.start("a")
			w.awaitHolder()
			b, before := w.handOver(a, "b")
			b.connection.Set(emulator.FaultLate, 2*leaseDuration)
			w.run(leaseDuration / 2)
			b.connection.Set(emulator.FaultHang, 0)
			w.store.Restore(before)
			w.start("c")
			w.run(leaseDuration)
			w.awaitHolder()
			w.run(leaseDuration)
			b.connection.Set(emulator.FaultNone, 0)
		}},
		{"release is performed after the restore", func(w *leaseWorld) {
			a := w.start("a")
			w.awaitHolder()
			b, before := w.handOver(a, "b")
			b.connection.Set(emulator.FaultLate, 2*leaseDuration)
			b.leases.Release(w.t.Context())
			w.kill(b)
			w.store.Restore(before)
			w.start("c")
			w.awaitHolder()
			w.start("d")
			w.run(2 * leaseDuration)
		}},
		{"two restores within one lease duration", func(w *leaseWorld) {
			a := w.start("a")
			w.awaitHolder()
			b, before := w.handOver(a, "b")
			w.store.Restore(before)
			c := w.start("c")
			w.run(leaseDuration / 2)
			w.store.Restore(before - 1)
			w.kill(b)
			w.awaitHolder()
			w.kill(c)
			w.store.Restore(before - 1)
			w.start("d")
		}},
		{"store is away while it returns older", func(w *leaseWorld) {
			before := w.version()
			w.start("a")
			w.awaitHolder()
			w.start("b")
			w.run(leaseDuration)
			w.store.SetFault(func(*http.Request) emulator.Fault { return emulator.FaultUnavailable })
			w.run(leaseDuration / 2)
			w.store.Restore(before)
			w.store.SetFault(func(*http.Request) emulator.Fault { return emulator.FaultNone })
			w.start("c")
		}},
		{"copy is from after the last takeover", func(w *leaseWorld) {
			w.start("a")
			w.awaitHolder()
			before := w.version()
			w.start("b")
			w.run(leaseDuration)
			w.store.Restore(before)
			w.start("c")
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newLeaseWorld(t)
				test.run(w)
				w.awaitHolder()
				w.run(reacquireTime)
				w.awaitHolder()
			})
		})
	}
}
