package request

import (
	"context"

	"quincewinch/models"
)

// isLeaving reports whether an engine must get no new requests.
func (s *Sender) isLeaving(id models.EngineID) bool {
	if s.configuration.Config().Backends[id].Leaving {
		return true
	}
	state, ok := s.states.State(id)
	return ok && (state.Draining || !state.EvictionAt.IsZero())
}

// evictionImminent reports whether an engine is evicted so soon that its
// requests have to move. Draining sets no eviction time: running requests
// finish.
func (s *Sender) evictionImminent(id models.EngineID) bool {
	state, ok := s.states.State(id)
	if !ok || state.EvictionAt.IsZero() {
		return false
	}
	return state.EvictionAt.Sub(s.clock.Now()) <= moveLeadTime
}

// moveAway moves the request off an engine that is about to be evicted, if
// another engine can take it. It returns nil if the request stays.
func (a *attempt) moveAway(ctx context.Context) *move {
	s := a.sender
	if !a.exchange.Repeatable() || a.moves >= moveAttempts || !s.evictionImminent(a.server.Engine) {
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
	// A successful export ends the request on the engine; a failed one may not
	// have ended it.
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

// importKVCache imports the KV cache of a moved request. If that fails, the
// engine recomputes the cache from the prompt.
func (a *attempt) importKVCache(ctx context.Context, handle models.KVHandle) {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	_ = a.engine.Import(ctx, handle)
}
