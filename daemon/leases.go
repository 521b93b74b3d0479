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

// startLeases starts the tasks that acquire and renew leases and that delete
// old transaction markers.
func (d *Daemon) startLeases() {
	self := control.Candidate{Daemon: d.id, Zone: d.settings.Zone}
	d.leases = control.NewLeases(self, d.platform.table, d.clock, d.ring, d.exchange.gossip, d.leaseNames, control.DefaultLeaseSettings())
	d.leases.SetPlatformClock(d.usage.platformClock)
	d.system.Spawn(d.leases, leaseInterval)
	d.system.Spawn(control.NewMarkerCleaner(d.platform.table, d.leases, d.clock, control.DefaultMarkerSettings()), markerInterval)
}

// startOrders creates the sender of orders to engines and to the platform.
func (d *Daemon) startOrders(engines peer.Engines) {
	d.orders = control.NewOrders(d.platform.table, engines, d.platform.servers, d.clock, d.ring, control.DefaultOrderSettings())
}

// leaseNames returns all leases: one on the engines of each zone, one on
// ordering backend servers and one on billing windows.
func (d *Daemon) leaseNames() []models.LeaseName {
	names := []models.LeaseName{models.LeaseServers, models.LeaseUsage}
	zones := map[models.Zone]bool{d.settings.Zone: true}
	for _, server := range d.configuration.Config().Backends {
		zones[server.Zone] = true
	}
	for zone := range zones {
		names = append(names, models.EngineLease(zone))
	}
	return names
}
