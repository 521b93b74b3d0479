package daemon

import (
	"context"
	"time"

	"quincewinch/control"
	"quincewinch/models"
	"quincewinch/peer"
)

const fleetInterval = time.Second

// startFleet starts the tasks that reconcile engines with their desired state
// and that order and give back backend servers. Each acts only while this
// daemon holds the lease for it.
func (d *Daemon) startFleet(engines peer.Engines) {
	d.fleet = control.NewFleet(control.FleetPeers{
		Table:         d.platform.table,
		Engines:       engines,
		Orders:        d.orders,
		Leases:        d.leases,
		Configuration: d.configuration,
		States:        d.engines,
		Reports:       d.exchange.gossip,
		Own:           d.work,
		Clock:         d.clock,
		Timeline:      d.ring,
	}, control.DefaultFleetSettings(d.id, d.settings.Zone))
	d.registry.MustRegister(newFleetMetrics(d.fleet))
	d.system.Spawn(d.fleet, fleetInterval)
	d.system.Spawn(control.NewProvisioning(control.ProvisioningPeers{
		Table:         d.platform.table,
		Servers:       d.platform.servers,
		Orders:        d.orders,
		Leases:        d.leases,
		Configuration: d.configuration,
		States:        d.engines,
		Clock:         d.clock,
		Timeline:      d.ring,
	}, d.fleet), fleetInterval)
}

// ExplainEngine returns sentences that say what an engine does and why.
func (d *Daemon) ExplainEngine(ctx context.Context, engine models.EngineID) []string {
	return d.fleet.Explain(ctx, engine)
}
