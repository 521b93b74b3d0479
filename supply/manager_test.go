package supply_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/system"
	"quincewinch/routing"
	"quincewinch/supply"
)

// fakeLeases holds every lease for one more second, with a fixed fencing number.
// Fencing number 0 stands for a lease that is not held.
type fakeLeases struct{ fence uint64 }

// Authority implements peer.Leases.
func (l *fakeLeases) Authority(name models.LeaseName) models.Authority {
	return models.Authority{Lease: name, Fence: l.fence, Deadline: system.NewClock().Now().Add(time.Second)}
}

// fakeSupply records the orders it receives, and refuses them if refuse is set.
type fakeSupply struct {
	received []models.SupplyOrder
	refuse   bool
}

// Set implements peer.Supply.
func (o *fakeSupply) Set(_ context.Context, _ models.Authority, order models.SupplyOrder) error {
	o.received = append(o.received, order)
	if o.refuse {
		return peer.NewFailure(peer.OutcomeConflict, "no cheap backend server is available", nil)
	}
	return nil
}

// idle is the load of backend servers that have nothing to do.
type idle struct{}

// Busy implements supply.Load.
func (idle) Busy(models.ServiceName) float64 { return 0 }

// fixture is a manager for one service in one zone.
type fixture struct {
	is      *is.I
	t       *testing.T
	leases  fakeLeases
	supply  fakeSupply
	fleet   routing.Snapshot
	manager *supply.Manager
}

func newFixture(t *testing.T, reserved, cheap int) *fixture {
	f := &fixture{is: is.New(t), t: t, leases: fakeLeases{fence: 1}}
	view := &models.Routing{Services: map[models.ServiceName]models.RoutedService{
		"s": {Name: "s", Supply: &models.SupplyLimits{Min: 1, Max: 6, Startup: 4 * time.Second, CheapPrice: 0.2}},
		"t": {Name: "t"},
	}}
	f.register(reserved, cheap)
	f.manager = supply.NewManager(
		func() *models.Routing { return view }, func() *routing.Snapshot { return &f.fleet },
		[]models.Zone{"z"}, &f.leases, &f.supply, idle{}, system.NewClock(), zap.NewNop(),
	)
	return f
}

func (f *fixture) register(reserved, cheap int) {
	var upstreams []models.Upstream
	for i := range reserved + cheap {
		upstreams = append(upstreams, models.Upstream{Service: "s", Zone: "z", Cheap: i >= reserved})
	}
	f.fleet = routing.Snapshot{ByService: map[models.ServiceName][]models.Upstream{"s": upstreams}}
}

// advance advances the virtual time.
func (f *fixture) advance(d time.Duration) {
	f.t.Helper()
	f.is.NoErr(system.NewClock().Sleep(f.t.Context(), d))
}

// expect runs one step of the manager and checks the orders that it places.
func (f *fixture) expect(want ...models.SupplyOrder) {
	f.t.Helper()
	f.manager.Step(f.t.Context())
	f.is.Equal(f.supply.received, want)
	f.supply.received = nil
}

func cheap(n int) models.SupplyOrder {
	return models.SupplyOrder{Service: "s", Zone: "z", Cheap: true, Count: n}
}

func reserved(n int) models.SupplyOrder {
	return models.SupplyOrder{Service: "s", Zone: "z", Count: n}
}

func TestManager(t *testing.T) {
	tests := []struct {
		name string
		run  func(f *fixture)
	}{
		{"cheap servers are added before reserved ones are removed", func(f *fixture) {
			f.expect(cheap(3))
			f.register(3, 3)
			f.expect(cheap(6), reserved(0))
		}},
		{"an order is not repeated while it is being fulfilled", func(f *fixture) {
			f.expect(cheap(3))
			f.expect()
		}},
		{"an order is repeated if no server has registered in time", func(f *fixture) {
			f.expect(cheap(3))
			f.advance(8 * time.Second)
			f.expect(cheap(3))
		}},
		{"a refused order is retried after a delay", func(f *fixture) {
			f.supply.refuse = true
			f.expect(cheap(3))
			f.expect()
			f.advance(3 * time.Second)
			f.expect(cheap(3))
		}},
		{"a new lease holder starts from the registered servers", func(f *fixture) {
			f.register(0, 6)
			f.leases.fence = 2
			f.expect()
		}},
		{"no orders are placed without the lease", func(f *fixture) {
			f.leases.fence = 0
			f.expect()
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test.run(newFixture(t, 3, 0)) })
		})
	}
}
