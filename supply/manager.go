// Package supply orders backend servers from the platform while this daemon
// holds the lease.
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
	// repeatDelay is how long after an order it is given again where the backend
	// servers have not come, beyond the time that they need to start.
	repeatDelay = 3 * time.Second
	// refusedRetryDelay is how long after a refusal an order is tried again: there
	// may be cheap backend servers again within seconds.
	refusedRetryDelay = 2 * time.Second
)

// Manager gives orders for all services whose backend servers can be ordered.
type Manager struct {
	routing func() *models.Routing
	fleet   func() *routing.Snapshot
	zones   []models.Zone
	leases  peer.Leases
	supply  peer.Supply
	clock   peer.Clock
	logger  *zap.Logger

	// Used by Step alone.
	fence      uint64
	lastOrders map[orderKey]order
}

// orderKey is what one order is about.
type orderKey struct {
	service models.ServiceName
	zone    models.Zone
	cheap   bool
}

// order is the last order on a subject.
type order struct {
	count    int
	repeatAt time.Time // to be given again then, where it is not carried out
}

// NewManager returns a manager that has ordered nothing.
func NewManager(view func() *models.Routing, fleet func() *routing.Snapshot, zones []models.Zone, leases peer.Leases, supply peer.Supply, clock peer.Clock, logger *zap.Logger) *Manager {
	return &Manager{
		routing:    view,
		fleet:      fleet,
		zones:      zones,
		leases:     leases,
		supply:     supply,
		clock:      clock,
		logger:     logger,
		lastOrders: map[orderKey]order{},
	}
}

// Step gives the orders that are due.
func (m *Manager) Step(ctx context.Context) {
	authority := m.leases.Authority(models.LeaseServers)
	if !authority.Valid(m.clock.Now()) {
		return
	}
	if authority.Fence != m.fence {
		m.fence = authority.Fence
		clear(m.lastOrders)
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
		for i, wanted := range policy.Plan(service, zones) {
			m.placeOrder(ctx, authority, *service.Supply, wanted, zones[i/2])
		}
	}
}

// countRegistered returns what is registered in each zone.
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

// placeOrder gives an order that changes something, or whose backend servers have
// not come in time.
func (m *Manager) placeOrder(ctx context.Context, authority models.Authority, limits models.SupplyLimits, wanted models.SupplyOrder, zone policy.Zone) {
	now := m.clock.Now()
	present := zone.Reserved
	if wanted.Cheap {
		present = zone.Cheap
	}
	key := orderKey{service: wanted.Service, zone: wanted.Zone, cheap: wanted.Cheap}
	last, given := m.lastOrders[key]
	switch {
	case given && last.count == wanted.Count && (present == wanted.Count || now.Before(last.repeatAt)):
		return
	case !given && present == wanted.Count:
		return
	}
	err := m.supply.Set(ctx, authority, wanted)
	m.lastOrders[key] = order{count: wanted.Count, repeatAt: now.Add(limits.Startup + repeatDelay)}
	if err != nil {
		m.lastOrders[key] = order{count: wanted.Count, repeatAt: now.Add(refusedRetryDelay)}
	}
	m.logger.Info("backend servers ordered",
		zap.String("service", string(wanted.Service)),
		zap.String("zone", string(wanted.Zone)),
		zap.Bool("cheap", wanted.Cheap),
		zap.Int("count", wanted.Count),
		zap.Int("present", present),
		zap.Uint64("fence", authority.Fence),
		zap.Error(err),
	)
}
