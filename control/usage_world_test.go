package control_test

import (
	"context"
	"flag"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/control"
	"quincewinch/invariant"
	"quincewinch/models"
	"quincewinch/peer/platform"
	standin "quincewinch/standin/platform"
)

var usageSchedules = flag.Int("usage-schedules", 500, "seeded schedules of the property test on usage")

var windows = control.UsageSettings{Window: 10 * time.Second, Grace: 3 * time.Second, Keep: time.Minute}

const (
	flushTime = time.Second
	// lossTime is how much of a killed machine's counts may be lost while the
	// table answers: those since a flush was due, twice for one under way.
	lossTime  = 2 * flushTime
	countTime = 300 * time.Millisecond
	trialTime = 32 * time.Second
)

// figure names one figure of the ledger.
type figure struct {
	window    time.Time
	workspace models.Workspace
}

// ledger sees every request: the naive accounting in one process.
type ledger struct {
	mu     sync.Mutex
	counts map[figure]int64
	edges  map[figure]int64    // more that a figure may have: counts at the edge of a window beside it
	latest map[int][]time.Time // of each machine's counts
}

func (l *ledger) count(machine int, workspace models.Workspace, requests int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	window := now.UTC().Truncate(windows.Window)
	l.counts[figure{window, workspace}] += requests
	for _, at := range []time.Time{now.Add(-control.ClockError), now.Add(control.ClockError)} {
		if beside := at.UTC().Truncate(windows.Window); beside != window {
			l.edges[figure{beside, workspace}] += requests
		}
	}
	l.latest[machine] = append(l.latest[machine], now)
}

// machineReports is the reporting interface as a machine reaches it.
type machineReports struct {
	machine *machine
	usage   *standin.Usage
	history *invariant.History
}

func (r machineReports) Report(ctx context.Context, report models.UsageReport) error {
	return r.machine.send(ctx, func() error {
		err := r.usage.Report(context.Background(), report)
		if err == nil {
			r.history.UsageReport(report)
		}
		return err
	})
}

func (r machineReports) Accepted(ctx context.Context, id string) (report models.UsageReport, found bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	err = r.machine.send(ctx, func() error {
		report, found, err = r.usage.Accepted(context.Background(), id)
		return err
	})
	return report, found, err
}

// accounts is a few daemons that count and report use.
type accounts struct {
	store    *standin.Store
	usage    *standin.Usage
	history  *invariant.History
	ledger   *ledger
	machines []*machine
	stop     context.CancelFunc
	group    sync.WaitGroup
	quiet    chan struct{} // closed when no more requests end
}

func newAccounts(machines ...*machine) *accounts {
	ctx, stop := context.WithCancel(context.Background())
	store := standin.NewStore(clock)
	a := &accounts{
		store:    store,
		usage:    standin.NewUsage(store),
		history:  &invariant.History{},
		ledger:   &ledger{counts: map[figure]int64{}, edges: map[figure]int64{}, latest: map[int][]time.Time{}},
		machines: machines,
		stop:     stop,
		quiet:    make(chan struct{}),
	}
	for i, m := range machines {
		a.start(ctx, i, m)
	}
	return a
}

func (a *accounts) start(ctx context.Context, i int, m *machine) {
	id := models.DaemonID("d" + strconv.Itoa(i))
	table := platform.NewRetryTable(machineTable{m, a.store}, m, platform.DefaultRetrySettings(time.Second, uint64(i)))
	names := func() []models.LeaseName { return []models.LeaseName{models.LeaseUsage} }
	leases := control.NewLeases(control.Candidate{Daemon: id}, table, m, discardTimeline{}, nil, names, control.DefaultLeaseSettings())
	platformClock := control.NewPlatformClock()
	leases.Sample(platformClock)
	meter := control.NewMeter(id, table, m, platformClock, discardTimeline{}, windows)
	reports := machineReports{m, a.usage, a.history}
	closer := control.NewCloser(table, reports, leases, m, platformClock, discardTimeline{}, windows)
	a.loop(ctx, m, i, 500*time.Millisecond, func() { leases.Step(ctx) })
	a.loop(ctx, m, i, flushTime, func() { meter.Step(ctx) })
	a.loop(ctx, m, i, time.Second, func() { closer.Step(ctx) })
	a.loop(ctx, m, i, countTime, func() {
		select {
		case <-a.quiet:
			return
		default:
		}
		workspace := models.Workspace("w" + strconv.Itoa(i%2))
		meter.Count(workspace, m.Clock.Now(), models.Usage{Requests: 1})
		a.ledger.count(i, workspace, 1)
	})
}

// loop runs a task of a machine until the accounts stop.
func (a *accounts) loop(ctx context.Context, m *machine, i int, interval time.Duration, step func()) {
	a.group.Go(func() {
		_ = clock.Sleep(ctx, time.Duration(i)*300*time.Millisecond)
		for ctx.Err() == nil {
			step()
			m.point()
			_ = clock.Sleep(ctx, interval)
		}
	})
}

// settle lets all windows be reported and stops.
func (a *accounts) settle(t *testing.T) {
	t.Helper()
	close(a.quiet)
	for _, m := range a.machines {
		m.heal()
	}
	wait(t, 40*time.Second)
	a.stop()
	a.group.Wait()
	wait(t, 2*lateness)
}

func sum(figures map[figure]int64) int64 {
	total := int64(0)
	for _, n := range figures {
		total += n
	}
	return total
}

// balanced asserts that what was reported is what the ledger has, but for what
// killed machines may have lost, and never more. A request that ended within
// the clocks' error of a window's edge may be in the window beside it. It returns what is missing.
func (a *accounts) balanced(t *testing.T) int64 {
	t.Helper()
	reported := map[figure]int64{}
	for _, report := range a.store.UsageReports() {
		reported[figure{report.Window, report.Workspace}] += report.Usage.Requests
		for _, adjustment := range report.Adjustments {
			reported[figure{adjustment.Window, report.Workspace}] += adjustment.Usage.Requests
		}
	}
	for f, figure := range reported {
		if most := a.ledger.counts[f] + a.ledger.edges[f]; figure > most {
			t.Errorf("%s, window %s: %d reported, at most %d counted", f.workspace, f.window, figure, most)
			a.describe(t, reported)
		}
	}
	missing := sum(a.ledger.counts) - sum(reported)
	if missing < 0 {
		t.Errorf("%d requests reported that nobody counted", -missing)
	}
	if most := a.lossBound(); missing > most {
		t.Errorf("%d requests missing, at most %d may be", missing, most)
		a.describe(t, reported)
	}
	return missing
}

// describe logs what is missing where, and what the table has on it.
func (a *accounts) describe(t *testing.T, reported map[figure]int64) {
	t.Helper()
	for f, counted := range a.ledger.counts {
		if reported[f] != counted {
			t.Logf("%s, window %s: %d of %d reported", f.workspace, f.window, reported[f], counted)
		}
	}
	for i, m := range a.machines {
		t.Logf("d%d was in trouble: %v", i, m.drawn)
	}
	changes, err := a.store.Changes(context.Background(), models.PartitionUsage, 0)
	is.New(t).NoErr(err)
	for _, row := range changes.Rows {
		t.Logf("row %s at %d, deleted %t: %s", row.Key.Name, row.Revision, row.Deleted, row.Value)
	}
}

// lossBound counts what killed machines counted shortly before their end. A
// machine in other trouble before may not have written for as long as that.
func (a *accounts) lossBound() int64 {
	lost := int64(0)
	for i, m := range a.machines {
		if !m.dead() {
			continue
		}
		counts := a.ledger.latest[i]
		for _, at := range counts {
			if at.After(counts[len(counts)-1].Add(-lossTime - m.otherTrouble())) {
				lost++
			}
		}
	}
	return lost
}

// otherTrouble is how long a machine was in trouble before it was killed, and
// as long again for calls that hang and are tried again.
func (m *machine) otherTrouble() time.Duration {
	total := time.Duration(0)
	for _, e := range m.drawn {
		if e.what != troubleKill {
			total += 2*e.lasts + 5*time.Second
		}
	}
	return total
}

// heal keeps further trouble from beginning.
func (m *machine) heal() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.events = nil
}

func (m *machine) dead() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.killed
}

// trial runs accounts and asserts that all is well.
func trial(t *testing.T, machines ...*machine) (a *accounts, missing int64) {
	t.Helper()
	a = newAccounts(machines...)
	wait(t, trialTime)
	a.settle(t)
	missing = a.balanced(t)
	kept(t, a.history)
	return a, missing
}
