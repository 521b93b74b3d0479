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
	// maxDirectPolls is up to how many engines each daemon asks all of them
	// itself. In a larger fleet it asks those of its zone and takes the rest
	// from the other daemons' reports.
	maxDirectPolls = 64
	// maxReportAge is how old another daemon's report may be for the states in
	// it to be taken.
	maxReportAge = 3 * time.Second
	// pollWait is how long a step waits for states. What comes later counts at
	// the next step, so that one engine that hangs holds up no other's state.
	pollWait = 100 * time.Millisecond
	// maxStateAge is how old a state may be while its engine is being asked.
	maxStateAge = 2 * time.Second
)

// Engines keeps the latest state that each engine reported.
type Engines struct {
	engines       peer.Engines
	configuration peer.Configuration
	clock         peer.Clock
	timeout       time.Duration
	zone          models.Zone
	reports       peer.Reports

	mu           sync.Mutex
	loads        map[models.EngineID]placement.Load // replaced, never changed
	clockOffsets map[models.EngineID]time.Duration  // least seen of this clock less the engine's
	polling      map[models.EngineID]bool
	results      map[models.EngineID]pollResult
	direct       map[models.EngineID]bool // asked by this daemon
	version      uint64
	polled       bool
}

// NewEngines returns a poller of the engines in the configuration.
func NewEngines(engines peer.Engines, configuration peer.Configuration, clock peer.Clock, timeout time.Duration) *Engines {
	return &Engines{
		engines:       engines,
		configuration: configuration,
		clock:         clock,
		timeout:       timeout,
		loads:         map[models.EngineID]placement.Load{},
		clockOffsets:  map[models.EngineID]time.Duration{},
		polling:       map[models.EngineID]bool{},
		results:       map[models.EngineID]pollResult{},
		direct:        map[models.EngineID]bool{},
	}
}

// SplitByZone divides the asking with the other daemons, by availability zone. It
// is called before the first step.
func (e *Engines) SplitByZone(zone models.Zone, reports peer.Reports) {
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
		if load, ok := e.loads[id]; ok && e.direct[id] && server.Zone == e.zone {
			report.States[id] = load.State
		}
	}
}

// pollResult is what came of asking for a state, and when.
type pollResult struct {
	state models.EngineState
	at    time.Time
	err   error
}

// Step asks engines for their state.
func (e *Engines) Step(ctx context.Context) {
	config := e.configuration.Config()
	learned := e.reportedStates(config)
	var group sync.WaitGroup
	for id, server := range config.Backends {
		if _, ok := learned[id]; !ok && e.beginPoll(id) {
			group.Go(func() { e.poll(ctx, server) })
		}
	}
	e.waitForPolls(ctx, &group)
	e.applyResults(config, learned)
}

// beginPoll reports whether an engine is to be asked now.
func (e *Engines) beginPoll(id models.EngineID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	begun := !e.polling[id]
	e.polling[id] = true
	return begun
}

func (e *Engines) poll(ctx context.Context, server models.BackendServer) {
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	state, err := e.engines.Engine(server).State(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.polling, server.Engine)
	e.results[server.Engine] = pollResult{state: state, at: e.clock.Now(), err: err}
}

// waitForPolls waits for a group, but no longer than patience.
func (e *Engines) waitForPolls(ctx context.Context, group *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	timer := e.clock.NewTimer(pollWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C():
	case <-ctx.Done():
	}
}

// reportedStates returns the states that other daemons have told of, where the fleet
// is too large to ask all engines.
func (e *Engines) reportedStates(config *models.Config) map[models.EngineID]pollResult {
	learned := map[models.EngineID]pollResult{}
	if e.reports == nil || len(config.Backends) <= maxDirectPolls {
		return learned
	}
	now := e.clock.Now()
	for _, report := range e.reports.Reports() {
		if now.Sub(report.ReceivedAt) > maxReportAge {
			continue
		}
		for id, state := range report.Report.States {
			known, ok := learned[id]
			newer := !ok || state.MeasuredAt.After(known.state.MeasuredAt)
			if newer && config.Backends[id].Zone != e.zone {
				learned[id] = pollResult{state: state, at: report.ReceivedAt}
			}
		}
	}
	return learned
}

// applyResults replaces the loads by what has arrived.
func (e *Engines) applyResults(config *models.Config, learned map[models.EngineID]pollResult) {
	e.mu.Lock()
	defer e.mu.Unlock()
	loads := make(map[models.EngineID]placement.Load, len(config.Backends))
	own := make(map[models.EngineID]bool, len(config.Backends))
	for id := range config.Backends {
		told, ok := learned[id]
		if !ok {
			told, ok = e.results[id]
			own[id] = true
		}
		known, before := e.loads[id]
		switch {
		case ok && told.err == nil:
			loads[id] = e.newLoad(id, told)
		case !ok && before && e.clock.Now().Sub(known.MeasuredAt) < maxStateAge:
			loads[id] = known
		}
	}
	maps.DeleteFunc(e.clockOffsets, func(id models.EngineID, _ time.Duration) bool {
		_, ok := loads[id]
		return !ok
	})
	clear(e.results)
	e.loads = loads
	e.direct = own
	e.version++
	e.polled = e.polled || config.Through > 0
}

// newLoad reckons when a state was measured by this daemon's clock: the least
// time seen between an engine's clock and the arrival here is the difference
// of the two clocks. The lock is held.
func (e *Engines) newLoad(id models.EngineID, s pollResult) placement.Load {
	offset := s.at.Sub(s.state.MeasuredAt)
	if least, ok := e.clockOffsets[id]; ok {
		offset = min(offset, least)
	}
	e.clockOffsets[id] = offset
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
