package control

import (
	"context"
	"sync"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

// Engines keeps the latest state that each engine reported.
type Engines struct {
	engines       peer.Engines
	configuration peer.Configuration
	clock         peer.Clock
	timeout       time.Duration

	mu     sync.Mutex
	states map[models.EngineID]models.EngineState
	polled bool
}

// NewEngines returns a poller of the engines in the configuration.
func NewEngines(engines peer.Engines, configuration peer.Configuration, clock peer.Clock, timeout time.Duration) *Engines {
	return &Engines{
		engines:       engines,
		configuration: configuration,
		clock:         clock,
		timeout:       timeout,
		states:        map[models.EngineID]models.EngineState{},
	}
}

// States returns the latest state of each engine that answers.
func (e *Engines) States() map[models.EngineID]models.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	states := make(map[models.EngineID]models.EngineState, len(e.states))
	for id, state := range e.states {
		states[id] = state
	}
	return states
}

// State returns the latest state of an engine, false if it does not answer.
func (e *Engines) State(id models.EngineID) (models.EngineState, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state, ok := e.states[id]
	return state, ok
}

// Step asks each engine for its state.
func (e *Engines) Step(ctx context.Context) {
	config := e.configuration.Config()
	var group sync.WaitGroup
	for _, server := range config.Backends {
		group.Go(func() { e.poll(ctx, server) })
	}
	group.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.polled = e.polled || config.Through > 0
}

// Polled reports whether each engine of a configuration was asked once.
func (e *Engines) Polled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.polled
}

func (e *Engines) poll(ctx context.Context, server models.BackendServer) {
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	state, err := e.engines.Engine(server).State(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		delete(e.states, server.Engine)
		return
	}
	e.states[server.Engine] = state
}
