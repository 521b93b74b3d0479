package engine

import (
	"context"
	"time"

	"quincewinch/lib/prefix"
	"quincewinch/models"
	"quincewinch/peer"
)

const (
	bytesPerToken = 128 << 10 // KV cache size of a token
	// doneRetention is how long a completed request can still be resumed.
	doneRetention = 30 * time.Second
)

// run is one request on an engine. It is guarded by the engine's lock.
type run struct {
	generation models.Generation
	tokens     []string // generated so far, not including Prior
	finish     models.Finish
	done       bool
	failed     bool
	changed    chan struct{} // closed and replaced at each change
	ctx        context.Context
	cancel     context.CancelFunc
}

func newRun(generation models.Generation) *run {
	ctx, cancel := context.WithCancel(context.Background())
	return &run{generation: generation, changed: make(chan struct{}), ctx: ctx, cancel: cancel}
}

func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) fail() {
	if r.done || r.failed {
		return
	}
	r.failed = true
	r.cancel()
	r.notify()
}

// process takes a request through the queue, prefill and decode.
func (e *Engine) process(r *run) {
	pieces := e.settings.Cost.pieces(prefix.Tokens(r.generation.Prompt) + r.length())
	if !e.enterBatch(r, pieces) {
		return
	}
	defer e.leaveBatch(r, pieces)
	cached := e.lookUpPrefix(r)
	prompt := prefix.Tokens(r.generation.Prompt) + len(r.generation.Prior)
	if e.clock.Sleep(r.ctx, e.settings.Cost.prefill(max(prompt-cached, 0))) != nil {
		return
	}
	for index := len(r.generation.Prior); index < r.length(); index++ {
		if e.clock.Sleep(r.ctx, e.stepTime()) != nil {
			return
		}
		if !e.emit(r, index) {
			return
		}
	}
	e.complete(r, cached)
}

// length returns the length of the complete answer in tokens, Prior included.
func (r *run) length() int {
	length := AnswerLength(r.generation.Model, r.generation.Prompt)
	if r.generation.MaxTokens > 0 {
		length = min(length, r.generation.MaxTokens)
	}
	return length
}

func (e *Engine) enterBatch(r *run, pieces int) bool {
	tokens := prefix.Tokens(r.generation.Prompt)
	e.mu.Lock()
	defer e.mu.Unlock()
	for !r.failed && (e.state.Running >= e.settings.Cost.BatchLimit || e.usedPieces+pieces > e.state.TotalPieces || !e.hasTopPriority(r)) {
		freed := e.freed
		e.mu.Unlock()
		select {
		case <-freed:
		case <-r.ctx.Done():
		}
		e.mu.Lock()
	}
	e.state.Queued = max(e.state.Queued-1, 0)
	e.state.QueuedTokens = max(e.state.QueuedTokens-tokens, 0)
	if r.failed {
		return false
	}
	e.state.Running++
	e.usedPieces += pieces
	r.generation.Priority = priorityRunning
	return true
}

// priorityRunning marks a request that has entered the batch.
const priorityRunning = models.Priority(1 << 30)

// hasTopPriority reports whether no request of higher priority is waiting.
func (e *Engine) hasTopPriority(r *run) bool {
	for _, other := range e.runs {
		waits := other.generation.Priority != priorityRunning && !other.failed
		if waits && other.generation.Priority > r.generation.Priority {
			return false
		}
	}
	return true
}

func (e *Engine) leaveBatch(r *run, pieces int) {
	e.mu.Lock()
	if !e.crashed {
		e.state.Running = max(e.state.Running-1, 0)
		e.usedPieces = max(e.usedPieces-pieces, 0)
	}
	e.notifyWaiters()
	e.mu.Unlock()
	go func() {
		if e.clock.Sleep(r.ctx, doneRetention) == nil {
			_ = e.Cancel(r.ctx, r.generation.ID)
		}
	}()
}

func (e *Engine) lookUpPrefix(r *run) int {
	hashes := prefix.Hashes(r.generation.Prompt)
	e.mu.Lock()
	defer e.mu.Unlock()
	cached := e.cache.match(hashes)
	e.cache.add(hashes)
	return cached
}

func (e *Engine) stepTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.settings.Cost.step(e.state.Running) + e.faults.Slow
}

func (e *Engine) emit(r *run, index int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.failed {
		return false
	}
	r.tokens = append(r.tokens, TokenAt(r.generation.Model, r.generation.Prompt, index))
	r.notify()
	return true
}

func (e *Engine) complete(r *run, cached int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.failed {
		return
	}
	reason := models.FinishStop
	if r.length() < AnswerLength(r.generation.Model, r.generation.Prompt) {
		reason = models.FinishLength
	}
	prompt := prefix.Tokens(r.generation.Prompt)
	r.finish = models.Finish{
		Reason: reason,
		Usage:  models.TokenUsage{Prompt: prompt, Cached: min(cached, prompt), Output: r.length()},
	}
	r.done = true
	r.notify()
}

// stream reads the pieces of a run, starting at an index.
type stream struct {
	engine *Engine
	run    *run
	next   int
	sent   int
	closed bool
}

func newStream(e *Engine, r *run, from int) *stream {
	return &stream{engine: e, run: r, next: from}
}

// Next implements peer.TokenStream.
func (s *stream) Next(ctx context.Context) (models.Piece, error) {
	for {
		piece, ok, changed, err := s.poll()
		if ok || err != nil {
			return piece, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return models.Piece{}, peer.NewFailure(peer.OutcomeUnknown, "gave up waiting for the engine", ctx.Err())
		}
	}
}

func (s *stream) poll() (models.Piece, bool, <-chan struct{}, error) {
	e, r := s.engine, s.run
	e.mu.Lock()
	defer e.mu.Unlock()
	broken := e.faults.BreakAfter > 0 && s.sent >= e.faults.BreakAfter
	if r.failed || broken || s.closed {
		return models.Piece{}, false, nil, peer.NewFailure(peer.OutcomeUnknown, "the engine's stream broke off", nil)
	}
	if e.faults.Hang {
		return models.Piece{}, false, r.changed, nil
	}
	offset := s.next - len(r.generation.Prior)
	if offset < len(r.tokens) {
		piece := models.Piece{Request: r.generation.ID, Index: s.next, Text: r.tokens[offset]}
		s.next++
		s.sent++
		return piece, true, nil, nil
	}
	if r.done {
		return models.Piece{Request: r.generation.ID, Index: s.next, Done: true, Finish: r.finish}, true, nil, nil
	}
	return models.Piece{}, false, r.changed, nil
}

// Close implements peer.TokenStream. It does not cancel the request.
func (s *stream) Close() error {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.closed = true
	return nil
}
