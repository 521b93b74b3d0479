package billing_test

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"quincewinch/billing"
	"quincewinch/control"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/system"
	"quincewinch/standin/platform"
)

var (
	schedules = flag.Int("schedules", 300, "seeded schedules to play")
	seedFlag  = flag.Uint64("seed", 0, "play this seed alone")
)

const (
	window = 5 * time.Second
	latest = 10 * time.Second
	lease  = 3 * time.Second
	step   = 250 * time.Millisecond
)

// rows lists ranges of the stand-in's rows.
type rows struct {
	*platform.Store
}

// Range implements billing.Rows.
func (r rows) Range(ctx context.Context, partition models.Partition, from, to string) ([]models.Row, error) {
	changes, err := r.Changes(ctx, partition, 0)
	if err != nil {
		return nil, err
	}
	var list []models.Row
	for _, row := range changes.Rows {
		if !row.Deleted && row.Key.Name >= from && row.Key.Name < to {
			list = append(list, row)
		}
	}
	return list, nil
}

// report is one call that the platform got.
type report struct {
	holder string
	fence  uint64
	window int64
	counts map[models.Workspace]int64
	at     time.Time
}

// receiver is the platform as all daemons call it; it checks nothing.
type receiver struct {
	clock peer.Clock

	mu      sync.Mutex
	reports []report
	lose    func() bool // whether the answer to a call is lost
}

// of returns the receiver as one VM calls it.
func (r *receiver) of(holder string) peer.WindowReports {
	return sender{receiver: r, holder: holder}
}

func (r *receiver) setLose(lose func() bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lose = lose
}

type sender struct {
	receiver *receiver
	holder   string
}

// Report implements peer.WindowReports.
func (s sender) Report(_ context.Context, authority models.Authority, number int64, counts map[models.Workspace]int64) error {
	r := s.receiver
	now := r.clock.Now()
	if !authority.Valid(now) {
		return peer.NewFailure(peer.OutcomeNotDone, "the lease has run out", nil)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports = append(r.reports, report{holder: s.holder, fence: authority.Fence, window: number, counts: maps.Clone(counts), at: now})
	if r.lose != nil && r.lose() {
		return peer.NewFailure(peer.OutcomeUnknown, "answer lost", nil)
	}
	return nil
}

// process is one process of a daemon.
type process struct {
	vm      string
	leases  *control.Leases
	counter *billing.Counter
	closer  *billing.Closer
	cancel  context.CancelFunc
	ctx     context.Context
}

// dice are thrown by the schedule and by calls that fail.
type dice struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (d *dice) IntN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.IntN(n)
}

// world is some daemons before one store.
type world struct {
	clock     peer.Clock
	store     *platform.Store
	receiver  *receiver
	random    *dice
	processes []*process
	starts    int
	names     []string
	truth     map[int64]map[models.Workspace]int64
}

func newWorld(seed uint64, daemons int) *world {
	clock := system.NewClock()
	w := &world{
		clock:    clock,
		store:    platform.NewStore(clock),
		receiver: &receiver{clock: clock},
		random:   &dice{random: rand.New(rand.NewPCG(seed, 1))},
		truth:    map[int64]map[models.Workspace]int64{},
	}
	for i := range daemons {
		w.names = append(w.names, fmt.Sprintf("vm-%d", i))
	}
	for i := range daemons {
		w.processes = append(w.processes, w.start(fmt.Sprintf("vm-%d", i)))
	}
	return w
}

// vms names all VMs.
func (w *world) vms() []string {
	return w.names
}

func (w *world) start(vm string) *process {
	w.starts++
	id := models.DaemonID(fmt.Sprintf("%s-%d", vm, w.starts))
	names := func() []models.LeaseName { return []models.LeaseName{models.LeaseUsage} }
	logger := zap.NewNop()
	p := &process{vm: vm}
	p.leases = control.NewLeases(control.Candidate{Daemon: id, Zone: "z"}, w.store, w.clock, quiet{}, nil, names, control.LeaseSettings{
		Duration: lease, Safety: lease / 6, Margin: lease / 10, Renew: lease / 3, Read: lease / 3,
		Timeout: 700 * time.Millisecond, AfterRelease: lease,
	})
	p.counter = billing.NewCounter(vm, id, w.store, w.clock, logger, settings(w.vms))
	p.closer = billing.NewCloser(rows{w.store}, p.leases, w.receiver.of(vm), billing.Clocks{Lease: w.clock, Day: w.clock}, logger, settings(w.vms))
	p.ctx, p.cancel = context.WithCancel(context.Background())
	for _, task := range []control.Task{p.leases, p.counter, p.closer} {
		go p.run(w.clock, task)
	}
	return p
}

func (p *process) run(clock peer.Clock, task control.Task) {
	for clock.Sleep(p.ctx, step) == nil {
		task.Step(p.ctx)
	}
}

type quiet struct{}

// Record implements peer.Timeline.
func (quiet) Record(models.Event) {}

// traffic counts some requests at some daemons.
func (w *world) traffic() {
	for range w.random.IntN(4) {
		p := w.processes[w.random.IntN(len(w.processes))]
		workspace := models.Workspace(fmt.Sprintf("w%d", w.random.IntN(3)))
		now := w.clock.Now()
		p.counter.Count(workspace)
		number := now.UnixNano() / int64(window)
		if w.truth[number] == nil {
			w.truth[number] = map[models.Workspace]int64{}
		}
		w.truth[number][workspace]++
	}
}

// victim is a daemon that meets trouble, mostly the holder of the lease.
func (w *world) victim() int {
	for i, p := range w.processes {
		if p.leases.Authority(models.LeaseUsage).Fence > 0 && w.random.IntN(4) > 0 {
			return i
		}
	}
	return w.random.IntN(len(w.processes))
}

// trouble brings about one fault, and returns what ends it.
func (w *world) trouble() func() {
	nothing := func() {}
	i := w.victim()
	switch w.random.IntN(6) {
	case 0: // a daemon is killed and starts again
		w.processes[i].cancel()
		w.processes[i] = w.start(w.processes[i].vm)
	case 1: // a daemon stops as planned
		p := w.processes[i]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		p.leases.Release(ctx)
		p.counter.Flush(ctx)
		p.cancel()
		w.processes[i] = w.start(p.vm)
	case 2: // the store is down
		w.store.SetFaults(platform.Faults{Down: true})
		return func() { w.store.SetFaults(platform.Faults{}) }
	case 3: // the store is slow
		w.store.SetFaults(platform.Faults{Delay: 300 * time.Millisecond})
		return func() { w.store.SetFaults(platform.Faults{}) }
	case 4: // answers are lost, and writes come late
		w.store.SetFaults(platform.Faults{
			LoseAnswer: func(models.Transaction) bool { return w.random.IntN(3) == 0 },
			CommitDelay: func(models.Transaction) time.Duration {
				if w.random.IntN(2) > 0 {
					return 0
				}
				return time.Duration(1+w.random.IntN(5)) * time.Second
			},
		})
		return func() { w.store.SetFaults(platform.Faults{}) }
	case 5: // answers of the platform are lost
		w.receiver.setLose(func() bool { return w.random.IntN(2) == 0 })
		return func() { w.receiver.setLose(nil) }
	}
	return nothing
}

// pass lets virtual time pass.
func (w *world) pass(d time.Duration) {
	// Nothing cancels the wait.
	_ = w.clock.Sleep(context.Background(), d)
}

func (w *world) stop() {
	for _, p := range w.processes {
		p.cancel()
	}
}

// play runs a schedule and returns what was broken.
func play(seed uint64, daemons, troubles int) (broken []string) {
	w := newWorld(seed, daemons)
	end := func() {}
	const steps = 400 // 40 s
	for i := range steps {
		w.traffic()
		if troubles > 0 && i%max(steps/(2*troubles), 1) == 0 {
			end()
			end = func() {}
			if i/max(steps/(2*troubles), 1)%2 == 1 {
				end = w.trouble()
			}
		}
		w.pass(100 * time.Millisecond)
	}
	end()
	w.pass(2 * latest)
	w.stop()
	synctest.Wait()
	return w.check(troubles == 0)
}

// check holds the calls that the platform got against what was promised.
func (w *world) check(calm bool) (broken []string) {
	w.receiver.mu.Lock()
	defer w.receiver.mu.Unlock()
	byWindow := map[int64]map[models.Workspace]int64{}
	byFence := map[uint64]string{}
	highest := uint64(0)
	for _, r := range w.receiver.reports {
		if before, ok := byWindow[r.window]; ok && !maps.Equal(before, r.counts) {
			broken = append(broken, fmt.Sprintf("window %d reported as %v and as %v", r.window, before, r.counts))
		}
		byWindow[r.window] = r.counts
		if holder, ok := byFence[r.fence]; ok && holder != r.holder {
			broken = append(broken, fmt.Sprintf("fencing number %d of %s and %s", r.fence, holder, r.holder))
		}
		byFence[r.fence] = r.holder
		if r.fence < highest {
			broken = append(broken, fmt.Sprintf("fencing number %d after %d", r.fence, highest))
		}
		highest = max(highest, r.fence)
	}
	broken = append(broken, w.turns()...)
	return append(broken, w.sums(byWindow, calm)...)
}

// turns finds holders that take turns within a lease.
func (w *world) turns() (broken []string) {
	reports := w.receiver.reports
	for i, a := range reports {
		other := false
		for _, b := range reports[i+1:] {
			if b.at.Sub(a.at) >= lease {
				break
			}
			other = other || b.holder != a.holder
			if other && b.holder == a.holder {
				broken = append(broken, fmt.Sprintf("%s acted, another, and %s again within %s", a.holder, b.holder, b.at.Sub(a.at)))
				break
			}
		}
	}
	return broken
}

func (w *world) sums(byWindow map[int64]map[models.Workspace]int64, calm bool) (broken []string) {
	for number, truth := range w.truth {
		got, ok := byWindow[number]
		if calm && !ok {
			broken = append(broken, fmt.Sprintf("window %d was not reported", number))
		}
		for workspace, n := range truth {
			if got[workspace] > n {
				broken = append(broken, fmt.Sprintf("window %d: %d requests of %s reported, %d began", number, got[workspace], workspace, n))
			}
			if calm && got[workspace] != n {
				broken = append(broken, fmt.Sprintf("window %d: %d requests of %s reported of %d", number, got[workspace], workspace, n))
			}
		}
	}
	return broken
}

func expectKept(t *testing.T, seed uint64, troubles int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		for _, broken := range play(seed, 2+int(seed%3), troubles) {
			t.Errorf("seed %d: %s", seed, broken)
		}
	})
}

// troublesOf is how many faults the schedule of a seed has.
func troublesOf(seed uint64) int {
	return 2 + int(seed%29)
}

func TestCalmWindowsAreExact(t *testing.T) {
	expectKept(t, 1, 0)
}

func TestWindowsInManySchedules(t *testing.T) {
	if *seedFlag != 0 {
		expectKept(t, *seedFlag, troublesOf(*seedFlag))
		return
	}
	for seed := range uint64(*schedules) {
		expectKept(t, seed+1, troublesOf(seed+1))
		if t.Failed() {
			return
		}
	}
}

// settings are those of all counters and closers of the tests.
func settings(vms func() []string) billing.Settings {
	return billing.Settings{Window: window, Latest: latest, VMs: vms}
}
