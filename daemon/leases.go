package daemon

import (
	"time"

	"quincewinch/control"
	"quincewinch/models"
	"quincewinch/peer"
)

const (
	leaseInterval  = 250 * time.Millisecond
	markerInterval = 30 * time.Second
)

// startLeases takes part in the leases.
func (d *Daemon) startLeases() {
	self := control.Candidate{Daemon: d.id, Zone: d.settings.Zone}
	d.leases = control.NewLeases(self, d.platform.table, d.clock, d.ring, d.exchange.gossip, d.leaseNames, control.DefaultLeaseSettings())
	d.leases.Sample(d.usage.platformClock)
	d.system.Spawn(d.leases, leaseInterval)
	d.system.Spawn(control.NewMarkers(d.platform.table, d.leases, d.clock, control.DefaultMarkerSettings()), markerInterval)
}

// startOrders makes the sender of orders.
func (d *Daemon) startOrders(engines peer.Engines) {
	d.orders = control.NewOrders(d.platform.table, engines, d.platform.servers, d.clock, d.ring, control.DefaultOrderSettings())
}

// leaseNames lists the leases: one for the engines of each zone, and those
// that there is one of.
func (d *Daemon) leaseNames() []models.LeaseName {
	names := []models.LeaseName{models.LeaseServers, models.LeaseUsage}
	zones := map[models.Zone]bool{d.settings.Zone: true}
	for _, server := range d.configuration.Config().Backends {
		zones[server.Zone] = true
	}
	for zone := range zones {
		names = append(names, models.LeaseEngines(zone))
	}
	return names
}
