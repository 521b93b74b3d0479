package request

import (
	"context"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

// attempt is one run of a generation on one engine.
type attempt struct {
	*generationRun
	server models.BackendServer
	engine peer.Engine
	id     models.RequestID
	// waited is the time spent waiting for the engine's pieces. Time spent on
	// delivering them to the caller is not counted.
	waited time.Duration
}

// streamOutcome is the way in which one connection's token stream ended.
type streamOutcome string

const (
	streamComplete streamOutcome = "whole"
	streamBroken   streamOutcome = "broken" // the stream may be resumed
	streamStalled  streamOutcome = "stuck"  // the engine sent nothing within the stall timeout
	streamMoved    streamOutcome = "moves"  // the request moves to another engine
	streamAborted  streamOutcome = "over"   // the request must not continue
)

func (a *attempt) run(ctx context.Context, handle *models.KVHandle) attemptOutcome {
	if handle != nil {
		a.importKVCache(ctx, *handle)
	}
	reader, end, ok := a.open(ctx)
	if !ok {
		return end
	}
	for failures := 0; ; {
		before := len(a.deliveredTokens)
		outcome, end := a.forward(ctx, reader)
		reader.stop()
		switch {
		case outcome == streamComplete, outcome == streamMoved:
			return end
		case outcome == streamAborted:
			a.sender.cancel(ctx, a.engine, a.id)
			return end
		case outcome == streamStalled && a.exchange.Repeatable():
			return a.abandon(ctx)
		}
		if len(a.deliveredTokens) > before {
			failures = 0
		}
		reader, failures = a.resume(ctx, failures)
		if reader == nil {
			return a.abandon(ctx)
		}
	}
}

// open starts the request on the engine.
func (a *attempt) open(ctx context.Context) (*streamReader, attemptOutcome, bool) {
	e := a.exchange
	generation := *e.Generation
	generation.ID = a.id
	generation.Prior = append([]string(nil), a.deliveredTokens...)
	generation.Priority = e.Workspace.Priority
	generation.Deadline = e.Deadline
	started := e.Started
	e.Started = true
	reader, err := a.sender.openStream(ctx, func(ctx context.Context) (peer.TokenStream, error) {
		return a.engine.Generate(ctx, generation)
	})
	if err == nil {
		return reader, attemptOutcome{}, true
	}
	if noEffect(err) || peer.OutcomeOf(err) == peer.OutcomeRefused {
		e.Started = started
	}
	if refusal := contextRefusal(ctx, e); refusal != nil {
		a.sender.cancel(ctx, a.engine, a.id)
		return nil, attemptOutcome{refusal: refusal}, false
	}
	switch {
	case noEffect(err):
		return nil, attemptOutcome{notRun: true}, false
	case peer.OutcomeOf(err) == peer.OutcomeRefused:
		return nil, attemptOutcome{refusal: a.engineRefusal(err)}, false
	}
	return nil, attemptOutcome{cancelled: a.sender.cancel(ctx, a.engine, a.id)}, false
}

// engineRefusal returns the caller's refusal for a request that the engine
// rejected.
func (a *attempt) engineRefusal(err error) error {
	return &models.Refusal{
		Code:    models.RefusalBackendFailed,
		Message: "the engine refuses the request: " + err.Error(),
		NotRun:  !a.exchange.Started,
	}
}

// resume reopens the stream after the last token that the caller received. It
// returns a nil reader if the engine should be abandoned, and the number of
// consecutive failures.
func (a *attempt) resume(ctx context.Context, failures int) (*streamReader, int) {
	for failures < resumeAttempts {
		failures++
		if err := a.sender.clock.Sleep(ctx, time.Duration(failures)*resumeBackoff); err != nil {
			return nil, failures
		}
		reader, err := a.sender.openStream(ctx, func(ctx context.Context) (peer.TokenStream, error) {
			return a.engine.Resume(ctx, a.id, len(a.deliveredTokens))
		})
		if err == nil {
			return reader, failures
		}
		if outcome := peer.OutcomeOf(err); outcome == peer.OutcomeMissing || outcome == peer.OutcomeRefused {
			return nil, failures
		}
	}
	return nil, failures
}

// abandon cancels the request on an engine that failed to finish it, and returns
// the outcome of the attempt.
func (a *attempt) abandon(ctx context.Context) attemptOutcome {
	return attemptOutcome{
		refusal:   contextRefusal(ctx, a.exchange),
		cancelled: a.sender.cancel(ctx, a.engine, a.id),
	}
}

// forward delivers pieces from the stream to the caller. Every piece must carry
// this attempt's ID and the next index; any other piece breaks the stream.
func (a *attempt) forward(ctx context.Context, reader *streamReader) (streamOutcome, attemptOutcome) {
	clock := a.sender.clock
	latest := clock.Now() // start of the current wait for the engine
	defer func() { a.waited += clock.Now().Sub(latest) }()
	checkTimer := clock.NewTimer(engineCheckInterval)
	defer func() { checkTimer.Stop() }()
	for {
		select {
		case <-ctx.Done():
			return streamAborted, attemptOutcome{refusal: contextRefusal(ctx, a.exchange)}
		case <-checkTimer.C():
			if clock.Now().Sub(latest) >= a.sender.settings.StallTimeout {
				return streamStalled, attemptOutcome{}
			}
			if m := a.moveAway(ctx); m != nil {
				return streamMoved, attemptOutcome{move: m}
			}
			checkTimer = clock.NewTimer(engineCheckInterval)
		case item := <-reader.items:
			a.waited += clock.Now().Sub(latest)
			latest = clock.Now()
			if item.err != nil || item.piece.Request != a.id || item.piece.Index != len(a.deliveredTokens) {
				return streamBroken, attemptOutcome{}
			}
			if err := a.deliver(ctx, item.piece); err != nil {
				return streamAborted, attemptOutcome{refusal: err}
			}
			if item.piece.Done {
				return streamComplete, attemptOutcome{complete: true}
			}
			latest = clock.Now()
		}
	}
}

// deliver sends one piece to the caller.
func (a *attempt) deliver(ctx context.Context, piece models.Piece) error {
	e := a.exchange
	piece.Request = e.ID
	if piece.Done {
		piece.Finish.Usage.Output = len(a.deliveredTokens)
	}
	deliverCtx, cancel := context.WithTimeout(ctx, deliveryTimeout)
	defer cancel()
	if err := e.Sink.Piece(deliverCtx, piece); err != nil {
		return a.deliveryRefusal(ctx, deliverCtx)
	}
	if piece.Done {
		a.finish = &piece.Finish
		return nil
	}
	a.deliveredTokens = append(a.deliveredTokens, piece.Text)
	return nil
}

// deliveryRefusal returns the refusal that ends a request after a failed
// delivery. deliverCtx is the context of the delivery.
func (a *attempt) deliveryRefusal(ctx, deliverCtx context.Context) error {
	if refusal := contextRefusal(ctx, a.exchange); refusal != nil {
		return refusal
	}
	message := "the caller has gone"
	if deliverCtx.Err() != nil {
		message = "the caller has taken no token for " + deliveryTimeout.String()
	}
	return &models.Refusal{Code: models.RefusalCancelled, Message: message}
}
