package request

import (
	"context"

	"quincewinch/models"
)

// leaves reports whether an engine gets no new work.
func (s *Sender) leaves(id models.EngineID) bool {
	if s.configuration.Config().Backends[id].Leaving {
		return true
	}
	state, ok := s.states.State(id)
	return ok && (state.Draining || !state.EvictionAt.IsZero())
}

// evicted reports whether an engine vanishes so soon that its requests have
// to move. A drain sets no time: its running requests finish.
func (s *Sender) evicted(id models.EngineID) bool {
	state, ok := s.states.State(id)
	if !ok || state.EvictionAt.IsZero() {
		return false
	}
	return state.EvictionAt.Sub(s.clock.Now()) <= moveLead
}

// depart takes the request off an engine that is about to vanish, if another
// engine takes it. It returns nil where the request stays.
func (a *attempt) depart(ctx context.Context) *move {
	s := a.sender
	if !a.exchange.Repeatable() || a.moves >= moveAttempts || !s.evicted(a.server.Engine) {
		return nil
	}
	a.excluded = append(a.excluded, a.server.Engine)
	placement, err := a.place(ctx)
	if err != nil {
		return nil
	}
	a.moves++
	m := &move{placement: placement}
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	if handle, err := a.engine.Export(ctx, a.id); err == nil {
		m.handle = &handle
	}
	// An export ends the request at the engine; a failed one may not have.
	s.cancel(ctx, a.engine, a.id)
	s.timeline.Record(models.Event{
		Kind:    models.EventPlacement,
		Request: a.exchange.ID,
		Engine:  a.server.Engine,
		What:    "moved to engine " + string(placement.Server.Engine),
		Why:     "engine " + string(a.server.Engine) + " is evicted shortly",
	})
	return m
}

// receive imports the KV cache of a moved request. Without it the engine
// works the prompt out again.
func (a *attempt) receive(ctx context.Context, handle models.KVHandle) {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	_ = a.engine.Import(ctx, handle)
}
