package control_test

import (
	"maps"
	"strconv"
	"testing"

	"quincewinch/control"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/system"
	"quincewinch/standin/platform"
	"quincewinch/timeline"
)

// fixedStates returns the same states on every call.
type fixedStates map[models.EngineID]models.EngineState

// States implements peer.EngineStates.
func (s fixedStates) States() map[models.EngineID]models.EngineState {
	return maps.Clone(s)
}

// noLease holds no lease.
type noLease struct{}

// Authority implements peer.Leases.
func (noLease) Authority(models.LeaseName) models.Authority { return models.Authority{} }

// BenchmarkFleetStep measures one step, which a daemon runs once a second,
// with 600 engines of 22 models in 6 zones.
func BenchmarkFleetStep(b *testing.B) {
	clock := system.NewClock()
	store := platform.NewStore(clock)
	w := &world{clock: clock, store: store, config: &models.Config{Through: 1, Backends: map[models.EngineID]models.BackendServer{}}}
	states := fixedStates{}
	for i := range 600 {
		id := engineName(i)
		w.config.Backends[id] = models.BackendServer{Engine: id, Zone: models.Zone("zone-" + strconv.Itoa(i%6))}
		states[id] = models.EngineState{
			Engine:      id,
			Role:        startRole(i/22, 600/22),
			Models:      []models.Model{models.Model("model-" + strconv.Itoa(i%22))},
			PrefillRate: 20000,
			DecodeRate:  125,
		}
	}
	for name, leases := range map[string]peer.Leases{"holder-of-none": noLease{}, "holder-of-all": newLeaseTable(b, store, clock).current()} {
		b.Run(name, func(b *testing.B) {
			engines := simEngines{world: w}
			fleet := control.NewFleet(control.FleetPeers{
				Table: store, Engines: failingEngines{}, Leases: leases, Configuration: w, States: states, Reports: w, Own: w, Clock: clock,
				Orders:   control.NewOrders(store, engines, platform.NewServers(store), clock, timeline.NewRing(clock, "", "", 1, nil), control.DefaultOrderSettings()),
				Timeline: timeline.NewRing(clock, "", "", 1, nil),
			}, control.DefaultFleetSettings("entry-1", "zone-0"))
			b.ReportAllocs()
			for b.Loop() {
				fleet.Step(b.Context())
			}
			fleet.Wait()
		})
	}
}

// failingEngines are engines that fail every check.
type failingEngines struct{}

// Engine implements peer.Engines.
func (failingEngines) Engine(models.BackendServer) peer.Engine { return wrongRequestEngine{} }
