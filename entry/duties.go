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
	// leaseSafetyDivisor is the part of a lease's duration before whose end its holder
	// stops.
	leaseSafetyDivisor = 6
	// leaseMarginDivisor is the part of a lease's duration that others wait beyond it.
	leaseMarginDivisor = 10
	// renewalsPerLease is how often a lease is renewed in its duration.
	renewalsPerLease = 3
	// standbyInterval is the time between two steps of the leases at a daemon that
	// leaves them to others.
	standbyInterval = 10 * time.Second
	// dutyInterval is the time between two steps of leases and duties.
	dutyInterval = 250 * time.Millisecond
)

// duties is what one daemon does for all, under a lease.
type duties struct {
	leases  *control.Leases
	counter *billing.Counter
}

// startDuties takes part in the lease, and counts for the billing windows.
func (d *Daemon) startDuties(store *platform.Store) {
	settings := d.settings.Load()
	process := models.DaemonID(settings.Name + "-" + rand.Text())
	var names []models.LeaseName
	if settings.Duties.Usage {
		names = append(names, models.LeaseUsage)
	}
	if settings.Duties.Supply {
		names = append(names, models.LeaseServers)
	}
	d.duties.leases = control.NewLeases(
		control.Candidate{Daemon: process, Zone: settings.Zone},
		store, d.clock, eventLog{d.logger}, nil,
		func() []models.LeaseName { return names },
		leaseSettings(settings.Lease, settings.Store.Timeout),
	)
	windows := billing.Settings{Window: settings.Duties.UsageWindow, Latest: settings.Duties.UsageLatest, VMs: d.vms}
	d.duties.counter = billing.NewCounter(settings.Name, process, store, d.wall, d.logger, windows)
	if len(names) == 0 {
		return
	}
	d.system.Spawn(&candidate{leases: d.duties.leases, sharer: d.sharing.sharer, clock: d.clock}, dutyInterval)
	calls := platform.NewDuties(settings.Duties.Address, dutyClient(), d.clock, settings.Name)
	if settings.Duties.Usage {
		closer := billing.NewCloser(store, d.duties.leases, calls, billing.Clocks{Lease: d.clock, Day: d.wall}, d.logger, windows)
		d.system.Spawn(d.duties.counter, dutyInterval)
		d.system.Spawn(closer, dutyInterval)
	}
	if settings.Duties.Supply {
		manager := supply.NewManager(d.configuration.Routing, d.fleet.Snapshot, settings.Zones, d.duties.leases, calls, d.clock, d.logger)
		d.system.Spawn(manager, dutyInterval)
	}
}

// candidate steps the leases: often where this daemon speaks for its zone, else
// seldom, so that the calls of the store do not grow with all daemons. A lease
// that nobody of those renews is found all the same.
type candidate struct {
	leases   *control.Leases
	sharer   *balance.Sharer
	clock    peer.Clock
	lastStep time.Time
}

// Step implements control.Task.
func (c *candidate) Step(ctx context.Context) {
	now := c.clock.Now()
	if !c.sharer.Speaks() && !c.leases.Holds() && now.Sub(c.lastStep) < standbyInterval {
		return
	}
	c.lastStep = now
	c.leases.Step(ctx)
}

// vms names the VMs that may have counts.
func (d *Daemon) vms() []string {
	names := []string{d.settings.Load().Name}
	for id := range d.sharing.members.Others() {
		names = append(names, string(id))
	}
	return names
}

// leaseSettings derives the times of leases from their duration.
func leaseSettings(duration, timeout time.Duration) control.LeaseSettings {
	return control.LeaseSettings{
		Duration:     duration,
		Safety:       duration / leaseSafetyDivisor,
		Margin:       duration / leaseMarginDivisor,
		Renew:        duration / renewalsPerLease,
		Read:         duration / renewalsPerLease,
		Timeout:      timeout,
		AfterRelease: duration,
	}
}

// eventLog writes events to the log. It implements peer.Timeline.
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
