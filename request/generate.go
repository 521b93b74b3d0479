package request

import (
	"context"
	"strconv"

	"quincewinch/lib/prefix"
	"quincewinch/models"
	"quincewinch/peer"
)

// generationRun is one generation and its attempts at one or more engines.
type generationRun struct {
	sender          *Sender
	exchange        *Exchange
	deliveredTokens []string // tokens already sent to the caller
	finish          *models.Finish
	attempts        int
	moves           int
	excluded        []models.EngineID
}

// attemptOutcome is the result of an attempt at one engine. If it is neither
// complete nor refused, the request may be retried at another engine.
type attemptOutcome struct {
	complete bool
	refusal  error
	notRun   bool // the request certainly had no effect at the engine
	// cancelled is closed when the cancel call at the engine has returned; nil
	// if there is nothing to cancel.
	cancelled <-chan struct{}
	move      *move
}

// move is the transfer of a request to another engine before its engine is
// evicted.
type move struct {
	placement Placement
	handle    *models.KVHandle // nil if the KV cache could not be exported
}

func (g *generationRun) run(ctx context.Context) error {
	s := g.sender
	placement, err := g.place(ctx)
	if err != nil {
		return g.placementRefusal(ctx, err)
	}
	var handle *models.KVHandle
	for tries := 1; ; tries++ {
		outcome := g.attempt(ctx, placement, handle)
		switch {
		case outcome.complete:
			return nil
		case outcome.refusal != nil:
			return outcome.refusal
		}
		g.excluded = append(g.excluded, placement.Server.Engine)
		handle = nil
		if outcome.move != nil {
			placement, handle = outcome.move.placement, outcome.move.handle
			tries--
			continue
		}
		if tries >= generateAttempts || !g.mayRetry(outcome) {
			return g.failureRefusal(placement.Server.Engine)
		}
		s.awaitCancel(outcome.cancelled)
		if placement, err = g.place(ctx); err != nil {
			return g.placementRefusal(ctx, err)
		}
		s.recordRetry(g.exchange, placement.Server.Engine)
	}
}

// mayRetry reports whether the request may be retried at another engine, and
// takes the retry from the budget.
func (g *generationRun) mayRetry(outcome attemptOutcome) bool {
	allowed := outcome.notRun && !g.exchange.Started || g.exchange.Repeatable()
	return allowed && g.sender.retries.Take()
}

// place returns a placement on an engine that still accepts new requests.
func (g *generationRun) place(ctx context.Context) (Placement, error) {
	for range placeAttempts {
		placement, err := g.sender.placer.Place(ctx, g.exchange, g.excluded)
		if err != nil {
			return Placement{}, err
		}
		if !g.sender.isLeaving(placement.Server.Engine) {
			g.sender.recordPlacement(g.exchange, placement)
			return placement, nil
		}
		placement.Release(Result{})
		g.excluded = append(g.excluded, placement.Server.Engine)
	}
	return Placement{}, noBackend("each engine chosen is leaving")
}

// placementRefusal returns the refusal of a request that could not be placed.
func (g *generationRun) placementRefusal(ctx context.Context, err error) error {
	if refusal := contextRefusal(ctx, g.exchange); refusal != nil {
		return refusal
	}
	if !g.exchange.Started {
		return err
	}
	return g.failureRefusal("")
}

// failureRefusal returns the refusal of a request after its engines failed.
func (g *generationRun) failureRefusal(engine models.EngineID) error {
	switch {
	case !g.exchange.Started:
		return noBackend("each engine tried has refused")
	case g.exchange.Repeatable():
		return &models.Refusal{
			Code:       models.RefusalBackendFailed,
			Message:    "the engines failed before the answer was whole",
			RetryAfter: busyRetryAfter,
		}
	}
	return unknownOutcome("engine " + string(engine) + " failed after " + strconv.Itoa(len(g.deliveredTokens)) + " tokens of its answer")
}

// attempt runs the request at one engine and releases its placement.
func (g *generationRun) attempt(ctx context.Context, placement Placement, handle *models.KVHandle) attemptOutcome {
	g.attempts++
	a := &attempt{
		generationRun: g,
		server:        placement.Server,
		engine:        g.sender.engines.Engine(placement.Server),
		id:            attemptID(g.exchange.ID, g.attempts),
	}
	before := len(g.deliveredTokens)
	outcome := a.run(ctx, handle)
	result := Result{
		Failed:     !outcome.complete && outcome.refusal == nil && outcome.move == nil,
		FirstToken: len(g.deliveredTokens) > before,
		Waited:     a.waited,
	}
	if g.finish != nil {
		result.Usage = g.finish.Usage
	}
	placement.Release(result)
	return outcome
}

// attemptID returns the request ID sent to the engine. It is unique for each
// attempt, so that a late answer to an earlier attempt is never mistaken for
// that of the current one.
func attemptID(id models.RequestID, attempt int) models.RequestID {
	if attempt == 1 {
		return id
	}
	return id + models.RequestID("-"+strconv.Itoa(attempt))
}

// recordUsage sets the request's usage to what the caller received: tokens
// that several engines generated are counted once.
func (g *generationRun) recordUsage() {
	if len(g.deliveredTokens) == 0 && g.finish == nil {
		return
	}
	usage := models.Usage{
		Requests: 1,
		Prompt:   int64(prefix.Tokens(g.exchange.Generation.Prompt)),
		Output:   int64(len(g.deliveredTokens)),
	}
	if g.finish != nil {
		usage.Prompt = int64(g.finish.Usage.Prompt)
		usage.Cached = int64(min(g.finish.Usage.Cached, g.finish.Usage.Prompt))
	}
	g.exchange.Usage = usage
}

func (s *Sender) recordPlacement(e *Exchange, placement Placement) {
	s.timeline.Record(models.Event{
		Kind:      models.EventPlacement,
		Request:   e.ID,
		Engine:    placement.Server.Engine,
		Workspace: e.Workspace.Name,
		What:      "placed on engine " + string(placement.Server.Engine),
		Why:       placement.Why,
	})
}

func (s *Sender) recordRetry(e *Exchange, engine models.EngineID) {
	s.timeline.Record(models.Event{
		Kind:      models.EventRetry,
		Request:   e.ID,
		Engine:    engine,
		Workspace: e.Workspace.Name,
		What:      "tried again on engine " + string(engine),
		Why:       "the engine before it failed, and the retry budget allows it",
	})
}

// cancel cancels a request at an engine in the background. It has a timeout of
// its own, since the caller's context may have ended. The returned channel is
// closed when the call has returned.
func (s *Sender) cancel(ctx context.Context, engine peer.Engine, id models.RequestID) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
		defer cancel()
		_ = engine.Cancel(ctx, id)
	}()
	return done
}

// awaitCancel waits up to cancelWait for a cancel to return, before the request
// is sent to another engine.
func (s *Sender) awaitCancel(cancelled <-chan struct{}) {
	if cancelled == nil {
		return
	}
	timer := s.clock.NewTimer(cancelWait)
	defer timer.Stop()
	select {
	case <-cancelled:
	case <-timer.C():
	}
}
