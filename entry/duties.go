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
	// leaseSafety is the part of a lease's duration before whose end its holder
	// stops.
	leaseSafety = 6
	// leaseMargin is the part of a lease's duration that others wait beyond it.
	leaseMargin = 10
	// leaseRenewals is how often a lease is renewed in its duration.
	leaseRenewals = 3
	// standbyStep is the time between two steps of the leases at a daemon that
	// leaves them to others.
	standbyStep = 10 * time.Second
	// dutyStep is the time between two steps of leases and duties.
	dutyStep = 250 * time.Millisecond
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
	d.system.Spawn(&candidate{leases: d.duties.leases, sharer: d.sharing.sharer, clock: d.clock}, dutyStep)
	calls := platform.NewDuties(settings.Duties.Address, dutyClient(), d.clock, settings.Name)
	if settings.Duties.Usage {
		closer := billing.NewCloser(store, d.duties.leases, calls, billing.Clocks{Lease: d.clock, Day: d.wall}, d.logger, windows)
		d.system.Spawn(d.duties.counter, dutyStep)
		d.system.Spawn(closer, dutyStep)
	}
	if settings.Duties.Supply {
		manager := supply.NewManager(d.configuration.Routing, d.fleet.Snapshot, settings.Zones, d.duties.leases, calls, d.clock, d.logger)
		d.system.Spawn(manager, dutyStep)
	}
}

// candidate steps the leases: often where this daemon speaks for its zone, else
// seldom, so that the calls of the store do not grow with all daemons. A lease
// that nobody of those renews is found all the same.
type candidate struct {
	leases    *control.Leases
	sharer    *balance.Sharer
	clock     peer.Clock
	steppedAt time.Time
}

// Step implements control.Task.
func (c *candidate) Step(ctx context.Context) {
	now := c.clock.Now()
	if !c.sharer.LeadsZone() && !c.leases.Holds() && now.Sub(c.steppedAt) < standbyStep {
		return
	}
	c.steppedAt = now
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
		Safety:       duration / leaseSafety,
		Margin:       duration / leaseMargin,
		Renew:        duration / leaseRenewals,
		Read:         duration / leaseRenewals,
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
