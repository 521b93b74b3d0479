package daemon

import (
	"time"

	"quincewinch/control"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/platform"
)

const (
	leaseStep  = 250 * time.Millisecond
	markerStep = 30 * time.Second
)

// startLeases takes part in the leases. Reports, where not nil, tells of the
// other candidates.
func (d *Daemon) startLeases(table peer.Table, reports peer.Reports) {
	self := control.Candidate{Daemon: d.id, Zone: d.settings.Zone}
	d.leases = control.NewLeases(self, table, d.clock, d.ring, reports, d.leaseNames, control.DefaultLeaseSettings())
	d.system.Spawn(d.leases, leaseStep)
	d.system.Spawn(control.NewMarkers(table, d.leases, d.clock, control.DefaultMarkerSettings()), markerStep)
}

// startOrders makes the sender of orders.
func (d *Daemon) startOrders(table peer.Table, engines peer.Engines, client *platform.Client) {
	d.orders = control.NewOrders(table, engines, platform.NewServers(client), d.clock, d.ring, control.DefaultOrderSettings())
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
