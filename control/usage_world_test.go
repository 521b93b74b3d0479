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

var windows = control.UsageSettings{Window: 10 * time.Second, Grace: 3 * time.Second, Retention: time.Minute}

const (
	flushInterval = time.Second
	// maxLossTime is how much of a killed machine's counts may be lost while the
	// table answers: those since a flush was due, twice for one under way.
	maxLossTime   = 2 * flushInterval
	countInterval = 300 * time.Millisecond
	trialDuration = 32 * time.Second
)

// ledgerKey names one figure of the ledger.
type ledgerKey struct {
	window    time.Time
	workspace models.Workspace
}

// ledger sees every request: the naive accounting in one process.
type ledger struct {
	mu         sync.Mutex
	counts     map[ledgerKey]int64
	edgeCounts map[ledgerKey]int64 // more that a figure may have: counts at the edge of a window beside it
	countTimes map[int][]time.Time // of each machine's counts
}

func (l *ledger) count(machine int, workspace models.Workspace, requests int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	window := now.UTC().Truncate(windows.Window)
	l.counts[ledgerKey{window, workspace}] += requests
	for _, at := range []time.Time{now.Add(-control.ClockError), now.Add(control.ClockError)} {
		if beside := at.UTC().Truncate(windows.Window); beside != window {
			l.edgeCounts[ledgerKey{beside, workspace}] += requests
		}
	}
	l.countTimes[machine] = append(l.countTimes[machine], now)
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

// usageCluster is a few daemons that count and report use.
type usageCluster struct {
	store           *standin.Store
	usage           *standin.Usage
	history         *invariant.History
	ledger          *ledger
	machines        []*machine
	stop            context.CancelFunc
	group           sync.WaitGroup
	requestsStopped chan struct{} // closed when no more requests end
}

func newUsageCluster(machines ...*machine) *usageCluster {
	ctx, stop := context.WithCancel(context.Background())
	store := standin.NewStore(clock)
	a := &usageCluster{
		store:           store,
		usage:           standin.NewUsage(store),
		history:         &invariant.History{},
		ledger:          &ledger{counts: map[ledgerKey]int64{}, edgeCounts: map[ledgerKey]int64{}, countTimes: map[int][]time.Time{}},
		machines:        machines,
		stop:            stop,
		requestsStopped: make(chan struct{}),
	}
	for i, m := range machines {
		a.start(ctx, i, m)
	}
	return a
}

func (a *usageCluster) start(ctx context.Context, i int, m *machine) {
	id := models.DaemonID("d" + strconv.Itoa(i))
	table := platform.NewRetryTable(machineTable{m, a.store}, m, platform.DefaultRetrySettings(time.Second, uint64(i)))
	names := func() []models.LeaseName { return []models.LeaseName{models.LeaseUsage} }
	leases := control.NewLeases(control.Candidate{Daemon: id}, table, m, silence{}, nil, names, control.DefaultLeaseSettings())
	platformClock := control.NewPlatformClock()
	leases.SetPlatformClock(platformClock)
	meter := control.NewMeter(id, table, m, platformClock, silence{}, windows)
	reports := machineReports{m, a.usage, a.history}
	closer := control.NewWindowCloser(table, reports, leases, m, platformClock, silence{}, windows)
	a.loop(ctx, m, i, 500*time.Millisecond, func() { leases.Step(ctx) })
	a.loop(ctx, m, i, flushInterval, func() { meter.Step(ctx) })
	a.loop(ctx, m, i, time.Second, func() { closer.Step(ctx) })
	a.loop(ctx, m, i, countInterval, func() {
		select {
		case <-a.requestsStopped:
			return
		default:
		}
		workspace := models.Workspace("w" + strconv.Itoa(i%2))
		meter.Count(workspace, m.Clock.Now(), models.Usage{Requests: 1})
		a.ledger.count(i, workspace, 1)
	})
}

// loop runs a task of a machine until the accounts stop.
func (a *usageCluster) loop(ctx context.Context, m *machine, i int, interval time.Duration, step func()) {
	a.group.Go(func() {
		_ = clock.Sleep(ctx, time.Duration(i)*300*time.Millisecond)
		for ctx.Err() == nil {
			step()
			m.point()
			_ = clock.Sleep(ctx, interval)
		}
	})
}

// drain lets all windows be reported and stops.
func (a *usageCluster) drain(t *testing.T) {
	t.Helper()
	close(a.requestsStopped)
	for _, m := range a.machines {
		m.clearEvents()
	}
	sleep(t, 40*time.Second)
	a.stop()
	a.group.Wait()
	sleep(t, 2*lateness)
}

func sum(figures map[ledgerKey]int64) int64 {
	total := int64(0)
	for _, n := range figures {
		total += n
	}
	return total
}

// checkBalance asserts that what was reported is what the ledger has, but for what
// killed machines may have lost, and never more. A request that ended within
// the clocks' error of a window's edge may be in the window beside it. It returns what is missing.
func (a *usageCluster) checkBalance(t *testing.T) int64 {
	t.Helper()
	reported := map[ledgerKey]int64{}
	for _, report := range a.store.UsageReports() {
		reported[ledgerKey{report.Window, report.Workspace}] += report.Usage.Requests
		for _, adjustment := range report.Adjustments {
			reported[ledgerKey{adjustment.Window, report.Workspace}] += adjustment.Usage.Requests
		}
	}
	for f, figure := range reported {
		if most := a.ledger.counts[f] + a.ledger.edgeCounts[f]; figure > most {
			t.Errorf("%s, window %s: %d reported, at most %d counted", f.workspace, f.window, figure, most)
			a.logDifferences(t, reported)
		}
	}
	missing := sum(a.ledger.counts) - sum(reported)
	if missing < 0 {
		t.Errorf("%d requests reported that nobody counted", -missing)
	}
	if most := a.lossBound(); missing > most {
		t.Errorf("%d requests missing, at most %d may be", missing, most)
		a.logDifferences(t, reported)
	}
	return missing
}

// logDifferences logs what is missing where, and what the table has on it.
func (a *usageCluster) logDifferences(t *testing.T, reported map[ledgerKey]int64) {
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
func (a *usageCluster) lossBound() int64 {
	lost := int64(0)
	for i, m := range a.machines {
		if !m.wasKilled() {
			continue
		}
		counts := a.ledger.countTimes[i]
		for _, at := range counts {
			if at.After(counts[len(counts)-1].Add(-maxLossTime - m.otherFaultTime())) {
				lost++
			}
		}
	}
	return lost
}

// otherFaultTime is how long a machine was in trouble before it was killed, and
// as long again for calls that hang and are tried again.
func (m *machine) otherFaultTime() time.Duration {
	total := time.Duration(0)
	for _, e := range m.drawn {
		if e.what != troubleKill {
			total += 2*e.lasts + 5*time.Second
		}
	}
	return total
}

// clearEvents keeps further trouble from beginning.
func (m *machine) clearEvents() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.events = nil
}

func (m *machine) wasKilled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.killed
}

// runUsageTrial runs accounts and asserts that all is well.
func runUsageTrial(t *testing.T, machines ...*machine) (a *usageCluster, missing int64) {
	t.Helper()
	a = newUsageCluster(machines...)
	sleep(t, trialDuration)
	a.drain(t)
	missing = a.checkBalance(t)
	checkInvariants(t, a.history)
	return a, missing
}
