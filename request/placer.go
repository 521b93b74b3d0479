package request

import (
	"context"
	"slices"
	"sync"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/policy/naive"
)

// States returns the latest state of each engine that answers.
type States interface {
	States() map[models.EngineID]models.EngineState
}

// RoundRobinPlacer places requests on the usable engines in turn.
type RoundRobinPlacer struct {
	configuration peer.Configuration
	states        States

	mu         sync.Mutex
	roundRobin naive.RoundRobin
}

// NewRoundRobinPlacer returns a placer for the engines in the configuration.
func NewRoundRobinPlacer(configuration peer.Configuration, states States) *RoundRobinPlacer {
	return &RoundRobinPlacer{configuration: configuration, states: states}
}

// Place implements Placer.
func (p *RoundRobinPlacer) Place(_ context.Context, e *Exchange, excluded []models.EngineID) (Placement, error) {
	states := p.states.States()
	var servers []models.BackendServer
	for id, server := range p.configuration.Config().Backends {
		state, ok := states[id]
		usable := ok && !state.Draining && !state.Changing && slices.Contains(state.Models, e.Generation.Model)
		if usable && !server.Leaving && !slices.Contains(excluded, id) {
			servers = append(servers, server)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	server, ok := p.roundRobin.Choose(servers)
	if !ok {
		return Placement{}, noBackend("no engine has loaded " + string(e.Generation.Model))
	}
	return Placement{Server: server, Why: "its turn among those that have the model", Release: func(Result) {}}, nil
}
