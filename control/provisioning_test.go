package control_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/control"
	"quincewinch/invariant"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/standin/engine"
	"quincewinch/standin/platform"
	"quincewinch/table"
)

// recordingServers is the platform's ordering of backend servers for a world.
// It records the orders that take effect in the history.
type recordingServers struct {
	*platform.Servers
	world         *world
	answersToLose int // number of answers still to be lost
	listLag       int // number of calls by which List lags
	lists         [][]models.BackendServer
}

// List implements peer.Servers.
func (m *recordingServers) List(ctx context.Context) ([]models.BackendServer, error) {
	list, err := m.Servers.List(ctx)
	m.lists = append(m.lists, list)
	return m.lists[max(len(m.lists)-1-m.listLag, 0)], err
}

// Order implements peer.Servers.
func (m *recordingServers) Order(ctx context.Context, order models.ServerOrder) error {
	before := len(m.world.store.ServerOrders())
	err := m.Servers.Order(ctx, order)
	if len(m.world.store.ServerOrders()) > before {
		m.world.history.ServerOrder(invariant.ServerOrder{
			At:         m.world.clock.Now(),
			Order:      order,
			Authorised: m.world.leases.holds(order.Fence),
		})
	}
	if m.answersToLose > 0 {
		m.answersToLose--
		return peer.NewFailure(peer.OutcomeUnknown, "the answer was lost", nil)
	}
	return err
}

// Launch implements platform.Launcher.
func (w *world) Launch(zone models.Zone, cheap bool) (models.BackendServer, error) {
	w.launched++
	id := models.EngineID("launched-" + strconv.Itoa(100+w.launched))
	w.start(id, models.RoleBoth, nil)
	return models.BackendServer{Engine: id, Zone: zone, URL: "http://127.0.0.1:1", Cheap: cheap, ChecksFence: true}, nil
}

// Stop implements platform.Launcher.
func (w *world) Stop(id models.EngineID) error {
	state, err := w.engines[id].State(context.Background())
	if err == nil && state.Running+state.Queued > 0 {
		w.history.Answer(invariant.Answer{Request: "running at " + models.RequestID(id), Refusal: &models.Refusal{}, PlannedInterruption: true})
	}
	w.engines[id].Crash()
	delete(w.engines, id)
	return nil
}

// evict removes the cheap servers of a zone and returns how many there were.
func (w *world) evict(zone models.Zone) int {
	count := 0
	for id, server := range w.config.Backends {
		if _, runs := w.engines[id]; runs && server.Zone == zone && server.Cheap {
			w.engines[id].Crash()
			delete(w.engines, id)
			w.store.RemoveServer(id)
			count++
		}
	}
	return count
}

// newProvisioning writes a world's configuration to the platform's table and
// returns a daemon's fleet, its provisioning and the platform's servers.
func newProvisioning(t *testing.T, w *world, cells string) (*control.Fleet, *control.Provisioning, *recordingServers) {
	t.Helper()
	is := is.New(t)
	put := func(kind table.Kind, name, raw string) {
		parsed, err := table.Parse(kind, []byte(raw))
		is.NoErr(err)
		value, err := table.Encode(parsed)
		is.NoErr(err)
		_, err = w.store.Transact(t.Context(), models.Transaction{Writes: []models.Write{{Key: table.Key(kind, name), Value: value}}})
		is.NoErr(err)
	}
	for id, server := range w.config.Backends {
		put(table.KindBackend, string(id), `{"zone": "`+string(server.Zone)+`", "url": "http://127.0.0.1:1", "checks-fence": true}`)
		w.store.AddServer(server)
	}
	put(table.KindRoute, string(model), `{"kind": "model"}`)
	put(table.KindModel, string(model), `{"pieces": 512, "min-hot": 8}`)
	put(table.KindFleet, "limits", cells)
	w.reload(t)
	w.store.SetLauncher(w)
	m := &recordingServers{Servers: platform.NewServers(w.store), world: w}
	leases := w.leases.current()
	fleet := w.newFleet("entry-1", leases, nil)
	return fleet, control.NewProvisioning(control.ProvisioningPeers{
		Table:         w.store,
		Servers:       m,
		Orders:        control.NewOrders(w.store, simEngines{world: w, daemon: "entry-1"}, m, w.clock, w.ring, control.DefaultOrderSettings()),
		Leases:        leases,
		Configuration: w,
		States:        visibleStates{world: w},
		Clock:         w.clock,
		Timeline:      w.ring,
	}, fleet), m
}

// reload reads the configuration from the platform's table.
func (w *world) reload(t *testing.T) {
	t.Helper()
	changes, err := w.store.Changes(t.Context(), models.PartitionConfig, 0)
	is := is.New(t)
	is.NoErr(err)
	config, faults := table.Build(changes.Rows, changes.Through)
	is.Equal(faults, nil)
	w.config = config
	w.placementConfigs = append(w.placementConfigs, config)
	if len(w.placementConfigs) > placementLag {
		w.placementConfigs = w.placementConfigs[1:]
	}
}

// provision steps provisioning and the fleet once a second.
func (w *world) provision(t *testing.T, seconds int, fleet *control.Fleet, provisioning *control.Provisioning) {
	t.Helper()
	for range seconds {
		w.reload(t)
		provisioning.Step(t.Context())
		w.run(t, 1, fleet)
	}
}

const fleetLimits = `{"spend-per-hour": 60, "max-per-zone": 16, "cost-weight": 3, "cheap-share": 0.6, "loads-per-minute": 60}`

func TestServersAreOrderedForGrowth(t *testing.T) {
	runSimulation(t, engineCount, func(t *testing.T, w *world) {
		is := is.New(t)
		fleet, provisioning, _ := newProvisioning(t, w, fleetLimits)
		w.provision(t, 60, fleet, provisioning)
		w.setOfferedLoad(8, 10)
		w.provision(t, 240, fleet, provisioning)
		is.True(len(w.config.Backends) >= 20) // 18 kept busy and some spare
		is.True(len(w.config.Backends) <= 32) // max-per-zone in two zones
		is.Equal(len(w.engines), len(w.config.Backends))
		is.Equal(countLoaded(w, model), len(w.engines)) // the new engines have it loaded too
	})
}

func TestServersAreGivenBackGracefully(t *testing.T) {
	runSimulation(t, engineCount, func(t *testing.T, w *world) {
		is := is.New(t)
		fleet, provisioning, _ := newProvisioning(t, w, fleetLimits)
		for _, e := range w.engines {
			e.SetFaults(engine.Faults{Slow: time.Second}) // requests outlast minLeavingTime
		}
		w.requestInterval = 20
		w.setOfferedLoad(0.5, 1)
		w.provision(t, 25*60, fleet, provisioning)
		is.Equal(len(w.engines), engineCount) // none is given back within 30 minutes
		w.provision(t, 20*60, fleet, provisioning)
		is.True(len(w.engines) < engineCount)
		is.True(countLoaded(w, model) >= 8) // min-hot is kept
		is.Equal(len(w.engines), len(w.config.Backends))
	})
}

func TestEvictedServersAreReplaced(t *testing.T) {
	runSimulation(t, engineCount, func(t *testing.T, w *world) {
		is := is.New(t)
		fleet, provisioning, _ := newProvisioning(t, w, fleetLimits)
		w.setOfferedLoad(8, 10)
		w.provision(t, 300, fleet, provisioning)
		lost := w.evict("zone-0")
		is.True(lost > 0)
		is.True(len(w.engines) >= 18) // the remaining engines can carry the work
		w.provision(t, 60, fleet, provisioning)
		is.True(len(w.engines) >= 22)                    // spare engines are back
		is.Equal(len(w.engines), len(w.config.Backends)) // the rows of evicted servers are deleted
	})
}

func TestEvictionNoticeBringsReplacements(t *testing.T) {
	runSimulation(t, engineCount, func(t *testing.T, w *world) {
		is := is.New(t)
		fleet, provisioning, _ := newProvisioning(t, w, fleetLimits)
		w.setOfferedLoad(8, 10)
		w.provision(t, 120, fleet, provisioning)
		before := len(w.store.ServerOrders())
		noticed := 0
		for id, server := range w.config.Backends {
			if server.Cheap && server.Zone == "zone-0" {
				w.engines[id].Evict(t.Context(), time.Hour)
				noticed++
			}
		}
		is.True(noticed > 0)
		w.provision(t, 10, fleet, provisioning)
		is.True(len(w.store.ServerOrders()) > before) // ordered before the eviction
	})
}

func TestLostAnswerOrdersNothingTwice(t *testing.T) {
	runSimulation(t, engineCount, func(t *testing.T, w *world) {
		is := is.New(t)
		fleet, provisioning, m := newProvisioning(t, w, fleetLimits)
		w.provision(t, 60, fleet, provisioning)
		m.answersToLose, m.listLag = 3, 30
		w.setOfferedLoad(8, 10)
		w.provision(t, 240, fleet, provisioning)
		orders := w.store.ServerOrders()
		ids := map[string]bool{}
		count := 0
		for _, order := range orders {
			is.True(!ids[order.ID])
			ids[order.ID] = true
			count += order.Count
		}
		is.True(count > 0)
		is.Equal(len(w.engines), engineCount+count)
		is.True(len(w.engines) <= 32)
	})
}

func TestProvisioningWithoutLeaseOrdersNothing(t *testing.T) {
	runSimulation(t, engineCount, func(t *testing.T, w *world) {
		is := is.New(t)
		fleet, provisioning, _ := newProvisioning(t, w, fleetLimits)
		w.provision(t, 90, fleet, provisioning)
		is.Equal(len(w.store.ServerOrders()), 0) // twelve engines suffice for this work
		w.leases.transfer()
		is.NoErr(w.clock.Sleep(t.Context(), leaseTime+time.Second))
		w.setOfferedLoad(8, 10)
		w.provision(t, 120, fleet, provisioning)
		is.Equal(len(w.store.ServerOrders()), 0)
	})
}
