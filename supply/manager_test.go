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

// fakeLeases is held where its number is above zero.
type fakeLeases struct{ fence uint64 }

// Authority implements peer.Leases.
func (l *fakeLeases) Authority(name models.LeaseName) models.Authority {
	return models.Authority{Lease: name, Fence: l.fence, Deadline: system.NewClock().Now().Add(time.Second)}
}

// fakeSupply keeps what was ordered; refuse makes it refuse.
type fakeSupply struct {
	given  []models.SupplyOrder
	refuse bool
}

// Set implements peer.Supply.
func (o *fakeSupply) Set(_ context.Context, _ models.Authority, order models.SupplyOrder) error {
	o.given = append(o.given, order)
	if o.refuse {
		return peer.NewFailure(peer.OutcomeConflict, "none is to be had", nil)
	}
	return nil
}

// fixture is one service in one zone.
type fixture struct {
	is      *is.I
	t       *testing.T
	leases  fakeLeases
	supply  fakeSupply
	fleet   routing.Snapshot
	manager *supply.Manager
}

func newWorld(t *testing.T, reserved, cheap int) *fixture {
	w := &fixture{is: is.New(t), t: t, leases: fakeLeases{fence: 1}}
	view := &models.Routing{Services: map[models.ServiceName]models.RoutedService{
		"s": {Name: "s", Supply: &models.SupplyLimits{Min: 1, Max: 6, Startup: 4 * time.Second, CheapPrice: 0.2}},
		"t": {Name: "t"},
	}}
	w.register(reserved, cheap)
	w.manager = supply.NewManager(
		func() *models.Routing { return view }, func() *routing.Snapshot { return &w.fleet },
		[]models.Zone{"z"}, &w.leases, &w.supply, system.NewClock(), zap.NewNop(),
	)
	return w
}

func (w *fixture) register(reserved, cheap int) {
	var upstreams []models.Upstream
	for i := range reserved + cheap {
		upstreams = append(upstreams, models.Upstream{Service: "s", Zone: "z", Cheap: i >= reserved})
	}
	w.fleet = routing.Snapshot{ByService: map[models.ServiceName][]models.Upstream{"s": upstreams}}
}

// advance lets virtual time pass.
func (w *fixture) advance(d time.Duration) {
	w.t.Helper()
	w.is.NoErr(system.NewClock().Sleep(w.t.Context(), d))
}

// expect steps and checks what was ordered since the last time.
func (w *fixture) expect(want ...models.SupplyOrder) {
	w.t.Helper()
	w.manager.Step(w.t.Context())
	w.is.Equal(w.supply.given, want)
	w.supply.given = nil
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
		play func(w *fixture)
	}{
		{"cheap ones come before reserved ones go", func(w *fixture) {
			w.expect(cheap(3))
			w.register(3, 3)
			w.expect(cheap(5), reserved(1))
		}},
		{"an order is given once while it is carried out", func(w *fixture) {
			w.expect(cheap(3))
			w.expect()
		}},
		{"and again where nothing came", func(w *fixture) {
			w.expect(cheap(3))
			w.advance(8 * time.Second)
			w.expect(cheap(3))
		}},
		{"a refused order is tried again, not at once", func(w *fixture) {
			w.supply.refuse = true
			w.expect(cheap(3))
			w.expect()
			w.advance(3 * time.Second)
			w.expect(cheap(3))
		}},
		{"a new holder goes by what there is", func(w *fixture) {
			w.register(1, 5)
			w.leases.fence = 2
			w.expect()
		}},
		{"nothing without the lease", func(w *fixture) {
			w.leases.fence = 0
			w.expect()
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test.play(newWorld(t, 3, 0)) })
		})
	}
}
