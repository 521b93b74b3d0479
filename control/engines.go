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
	// maxDirectPolls is the number of engines up to which each daemon polls
	// all of them. In a larger fleet it polls those of its zone and takes the
	// others from the reports of other daemons.
	maxDirectPolls = 64
	// maxReportAge is the age up to which the states in another daemon's
	// report are used.
	maxReportAge = 3 * time.Second
	// pollWait is how long a step waits for states. A later one is applied in
	// the next step, so that an engine that hangs delays no other engine's
	// state.
	pollWait = 100 * time.Millisecond
	// maxStateAge is the age up to which a state is kept while a poll of its
	// engine is in flight.
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
	loads        map[models.EngineID]placement.Load // replaced, never modified in place
	clockOffsets map[models.EngineID]time.Duration  // smallest arrival time minus time stamp
	polling      map[models.EngineID]bool
	results      map[models.EngineID]pollResult
	direct       map[models.EngineID]bool // polled by this daemon
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

// SplitByZone limits polling in a large fleet to the engines of a zone and to
// those that no recent report covers. Call it before the first Step.
func (e *Engines) SplitByZone(zone models.Zone, reports peer.Reports) {
	e.zone = zone
	e.reports = reports
}

// Loads returns the latest state of each engine that answers and a number that
// grows with each change. The map must not be modified.
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

// State returns the latest state of an engine, or false if it does not answer.
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

// pollResult is the result of a poll and the time of its arrival.
type pollResult struct {
	state models.EngineState
	at    time.Time
	err   error
}

// Step polls the engines that no recent report covers, and applies the states
// that arrive within pollWait.
func (e *Engines) Step(ctx context.Context) {
	config := e.configuration.Config()
	reported := e.reportedStates(config)
	var group sync.WaitGroup
	for id, server := range config.Backends {
		if _, ok := reported[id]; !ok && e.beginPoll(id) {
			group.Go(func() { e.poll(ctx, server) })
		}
	}
	e.waitForPolls(ctx, &group)
	e.applyResults(config, reported)
}

// beginPoll marks an engine as being polled, or returns false if it already
// is.
func (e *Engines) beginPoll(id models.EngineID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	idle := !e.polling[id]
	e.polling[id] = true
	return idle
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

// waitForPolls waits for the group, for at most pollWait.
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

// reportedStates returns the states in the reports of other daemons, if the
// fleet is too large to poll every engine.
func (e *Engines) reportedStates(config *models.Config) map[models.EngineID]pollResult {
	reported := map[models.EngineID]pollResult{}
	if e.reports == nil || len(config.Backends) <= maxDirectPolls {
		return reported
	}
	now := e.clock.Now()
	for _, report := range e.reports.Reports() {
		if now.Sub(report.ReceivedAt) > maxReportAge {
			continue
		}
		for id, state := range report.Report.States {
			known, ok := reported[id]
			newer := !ok || state.MeasuredAt.After(known.state.MeasuredAt)
			if newer && config.Backends[id].Zone != e.zone {
				reported[id] = pollResult{state: state, at: report.ReceivedAt}
			}
		}
	}
	return reported
}

// applyResults replaces the loads by the states received.
func (e *Engines) applyResults(config *models.Config, reported map[models.EngineID]pollResult) {
	e.mu.Lock()
	defer e.mu.Unlock()
	loads := make(map[models.EngineID]placement.Load, len(config.Backends))
	direct := make(map[models.EngineID]bool, len(config.Backends))
	for id := range config.Backends {
		result, ok := reported[id]
		if !ok {
			result, ok = e.results[id]
			direct[id] = true
		}
		previous, hasPrevious := e.loads[id]
		switch {
		case ok && result.err == nil:
			loads[id] = e.newLoad(id, result)
		case !ok && hasPrevious && e.clock.Now().Sub(previous.MeasuredAt) < maxStateAge:
			loads[id] = previous
		}
	}
	maps.DeleteFunc(e.clockOffsets, func(id models.EngineID, _ time.Duration) bool {
		_, ok := loads[id]
		return !ok
	})
	clear(e.results)
	e.loads = loads
	e.direct = direct
	e.version++
	e.polled = e.polled || config.Through > 0
}

// newLoad converts the time of a measurement to this daemon's clock. The
// smallest difference seen between a state's time stamp and its arrival is
// taken as the offset between the two clocks. e.mu must be held.
func (e *Engines) newLoad(id models.EngineID, result pollResult) placement.Load {
	offset := result.at.Sub(result.state.MeasuredAt)
	if least, ok := e.clockOffsets[id]; ok {
		offset = min(offset, least)
	}
	e.clockOffsets[id] = offset
	limit := e.loads[id].BatchLimit
	if result.state.Queued > 0 && result.state.FreePieces > 0 {
		limit = max(limit, result.state.Running)
	}
	return placement.Load{State: result.state, MeasuredAt: result.state.MeasuredAt.Add(offset), BatchLimit: limit}
}

// Polled reports whether every engine of a configuration has been polled once.
func (e *Engines) Polled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.polled
}
