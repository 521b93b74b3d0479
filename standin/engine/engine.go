// Package engine is a small stand-in for a model engine: it batches, caches
// prefixes, resumes and cancels streams, exports and imports KV caches, and
// executes orders. Engine implements peer.Engine in memory; Handler serves it
// over HTTP.
package engine

import (
	"context"
	"sync"
	"time"

	"quincewinch/lib/prefix"
	"quincewinch/models"
	"quincewinch/peer"
)

// Settings describe one engine.
type Settings struct {
	ID          models.EngineID
	Role        models.Role
	Models      []models.Model
	ChecksFence bool
	Cost        Cost
}

// Faults are the faults injected into an engine. The zero value has none.
type Faults struct {
	Refuse bool          // new requests are rejected before they run
	Hang   bool          // streams stop delivering pieces
	Slow   time.Duration // added to each decode step
	// BreakAfter is the number of pieces after which the connection of a
	// stream breaks; 0 breaks none.
	BreakAfter int
	// LoseOrderAnswer executes orders but drops the answer.
	LoseOrderAnswer bool
}

// Engine is an in-memory engine.
type Engine struct {
	clock    peer.Clock
	settings Settings

	mu         sync.Mutex
	state      models.EngineState
	runs       map[models.RequestID]*run
	crashed    bool
	faults     Faults
	cache      *prefixCache
	cancelled  int
	received   []models.Generation
	orders     []models.Order
	usedPieces int           // KV cache pieces in use
	freed      chan struct{} // closed whenever a batch slot or memory is released
}

// New returns a running engine.
func New(clock peer.Clock, settings Settings) *Engine {
	return &Engine{
		clock:    clock,
		settings: settings,
		state: models.EngineState{
			Engine:      settings.ID,
			Role:        settings.Role,
			Models:      append([]models.Model(nil), settings.Models...),
			TotalPieces: settings.Cost.Pieces,
			PieceTokens: settings.Cost.PieceTokens,
			PrefillRate: settings.Cost.PrefillRate,
			DecodeRate:  float64(time.Second) / float64(settings.Cost.StepTime),
		},
		runs:  map[models.RequestID]*run{},
		cache: newPrefixCache(settings.Cost.CacheBlocks),
		freed: make(chan struct{}),
	}
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Crash fails all requests, as if the process had died.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = true
	for _, r := range e.runs {
		r.fail()
	}
	e.runs = map[models.RequestID]*run{}
	e.usedPieces = 0
	e.notifyWaiters()
}

// Restart restarts a crashed engine with an empty cache and no requests.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = false
	e.cache = newPrefixCache(e.settings.Cost.CacheBlocks)
	e.state.Running = 0
	e.state.Queued = 0
	e.state.QueuedTokens = 0
	e.state.Changing = false
}

// Evict announces an eviction and crashes the engine after the notice period.
func (e *Engine) Evict(ctx context.Context, notice time.Duration) {
	e.mu.Lock()
	e.state.EvictionAt = e.clock.Now().Add(notice)
	e.mu.Unlock()
	go func() {
		if err := e.clock.Sleep(ctx, notice); err == nil {
			e.Crash()
		}
	}()
}

// Received returns the accepted requests in order of arrival.
func (e *Engine) Received() []models.Generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]models.Generation(nil), e.received...)
}

// Orders returns the executed orders.
func (e *Engine) Orders() []models.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]models.Order(nil), e.orders...)
}

// Cancelled returns how many requests were cancelled before they completed.
func (e *Engine) Cancelled() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancelled
}

// Generate implements peer.Engine.
func (e *Engine) Generate(ctx context.Context, generation models.Generation) (peer.TokenStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.admit(generation); err != nil {
		return nil, err
	}
	e.received = append(e.received, generation)
	r := newRun(generation)
	e.runs[generation.ID] = r
	e.state.Queued++
	e.state.QueuedTokens += prefix.Tokens(generation.Prompt)
	go e.process(r)
	return newStream(e, r, len(generation.Prior)), nil
}

// Resume implements peer.Engine.
func (e *Engine) Resume(_ context.Context, id models.RequestID, from int) (peer.TokenStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return nil, unreachable()
	}
	r, ok := e.runs[id]
	if !ok {
		return nil, peer.NewFailure(peer.OutcomeMissing, "no request "+string(id), nil)
	}
	if from < len(r.generation.Prior) {
		return nil, peer.NewFailure(peer.OutcomeRefused, "the stream does not go back that far", nil)
	}
	return newStream(e, r, from), nil
}

// Cancel implements peer.Engine.
func (e *Engine) Cancel(_ context.Context, id models.RequestID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return unreachable()
	}
	if r, ok := e.runs[id]; ok {
		if !r.done && !r.failed {
			e.cancelled++
		}
		r.fail()
		delete(e.runs, id)
	}
	return nil
}

// State implements peer.Engine.
func (e *Engine) State(_ context.Context) (models.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return models.EngineState{}, unreachable()
	}
	state := e.state
	state.Models = append([]models.Model(nil), e.state.Models...)
	state.MeasuredAt = e.clock.Now()
	state.FreePieces = state.TotalPieces - e.usedPieces
	state.CacheSequence = e.cache.sequence
	return state, nil
}

// Export implements peer.Engine. It ends the request on this engine.
func (e *Engine) Export(_ context.Context, id models.RequestID) (models.KVHandle, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return models.KVHandle{}, unreachable()
	}
	r, ok := e.runs[id]
	if !ok {
		return models.KVHandle{}, peer.NewFailure(peer.OutcomeMissing, "no request "+string(id), nil)
	}
	r.fail()
	delete(e.runs, id)
	tokens := prefix.Tokens(r.generation.Prompt)
	return models.KVHandle{
		Request: id,
		Source:  e.settings.ID,
		Handle:  r.generation.Prompt,
		Tokens:  tokens,
		Bytes:   int64(tokens) * bytesPerToken,
	}, nil
}

// Import implements peer.Engine.
func (e *Engine) Import(_ context.Context, handle models.KVHandle) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return unreachable()
	}
	e.cache.add(prefix.Hashes(handle.Handle))
	return nil
}

// CacheEvents implements peer.Engine.
func (e *Engine) CacheEvents(_ context.Context, after uint64) ([]models.CacheEvent, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return nil, unreachable()
	}
	return e.cache.since(after), nil
}

func (e *Engine) admit(generation models.Generation) error {
	switch {
	case e.crashed:
		return unreachable()
	case e.faults.Refuse:
		return peer.NewFailure(peer.OutcomeNotDone, "the engine takes no request", nil)
	case e.state.Draining:
		return peer.NewFailure(peer.OutcomeNotDone, "the engine drains", nil)
	case e.state.Changing:
		return peer.NewFailure(peer.OutcomeNotDone, "the engine changes", nil)
	case !e.hasModel(generation.Model):
		return peer.NewFailure(peer.OutcomeNotDone, "the engine has not loaded "+string(generation.Model), nil)
	case e.runs[generation.ID] != nil:
		return peer.NewFailure(peer.OutcomeRefused, "request "+string(generation.ID)+" exists", nil)
	}
	return nil
}

func (e *Engine) hasModel(model models.Model) bool {
	for _, loaded := range e.state.Models {
		if loaded == model {
			return true
		}
	}
	return false
}

// notifyWaiters wakes the requests that wait for a batch slot or memory. The
// lock must be held.
func (e *Engine) notifyWaiters() {
	close(e.freed)
	e.freed = make(chan struct{})
}

func unreachable() error {
	return peer.NewFailure(peer.OutcomeUnknown, "the engine does not answer", nil)
}
