package control_test

import (
	"context"
	"flag"
	"slices"
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

var usageSchedules = flag.Int("usage-schedules", 500, "number of seeded schedules of the usage property test")

var windows = control.UsageSettings{Window: 10 * time.Second, Grace: 3 * time.Second, Retention: time.Minute}

const (
	flushInterval = time.Second
	// maxLossTime is the period before a machine is killed whose counts may be lost
	// while the table is reachable: one interval since the last flush, and one more
	// for a flush in progress.
	maxLossTime   = 2 * flushInterval
	countInterval = 300 * time.Millisecond
	trialDuration = 32 * time.Second
)

// ledgerKey identifies one count of the ledger.
type ledgerKey struct {
	window    time.Time
	workspace models.Workspace
}

// ledger counts every request in one process, as the reference for the reports.
type ledger struct {
	mu         sync.Mutex
	counts     map[ledgerKey]int64
	edgeCounts map[ledgerKey]int64 // requests of an adjacent window within the clock error
	countTimes map[int][]time.Time // by machine
}

func (l *ledger) count(machine int, workspace models.Workspace, requests int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	window := now.UTC().Truncate(windows.Window)
	l.counts[ledgerKey{window, workspace}] += requests
	for _, at := range []time.Time{now.Add(-control.MaxClockError), now.Add(control.MaxClockError)} {
		if adjacent := at.UTC().Truncate(windows.Window); adjacent != window {
			l.edgeCounts[ledgerKey{adjacent, workspace}] += requests
		}
	}
	l.countTimes[machine] = append(l.countTimes[machine], now)
}

// machineReports is the usage report interface as reached from a machine, with
// its faults.
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

// usageCluster runs several daemons that count and report usage.
type usageCluster struct {
	store           *standin.Store
	usage           *standin.Usage
	history         *invariant.History
	ledger          *ledger
	machines        []*machine
	stop            context.CancelFunc
	group           sync.WaitGroup
	requestsStopped chan struct{} // closed when no more requests are counted
	restores        []restoredTime
}

// restoredTime is the time whose writes the table lost in a restore.
type restoredTime struct{ from, to time.Time }

func newUsageCluster(machines ...*machine) *usageCluster {
	ctx, stop := context.WithCancel(context.Background())
	store := standin.NewStore(clock)
	c := &usageCluster{
		store:           store,
		usage:           standin.NewUsage(store),
		history:         &invariant.History{},
		ledger:          &ledger{counts: map[ledgerKey]int64{}, edgeCounts: map[ledgerKey]int64{}, countTimes: map[int][]time.Time{}},
		machines:        machines,
		stop:            stop,
		requestsStopped: make(chan struct{}),
	}
	for i, m := range machines {
		c.start(ctx, i, m)
	}
	return c
}

func (c *usageCluster) start(ctx context.Context, i int, m *machine) {
	id := models.DaemonID("d" + strconv.Itoa(i))
	table := platform.NewRetryTable(machineTable{m, c.store}, m, platform.DefaultRetrySettings(time.Second, uint64(i)))
	names := func() []models.LeaseName { return []models.LeaseName{models.LeaseUsage} }
	leases := control.NewLeases(control.Candidate{Daemon: id}, table, m, discardTimeline{}, nil, names, control.DefaultLeaseSettings())
	platformClock := control.NewPlatformClock()
	leases.SetPlatformClock(platformClock)
	meter := control.NewMeter(id, table, m, platformClock, discardTimeline{}, windows)
	reports := machineReports{m, c.usage, c.history}
	closer := control.NewWindowCloser(table, reports, leases, m, platformClock, discardTimeline{}, windows)
	c.loop(ctx, m, i, 500*time.Millisecond, func() { leases.Step(ctx) })
	c.loop(ctx, m, i, flushInterval, func() { meter.Step(ctx) })
	c.loop(ctx, m, i, time.Second, func() { closer.Step(ctx) })
	c.loop(ctx, m, i, countInterval, func() {
		select {
		case <-c.requestsStopped:
			return
		default:
		}
		workspace := models.Workspace("w" + strconv.Itoa(i%2))
		meter.Count(workspace, m.Clock.Now(), models.Usage{Requests: 1})
		c.ledger.count(i, workspace, 1)
	})
}

// loop runs step on a machine at an interval until ctx ends.
func (c *usageCluster) loop(ctx context.Context, m *machine, i int, interval time.Duration, step func()) {
	c.group.Go(func() {
		_ = clock.Sleep(ctx, time.Duration(i)*300*time.Millisecond)
		for ctx.Err() == nil {
			step()
			m.checkpoint()
			_ = clock.Sleep(ctx, interval)
		}
	})
}

// drain stops the requests and further faults, waits until all windows are
// reported, and stops the daemons.
func (c *usageCluster) drain(t *testing.T) {
	t.Helper()
	close(c.requestsStopped)
	for _, m := range c.machines {
		m.clearEvents()
	}
	sleep(t, 40*time.Second)
	c.stop()
	c.group.Wait()
	sleep(t, 2*lateDelay)
}

func sum(counts map[ledgerKey]int64) int64 {
	total := int64(0)
	for _, n := range counts {
		total += n
	}
	return total
}

// checkBalance asserts that the reports match the ledger: never more requests,
// and fewer only by what killed machines may have lost. A request that ended
// within the clock error of a window's edge may be in the adjacent window. It
// returns the number of missing requests.
func (c *usageCluster) checkBalance(t *testing.T) int64 {
	t.Helper()
	reported := map[ledgerKey]int64{}
	for _, report := range c.store.UsageReports() {
		reported[ledgerKey{report.Window, report.Workspace}] += report.Usage.Requests
		for _, adjustment := range report.Adjustments {
			reported[ledgerKey{adjustment.Window, report.Workspace}] += adjustment.Usage.Requests
		}
	}
	for key, count := range reported {
		if limit := c.ledger.counts[key] + c.ledger.edgeCounts[key]; count > limit {
			t.Errorf("%s, window %s: %d reported, at most %d counted", key.workspace, key.window, count, limit)
			c.logDifferences(t, reported)
		}
	}
	missing := sum(c.ledger.counts) - sum(reported)
	if missing < 0 {
		t.Errorf("%d more requests reported than counted", -missing)
	}
	if limit := c.lossBound(); missing > limit {
		t.Errorf("%d requests missing, want at most %d", missing, limit)
		c.logDifferences(t, reported)
	}
	return missing
}

// logDifferences logs the entries that differ from the ledger, the faults of each
// machine and the rows of the usage partition.
func (c *usageCluster) logDifferences(t *testing.T, reported map[ledgerKey]int64) {
	t.Helper()
	for key, counted := range c.ledger.counts {
		if reported[key] != counted {
			t.Logf("%s, window %s: %d of %d reported", key.workspace, key.window, reported[key], counted)
		}
	}
	for i, m := range c.machines {
		t.Logf("faults of d%d: %v", i, m.scheduled)
	}
	changes, err := c.store.Changes(context.Background(), models.PartitionUsage, 0)
	is.New(t).NoErr(err)
	for _, row := range changes.Rows {
		t.Logf("row %s at %d, deleted %t: %s", row.Key.Name, row.Revision, row.Deleted, row.Value)
	}
}

// lossBound returns how many requests killed machines may have lost: those
// counted within maxLossTime before a machine's last count. That period is
// extended by otherFaultTime, since the machine may have been unable to write.
// Machines with faults may also be unable to write again what a restore lost.
func (c *usageCluster) lossBound() int64 {
	lost := int64(0)
	for i, m := range c.machines {
		counts := c.ledger.countTimes[i]
		for _, at := range counts {
			killed := m.wasKilled() && at.After(counts[len(counts)-1].Add(-maxLossTime-m.otherFaultTime()))
			if killed || len(m.scheduled) > 0 && c.lostInRestore(at, m.otherFaultTime()) {
				lost++
			}
		}
	}
	return lost
}

// lostInRestore reports whether a restore may have lost a count, given how long
// faults kept the machine from writing it and from learning of the restore.
func (c *usageCluster) lostInRestore(at time.Time, faultTime time.Duration) bool {
	return slices.ContainsFunc(c.restores, func(r restoredTime) bool {
		return at.After(r.from.Add(-maxLossTime-faultTime)) && at.Before(r.to.Add(faultTime))
	})
}

// otherFaultTime bounds how long the faults of a machine other than the kill kept
// it from writing: for each, twice its duration plus 5 s, for calls that hang and
// are retried.
func (m *machine) otherFaultTime() time.Duration {
	total := time.Duration(0)
	for _, e := range m.scheduled {
		if e.kind != faultKill {
			total += 2*e.duration + 5*time.Second
		}
	}
	return total
}

// clearEvents removes the faults that have not begun yet.
func (m *machine) clearEvents() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pending = nil
}

func (m *machine) wasKilled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.killed
}

// runUsageTrial runs a cluster for trialDuration, drains it, and checks the
// reports and the invariants.
func runUsageTrial(t *testing.T, machines ...*machine) (c *usageCluster, missing int64) {
	t.Helper()
	c = newUsageCluster(machines...)
	sleep(t, trialDuration)
	c.drain(t)
	missing = c.checkBalance(t)
	checkInvariants(t, c.history)
	return c, missing
}
