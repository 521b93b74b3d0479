package control_test

import (
	"context"
	"maps"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/control"
	"quincewinch/invariant"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/system"
	"quincewinch/standin/engine"
	"quincewinch/standin/platform"
	"quincewinch/timeline"
)

const (
	zoneCount = 2
	model     = models.Model("catalogue")
	leaseTime = 10 * time.Second
	// placementLag is the delay in seconds until daemons place by an edited
	// configuration.
	placementLag = 5
)

// world simulates a fleet, with stand-ins and in virtual time.
type world struct {
	clock   system.Clock
	store   *platform.Store
	engines map[models.EngineID]*engine.Engine
	faulty  map[models.EngineID]peer.Engine // replaces the engine of the same ID
	config  *models.Config
	history *invariant.History
	ring    *timeline.Ring
	leases  *leaseTable
	cost    engine.Cost

	mu            sync.Mutex
	offered       models.OfferedWork
	loadPerSecond models.OfferedWork // offered per second, in both zones
	requests      int

	requestInterval  int // seconds between rounds of requests
	seconds          int
	launched         int
	placementConfigs []*models.Config // configurations in use for placement, oldest first
}

// newWorld returns a world whose engines alternate between two zones. A third
// of them are for prefill.
func newWorld(t *testing.T, count int) *world {
	t.Helper()
	clock := system.NewClock()
	w := &world{
		clock:   clock,
		store:   platform.NewStore(clock),
		engines: map[models.EngineID]*engine.Engine{},
		faulty:  map[models.EngineID]peer.Engine{},
		config:  &models.Config{Through: 1, Backends: map[models.EngineID]models.BackendServer{}},
		history: &invariant.History{},
		ring:    timeline.NewRing(clock, "entry-1", "zone-0", 4096, nil),
		cost:    engine.DefaultCost(),

		requestInterval: 1,
	}
	w.leases = newLeaseTable(t, w.store, clock)
	for i := range count {
		w.add(engineName(i), models.Zone("zone-"+strconv.Itoa(i%zoneCount)), startRole(i, count))
	}
	return w
}

func engineName(i int) models.EngineID {
	return models.EngineID("engine-" + strconv.Itoa(100+i))
}

func startRole(i, count int) models.Role {
	if i < count/3 {
		return models.RolePrefill
	}
	return models.RoleDecode
}

func (w *world) add(id models.EngineID, zone models.Zone, role models.Role) {
	w.addWith(id, zone, role, []models.Model{model})
}

func (w *world) addWith(id models.EngineID, zone models.Zone, role models.Role, loaded []models.Model) {
	w.start(id, role, loaded)
	w.config.Backends[id] = models.BackendServer{Engine: id, Zone: zone, ChecksFence: true}
}

func (w *world) start(id models.EngineID, role models.Role, loaded []models.Model) {
	w.engines[id] = engine.New(w.clock, engine.Settings{
		ID:          id,
		Role:        role,
		Models:      loaded,
		ChecksFence: true,
		Cost:        w.cost,
	})
}

// setOfferedLoad sets the offered work, in engines kept busy by prefill and by
// decode.
func (w *world) setOfferedLoad(prefill, decode float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loadPerSecond = models.OfferedWork{
		PromptTokens: int64(prefill * w.cost.PrefillRate),
		OutputTokens: int64(decode * float64(time.Second) / float64(w.cost.StepTime) * 24),
	}
}

// Fill implements peer.ReportSource.
func (w *world) Fill(report *models.DaemonReport) {
	w.mu.Lock()
	defer w.mu.Unlock()
	report.Offered = map[models.Model]models.OfferedWork{model: w.offered}
}

// Reports implements peer.Reports. There are no other daemons.
func (w *world) Reports() []models.PeerReport { return nil }

// Config implements peer.Configuration.
func (w *world) Config() *models.Config { return w.config }

// Evidence implements peer.Configuration.
func (w *world) Evidence() models.Evidence { return models.Evidence{} }

// Watch implements peer.Configuration.
func (w *world) Watch() <-chan struct{} { return nil }

// visibleStates returns the states of the engines on one side of a network
// partition.
type visibleStates struct {
	world *world
	isCut func(zone models.Zone) bool
}

// States implements peer.EngineStates.
func (s visibleStates) States() map[models.EngineID]models.EngineState {
	states := map[models.EngineID]models.EngineState{}
	for id, e := range s.world.engines {
		if s.isCut != nil && s.isCut(s.world.config.Backends[id].Zone) {
			continue
		}
		if state, err := e.State(context.Background()); err == nil {
			states[id] = state
		}
	}
	return states
}

// newFleet returns the fleet controller of a daemon that holds the given
// leases.
func (w *world) newFleet(daemon models.DaemonID, leases peer.Leases, isCut func(models.Zone) bool) *control.Fleet {
	engines := simEngines{world: w, daemon: daemon}
	return control.NewFleet(control.FleetPeers{
		Table:         w.store,
		Engines:       engines,
		Orders:        control.NewOrders(w.store, engines, platform.NewServers(w.store), w.clock, w.ring, control.DefaultOrderSettings()),
		Leases:        leases,
		Configuration: w,
		States:        visibleStates{w, isCut},
		Reports:       w,
		Own:           w,
		Clock:         w.clock,
		Timeline:      w.ring,
	}, control.DefaultFleetSettings(daemon, "zone-0"))
}

// run steps the fleets once a second, while work is offered and requests run.
func (w *world) run(t *testing.T, seconds int, fleets ...*control.Fleet) {
	t.Helper()
	for range seconds {
		w.mu.Lock()
		w.offered.PromptTokens += w.loadPerSecond.PromptTokens
		w.offered.OutputTokens += w.loadPerSecond.OutputTokens
		w.mu.Unlock()
		if w.seconds++; w.seconds%w.requestInterval == 0 {
			w.sendRequests(t)
		}
		for _, f := range fleets {
			f.Step(t.Context())
		}
		is.New(t).NoErr(w.clock.Sleep(t.Context(), time.Second))
	}
}

// sendRequests sends a request to each engine that is not leaving.
func (w *world) sendRequests(t *testing.T) {
	t.Helper()
	config := w.config
	if len(w.placementConfigs) > 0 {
		config = w.placementConfigs[0]
	}
	for id, e := range w.engines {
		if config.Backends[id].Leaving {
			continue
		}
		w.requests++
		request := models.RequestID("req-" + strconv.Itoa(w.requests))
		generation := models.Generation{ID: request, Model: model, Prompt: "Which oak?"}
		stream, err := e.Generate(t.Context(), generation)
		if err != nil {
			continue
		}
		go w.readAnswer(t.Context(), e, stream, generation)
	}
}

// readAnswer reads an answer to its end. If the answer breaks off without a
// crash of the engine, a planned change has cut it.
func (w *world) readAnswer(ctx context.Context, e *engine.Engine, stream peer.TokenStream, generation models.Generation) {
	text := ""
	for {
		piece, err := stream.Next(ctx)
		if err != nil {
			_, stateErr := e.State(ctx)
			cut := stateErr == nil && ctx.Err() == nil
			w.history.Answer(invariant.Answer{Request: generation.ID, Refusal: &models.Refusal{}, PlannedInterruption: cut})
			return
		}
		if piece.Done {
			w.history.Answer(invariant.Answer{Request: generation.ID, Text: text, Want: engine.Answer(model, generation.Prompt, 0)})
			return
		}
		text += piece.Text
	}
}

// roles counts the engines by role.
func (w *world) roles() map[models.Role]int {
	roles := map[models.Role]int{}
	for _, state := range (visibleStates{world: w}).States() {
		roles[state.Role]++
	}
	return roles
}

// leaseTable tracks who holds the leases on engines, with a guard row in the
// platform's table.
type leaseTable struct {
	t     testing.TB
	store *platform.Store
	clock peer.Clock
	mu    sync.Mutex
	fence uint64
	guard models.Condition
}

func newLeaseTable(t testing.TB, store *platform.Store, clock peer.Clock) *leaseTable {
	t.Helper()
	l := &leaseTable{t: t, store: store, clock: clock}
	l.transfer()
	return l
}

// transfer moves the leases to a new holder.
func (l *leaseTable) transfer() {
	key := models.RowKey{Partition: models.PartitionLeases, Name: "engines"}
	revision, err := l.store.Transact(context.Background(), models.Transaction{Writes: []models.Write{{Key: key}}})
	is.New(l.t).NoErr(err)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence++
	l.guard = models.Condition{Key: key, Revision: revision}
}

func (l *leaseTable) holds(fence uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence == fence
}

// current returns the present holder's view of the leases. After a transfer it
// stays valid until its deadline.
func (l *leaseTable) current() *leaseView {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &leaseView{table: l, authority: models.Authority{Fence: l.fence, Guard: l.guard}}
}

// leaseView is one holder's view of its leases. A paused holder does not
// notice that it lost them.
type leaseView struct {
	table  *leaseTable
	paused bool

	authority models.Authority
}

// Authority implements peer.Leases.
func (b *leaseView) Authority(name models.LeaseName) models.Authority {
	if b.table.holds(b.authority.Fence) || b.paused && b.authority.Deadline.IsZero() {
		b.authority.Deadline = b.table.clock.Now().Add(leaseTime)
	}
	authority := b.authority
	authority.Lease = name
	return authority
}

// recordingEngine records in the history the orders that take effect.
type recordingEngine struct {
	peer.Engine
	world  *world
	engine *engine.Engine
	daemon models.DaemonID
}

// Order implements peer.Engine.
func (r recordingEngine) Order(ctx context.Context, order models.Order) error {
	now := r.world.clock.Now()
	state, _ := r.engine.State(ctx)
	before := len(r.engine.Orders())
	err := r.engine.Order(ctx, order)
	if len(r.engine.Orders()) == before {
		return err
	}
	finished := now
	if order.Kind == models.OrderRole {
		finished = now.Add(r.world.cost.RoleTime)
		if state.Running+state.Queued > 0 {
			r.world.history.Answer(invariant.Answer{Request: "running at " + models.RequestID(order.Engine), Refusal: &models.Refusal{}, PlannedInterruption: true})
		}
	}
	r.world.history.EngineOrder(invariant.EngineOrder{
		At:         now,
		Order:      order,
		Daemon:     r.daemon,
		Authorised: r.world.leases.holds(order.Fence),
		Finished:   finished,
	})
	return err
}

// simEngines gives a daemon access to the engines.
type simEngines struct {
	world  *world
	daemon models.DaemonID
}

// Engine implements peer.Engines.
func (r simEngines) Engine(server models.BackendServer) peer.Engine {
	e := r.world.engines[server.Engine]
	if faulty, ok := r.world.faulty[server.Engine]; ok {
		return recordingEngine{faulty, r.world, e, r.daemon}
	}
	return recordingEngine{e, r.world, e, r.daemon}
}

// runSimulation runs a test in virtual time and checks all invariants at its
// end.
func runSimulation(t *testing.T, count int, test func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, count)
		w.setOfferedLoad(2, 4)
		defer w.stopAll(t)
		test(t, w)
		is := is.New(t)
		is.NoErr(w.clock.Sleep(t.Context(), time.Minute)) // let running requests end
		is.Equal(len(invariant.Check(w.history)), 0)
	})
}

// stopAll stops everything that runs, so that the synctest bubble can end.
func (w *world) stopAll(t *testing.T) {
	t.Helper()
	for _, e := range w.engines {
		e.Crash()
	}
	is.New(t).NoErr(w.clock.Sleep(context.Background(), 2*time.Hour)) // let changes in flight end
}

// assertWorking fails the test unless every engine, apart from the excluded
// ones, accepts work.
func assertWorking(t *testing.T, w *world, excluded ...models.EngineID) {
	t.Helper()
	is := is.New(t)
	states := visibleStates{world: w}.States()
	for _, id := range excluded {
		delete(states, id)
	}
	is.Equal(len(states), len(maps.Clone(w.engines))-len(excluded))
	for _, state := range states {
		is.True(!state.Draining && !state.Changing)
	}
}
