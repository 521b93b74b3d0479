// Package supply orders backend servers from the platform while this daemon
// holds the servers lease.
package supply

import (
	"context"
	"time"

	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/peer"
	policy "quincewinch/policy/supply"
	"quincewinch/routing"
)

const (
	// repeatDelay is how long after the startup time of ordered backend servers
	// the order is repeated if they have not registered.
	repeatDelay = 3 * time.Second
	// failedRetryDelay is how long after a failed order it is retried: cheap
	// backend servers may be available again within seconds.
	failedRetryDelay = 2 * time.Second
)

// Load provides how busy backend servers are.
type Load interface {
	// Busy returns how many backend servers of a service are busy now, partly
	// busy ones as fractions.
	Busy(service models.ServiceName) float64
}

// Manager orders backend servers for all services that have supply limits.
type Manager struct {
	routing func() *models.Routing
	fleet   func() *routing.Snapshot
	zones   []models.Zone
	leases  peer.Leases
	supply  peer.Supply
	load    Load
	clock   peer.Clock
	logger  *zap.Logger

	// Used only by Step.
	fence      uint64
	lastOrders map[orderKey]order
	demands    map[models.ServiceName]*policy.Demand
}

// orderKey identifies what an order applies to.
type orderKey struct {
	service models.ServiceName
	zone    models.Zone
	cheap   bool
}

// order is the last order for an orderKey.
type order struct {
	count    int
	repeatAt time.Time // when the order is repeated if it has not been fulfilled
}

// NewManager returns a manager that has placed no orders.
func NewManager(view func() *models.Routing, fleet func() *routing.Snapshot, zones []models.Zone, leases peer.Leases, supply peer.Supply, load Load, clock peer.Clock, logger *zap.Logger) *Manager {
	return &Manager{
		routing:    view,
		fleet:      fleet,
		zones:      zones,
		leases:     leases,
		supply:     supply,
		load:       load,
		clock:      clock,
		logger:     logger,
		lastOrders: map[orderKey]order{},
		demands:    map[models.ServiceName]*policy.Demand{},
	}
}

// Step places the orders that are due. A change of the fencing number discards
// the record of earlier orders, since another daemon may have held the lease.
func (m *Manager) Step(ctx context.Context) {
	now := m.clock.Now()
	authority := m.leases.Authority(models.LeaseServers)
	if !authority.Valid(now) {
		return
	}
	if authority.Fence != m.fence {
		m.fence = authority.Fence
		clear(m.lastOrders)
		clear(m.demands)
	}
	view, fleet := m.routing(), m.fleet()
	if view == nil || fleet == nil {
		return
	}
	for _, service := range view.Services {
		if service.Supply == nil {
			continue
		}
		zones := m.countRegistered(service.Name, fleet)
		for i, wanted := range policy.Plan(service, zones, m.demand(service.Name, now), now) {
			m.placeOrder(ctx, authority, *service.Supply, wanted, zones[i/2])
		}
	}
}

// demand samples how many backend servers of a service are busy, and returns the
// record of it.
func (m *Manager) demand(service models.ServiceName, now time.Time) *policy.Demand {
	demand, ok := m.demands[service]
	if !ok {
		demand = &policy.Demand{}
		m.demands[service] = demand
	}
	demand.Observe(m.load.Busy(service), now)
	return demand
}

// countRegistered returns the number of registered backend servers of a service
// in each zone.
func (m *Manager) countRegistered(service models.ServiceName, fleet *routing.Snapshot) []policy.Zone {
	zones := make([]policy.Zone, len(m.zones))
	for i, name := range m.zones {
		zones[i].Name = name
		for _, upstream := range fleet.ByService[service] {
			switch {
			case upstream.Zone != name:
			case upstream.Cheap:
				zones[i].Cheap++
			default:
				zones[i].Reserved++
			}
		}
	}
	return zones
}

// placeOrder sends an order to the platform if it changes the count, or if the
// backend servers of the last one have not registered in time.
func (m *Manager) placeOrder(ctx context.Context, authority models.Authority, limits models.SupplyLimits, wanted models.SupplyOrder, zone policy.Zone) {
	now := m.clock.Now()
	present := zone.Reserved
	if wanted.Cheap {
		present = zone.Cheap
	}
	key := orderKey{service: wanted.Service, zone: wanted.Zone, cheap: wanted.Cheap}
	last, ordered := m.lastOrders[key]
	switch {
	case ordered && last.count == wanted.Count && (present == wanted.Count || now.Before(last.repeatAt)):
		return
	case !ordered && present == wanted.Count:
		return
	}
	fields := []zap.Field{
		zap.String("service", string(wanted.Service)),
		zap.String("zone", string(wanted.Zone)),
		zap.Bool("cheap", wanted.Cheap),
		zap.Int("count", wanted.Count),
		zap.Int("present", present),
		zap.Uint64("fence", authority.Fence),
	}
	if err := m.supply.Set(ctx, authority, wanted); err != nil {
		m.lastOrders[key] = order{count: wanted.Count, repeatAt: now.Add(failedRetryDelay)}
		m.logger.Warn("backend servers not ordered", append(fields, zap.Error(err))...)
		return
	}
	m.lastOrders[key] = order{count: wanted.Count, repeatAt: now.Add(limits.Startup + repeatDelay)}
	m.logger.Info("backend servers ordered", fields...)
}
