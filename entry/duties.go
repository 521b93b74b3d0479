package entry

import (
	"context"
	"crypto/rand"
	"time"

	"go.uber.org/zap"

	"quincewinch/balance"
	"quincewinch/billing"
	"quincewinch/control"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/platform"
	"quincewinch/supply"
)

const (
	// leaseSafetyDivisor sets how long before the end of its lease a holder
	// stops using it: 1/6 of the lease's duration.
	leaseSafetyDivisor = 6
	// leaseMarginDivisor sets how long other candidates wait after a lease has
	// expired: 1/10 of its duration.
	leaseMarginDivisor = 10
	// renewalsPerLease is how many times a lease is renewed, and the leases are
	// read, within one lease duration.
	renewalsPerLease = 3
	// standbyInterval is the time between two lease checks at a daemon that
	// holds no lease and does not lead its zone.
	standbyInterval = 10 * time.Second
	// standbys is the number of daemons that, beside the one that comes before all
	// others, are ready to take over a lease at once.
	standbys = 1
	// leaderInterval is the time between two lease checks at the other leaders of
	// zones.
	leaderInterval = 5 * time.Second
	// dutyInterval is the time between two runs of the lease and duty tasks.
	dutyInterval = 250 * time.Millisecond
)

// duties are the tasks that one daemon performs for the whole fleet while it
// holds the lease for them.
type duties struct {
	leases  *control.Leases
	counter *billing.Counter
}

// startDuties makes the daemon a candidate for the leases that its settings
// allow, and starts counting for the billing windows.
func (d *Daemon) startDuties(store *platform.Store) {
	settings := d.settings.Load()
	process := models.DaemonID(settings.Name + "-" + rand.Text())
	var names []models.LeaseName
	if settings.Duties.ReportUsage {
		names = append(names, models.LeaseUsage)
	}
	if settings.Duties.OrderServers {
		names = append(names, models.LeaseServers)
	}
	d.duties.leases = control.NewLeases(
		control.Candidate{Daemon: process, Zone: settings.Zone},
		store, d.clock, eventLog{d.logger}, nil,
		func() []models.LeaseName { return names },
		leaseSettings(settings.LeaseDuration, settings.Store.Timeout),
	)
	windows := billing.Settings{Window: settings.Duties.UsageWindow, ReportDeadline: settings.Duties.UsageReportDelay, VMs: d.vms}
	d.duties.counter = billing.NewCounter(settings.Name, process, d.sharing.writer, d.wall, d.logger, windows)
	if len(names) == 0 {
		return
	}
	d.system.Spawn(&candidate{
		leases:   d.duties.leases,
		sharer:   d.sharing.sharer,
		clock:    d.clock,
		interval: settings.LeaseDuration / renewalsPerLease,
	}, dutyInterval)
	calls := platform.NewDuties(settings.Duties.Address, dutyClient(), d.clock, settings.Name)
	if settings.Duties.ReportUsage {
		closer := billing.NewCloser(store, d.duties.leases, calls, billing.Clocks{Monotonic: d.clock, Wall: d.wall}, d.logger, windows)
		d.system.Spawn(d.duties.counter, dutyInterval)
		d.gauge("windows_unreported_total", "Billing windows with requests that this daemon did not report, since the store had lost whether they had been.", func() float64 {
			return float64(closer.Unreported())
		})
		d.system.Spawn(closer, dutyInterval)
	}
	if settings.Duties.OrderServers {
		manager := supply.NewManager(d.configuration.Routing, d.fleet.Snapshot, settings.Zones, d.duties.leases, calls, d.balancer, d.clock, d.logger)
		d.system.Spawn(manager, dutyInterval)
	}
}

// candidate renews held leases and takes over expired ones. A daemon that holds a
// lease does so at every step, the first of the others as often as leases are renewed,
// and the rest rarely, so that the number of store calls does not grow with
// the number of daemons. The rare checks still find a lease that none of the first
// renews.
type candidate struct {
	leases   *control.Leases
	sharer   *balance.Sharer
	clock    peer.Clock
	interval time.Duration // between two checks of a standby
	lastStep time.Time
}

// Step implements control.Task.
func (c *candidate) Step(ctx context.Context) {
	now := c.clock.Now()
	if !c.leases.Holds() && now.Sub(c.lastStep) < c.checkInterval() {
		return
	}
	c.lastStep = now
	c.leases.Step(ctx)
}

// checkInterval returns the time between two checks while this daemon holds no lease.
func (c *candidate) checkInterval() time.Duration {
	rank, leads := c.sharer.StandbyRank()
	switch {
	case leads && rank <= standbys:
		return c.interval
	case leads:
		return leaderInterval
	}
	return standbyInterval
}

// vms returns the names of the VMs that may have counted requests: this one and
// those of the other known daemons.
func (d *Daemon) vms() []string {
	names := []string{d.settings.Load().Name}
	for id := range d.sharing.members.Others() {
		names = append(names, string(id))
	}
	return names
}

// leaseSettings derives all lease timings from the lease duration.
func leaseSettings(duration, timeout time.Duration) control.LeaseSettings {
	return control.LeaseSettings{
		Duration:        duration,
		HolderMargin:    duration / leaseSafetyDivisor,
		CandidateMargin: duration / leaseMarginDivisor,
		RenewInterval:   duration / renewalsPerLease,
		ReadInterval:    duration / renewalsPerLease,
		Timeout:         timeout,
		ReacquireDelay:  duration,
	}
}

// eventLog writes lease events to the process log. It implements peer.Timeline.
type eventLog struct {
	logger *zap.Logger
}

// Record implements peer.Timeline.
func (l eventLog) Record(event models.Event) {
	l.logger.Info(event.What,
		zap.String("kind", string(event.Kind)),
		zap.String("lease", string(event.Lease)),
		zap.String("why", event.Why),
	)
}
