package request

import (
	"context"
	"strconv"

	"quincewinch/lib/prefix"
	"quincewinch/models"
	"quincewinch/peer"
)

// generating is one generation on its way through engines.
type generating struct {
	sender   *Sender
	exchange *Exchange
	given    []string // tokens that the caller has
	finish   *models.Finish
	attempts int
	moves    int
	excluded []models.EngineID
}

// ending tells how an attempt at one engine ended. With no refusal and not
// whole, the request may go on elsewhere as far as this engine goes.
type ending struct {
	whole   bool
	refusal error
	unrun   bool // the engine never saw the request
	// cancelled is closed once the engine was told to end the request; nil
	// where there is nothing to end.
	cancelled <-chan struct{}
	move      *move
}

// move takes a request from an engine that leaves to another.
type move struct {
	placement Placement
	handle    *models.KVHandle // nil where it could not be exported
}

func (g *generating) run(ctx context.Context) error {
	s := g.sender
	placement, err := g.place(ctx)
	if err != nil {
		return g.unplaced(ctx, err)
	}
	var handle *models.KVHandle
	for tries := 1; ; tries++ {
		end := g.attempt(ctx, placement, handle)
		switch {
		case end.whole:
			return nil
		case end.refusal != nil:
			return end.refusal
		}
		g.excluded = append(g.excluded, placement.Server.Engine)
		handle = nil
		if end.move != nil {
			placement, handle = end.move.placement, end.move.handle
			tries--
			continue
		}
		if tries >= generateAttempts || !g.mayRetry(end) {
			return g.lost(placement.Server.Engine)
		}
		s.awaitCancel(end.cancelled)
		if placement, err = g.place(ctx); err != nil {
			return g.unplaced(ctx, err)
		}
		s.recordRetry(g.exchange, placement.Server.Engine)
	}
}

// mayRetry reports whether the request may go to another engine.
func (g *generating) mayRetry(end ending) bool {
	allowed := end.unrun && !g.exchange.Started || g.exchange.Repeatable()
	return allowed && g.sender.retries.Take()
}

// place returns a placement on an engine that does not leave.
func (g *generating) place(ctx context.Context) (Placement, error) {
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

func (g *generating) unplaced(ctx context.Context, err error) error {
	if refusal := gone(ctx, g.exchange); refusal != nil {
		return refusal
	}
	if !g.exchange.Started {
		return err
	}
	return g.lost("")
}

// lost returns the refusal of a request whose engines have failed.
func (g *generating) lost(engine models.EngineID) error {
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
	return unknownOutcome("engine " + string(engine) + " failed after " + strconv.Itoa(len(g.given)) + " tokens of its answer")
}

// attempt carries the answer of one engine.
func (g *generating) attempt(ctx context.Context, placement Placement, handle *models.KVHandle) ending {
	g.attempts++
	a := &attempt{
		generating: g,
		server:     placement.Server,
		engine:     g.sender.engines.Engine(placement.Server),
		id:         attemptID(g.exchange.ID, g.attempts),
	}
	before := len(g.given)
	end := a.run(ctx, handle)
	result := Result{
		Failed:     !end.whole && end.refusal == nil && end.move == nil,
		FirstToken: len(g.given) > before,
		Waited:     a.waited,
	}
	if g.finish != nil {
		result.Usage = g.finish.Usage
	}
	placement.Release(result)
	return end
}

// attemptID names a request towards one engine. Each attempt has its own, so
// that a late answer to an earlier one is never taken for the answer.
func attemptID(id models.RequestID, attempt int) models.RequestID {
	if attempt == 1 {
		return id
	}
	return id + models.RequestID("-"+strconv.Itoa(attempt))
}

// count counts what the caller got, once, whatever the engines were asked.
func (g *generating) count() {
	if len(g.given) == 0 && g.finish == nil {
		return
	}
	usage := models.Usage{
		Requests: 1,
		Prompt:   int64(prefix.Tokens(g.exchange.Generation.Prompt)),
		Output:   int64(len(g.given)),
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

// cancel ends a request at an engine, on time of its own: the caller's may be
// over.
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

// awaitCancel waits a short while for a cancel, before the request goes
// elsewhere.
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
