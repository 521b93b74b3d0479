package control

import (
	"context"
	"maps"
	"sync"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/policy/placement"
)

const (
	// directPolls is up to how many engines each daemon asks all of them
	// itself. In a larger fleet it asks those of its zone and takes the rest
	// from the other daemons' reports.
	directPolls = 64
	// freshReport is how old another daemon's report may be for the states in
	// it to be taken.
	freshReport = 3 * time.Second
	// patience is how long a step waits for states. What comes later counts at
	// the next step, so that one engine that hangs holds up no other's state.
	patience = 100 * time.Millisecond
	// staleState is how old a state may be while its engine is being asked.
	staleState = 2 * time.Second
)

// Engines keeps the latest state that each engine reported.
type Engines struct {
	engines       peer.Engines
	configuration peer.Configuration
	clock         peer.Clock
	timeout       time.Duration
	zone          models.Zone
	reports       peer.Reports

	mu      sync.Mutex
	loads   map[models.EngineID]placement.Load // replaced, never changed
	offsets map[models.EngineID]time.Duration  // least seen of this clock less the engine's
	asking  map[models.EngineID]bool
	arrived map[models.EngineID]answer
	own     map[models.EngineID]bool // asked by this daemon
	version uint64
	polled  bool
}

// NewEngines returns a poller of the engines in the configuration.
func NewEngines(engines peer.Engines, configuration peer.Configuration, clock peer.Clock, timeout time.Duration) *Engines {
	return &Engines{
		engines:       engines,
		configuration: configuration,
		clock:         clock,
		timeout:       timeout,
		loads:         map[models.EngineID]placement.Load{},
		offsets:       map[models.EngineID]time.Duration{},
		asking:        map[models.EngineID]bool{},
		arrived:       map[models.EngineID]answer{},
		own:           map[models.EngineID]bool{},
	}
}

// Share divides the asking with the other daemons, by availability zone. It
// is called before the first step.
func (e *Engines) Share(zone models.Zone, reports peer.Reports) {
	e.zone = zone
	e.reports = reports
}

// Loads returns the latest state of each engine that answers, read-only, and
// a number that grows with each change.
func (e *Engines) Loads() (uint64, map[models.EngineID]placement.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version, e.loads
}

// States returns the latest state of each engine that answers.
func (e *Engines) States() map[models.EngineID]models.EngineState {
	_, loads := e.Loads()
	states := make(map[models.EngineID]models.EngineState, len(loads))
	for id, load := range loads {
		states[id] = load.State
	}
	return states
}

// State returns the latest state of an engine, false if it does not answer.
func (e *Engines) State(id models.EngineID) (models.EngineState, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	load, ok := e.loads[id]
	return load.State, ok
}

// Fill implements peer.ReportSource.
func (e *Engines) Fill(report *models.DaemonReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	report.States = map[models.EngineID]models.EngineState{}
	for id, server := range e.configuration.Config().Backends {
		if load, ok := e.loads[id]; ok && e.own[id] && server.Zone == e.zone {
			report.States[id] = load.State
		}
	}
}

// answer is what came of asking for a state, and when.
type answer struct {
	state models.EngineState
	at    time.Time
	err   error
}

// Step asks engines for their state.
func (e *Engines) Step(ctx context.Context) {
	config := e.configuration.Config()
	learned := e.learned(config)
	var group sync.WaitGroup
	for id, server := range config.Backends {
		if _, ok := learned[id]; !ok && e.begin(id) {
			group.Go(func() { e.ask(ctx, server) })
		}
	}
	e.await(ctx, &group)
	e.take(config, learned)
}

// begin reports whether an engine is to be asked now.
func (e *Engines) begin(id models.EngineID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	begun := !e.asking[id]
	e.asking[id] = true
	return begun
}

func (e *Engines) ask(ctx context.Context, server models.BackendServer) {
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	state, err := e.engines.Engine(server).State(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.asking, server.Engine)
	e.arrived[server.Engine] = answer{state: state, at: e.clock.Now(), err: err}
}

// await waits for a group, but no longer than patience.
func (e *Engines) await(ctx context.Context, group *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	timer := e.clock.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C():
	case <-ctx.Done():
	}
}

// learned returns the states that other daemons have told of, where the fleet
// is too large to ask all engines.
func (e *Engines) learned(config *models.Config) map[models.EngineID]answer {
	learned := map[models.EngineID]answer{}
	if e.reports == nil || len(config.Backends) <= directPolls {
		return learned
	}
	now := e.clock.Now()
	for _, report := range e.reports.Reports() {
		if now.Sub(report.ReceivedAt) > freshReport {
			continue
		}
		for id, state := range report.Report.States {
			known, ok := learned[id]
			newer := !ok || state.MeasuredAt.After(known.state.MeasuredAt)
			if newer && config.Backends[id].Zone != e.zone {
				learned[id] = answer{state: state, at: report.ReceivedAt}
			}
		}
	}
	return learned
}

// take replaces the loads by what has arrived.
func (e *Engines) take(config *models.Config, learned map[models.EngineID]answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	loads := make(map[models.EngineID]placement.Load, len(config.Backends))
	own := make(map[models.EngineID]bool, len(config.Backends))
	for id := range config.Backends {
		told, ok := learned[id]
		if !ok {
			told, ok = e.arrived[id]
			own[id] = true
		}
		known, before := e.loads[id]
		switch {
		case ok && told.err == nil:
			loads[id] = e.load(id, told)
		case !ok && before && e.clock.Now().Sub(known.MeasuredAt) < staleState:
			loads[id] = known
		}
	}
	maps.DeleteFunc(e.offsets, func(id models.EngineID, _ time.Duration) bool {
		_, ok := loads[id]
		return !ok
	})
	clear(e.arrived)
	e.loads = loads
	e.own = own
	e.version++
	e.polled = e.polled || config.Through > 0
}

// load reckons when a state was measured by this daemon's clock: the least
// time seen between an engine's clock and the arrival here is the difference
// of the two clocks. The lock is held.
func (e *Engines) load(id models.EngineID, s answer) placement.Load {
	offset := s.at.Sub(s.state.MeasuredAt)
	if least, ok := e.offsets[id]; ok {
		offset = min(offset, least)
	}
	e.offsets[id] = offset
	limit := e.loads[id].BatchLimit
	if s.state.Queued > 0 && s.state.FreePieces > 0 {
		limit = max(limit, s.state.Running)
	}
	return placement.Load{State: s.state, MeasuredAt: s.state.MeasuredAt.Add(offset), BatchLimit: limit}
}

// Polled reports whether each engine of a configuration was asked once.
func (e *Engines) Polled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.polled
}
