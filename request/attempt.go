package request

import (
	"context"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

// attempt is a generation at one engine.
type attempt struct {
	*generationRun
	server models.BackendServer
	engine peer.Engine
	id     models.RequestID
	waited time.Duration // for pieces, the time that the caller took left out
}

// streamEnd tells how one connection's stream ended.
type streamEnd string

const (
	streamWhole  streamEnd = "whole"
	streamBroken streamEnd = "broken" // it may be opened again
	streamStuck  streamEnd = "stuck"  // the engine gives nothing
	streamMoves  streamEnd = "moves"  // the request goes to another engine
	streamOver   streamEnd = "over"   // the request must end
)

func (a *attempt) run(ctx context.Context, handle *models.KVHandle) attemptOutcome {
	if handle != nil {
		a.receive(ctx, *handle)
	}
	source, end, ok := a.open(ctx)
	if !ok {
		return end
	}
	for failures := 0; ; {
		before := len(a.deliveredTokens)
		how, end := a.pump(ctx, source)
		source.stop()
		switch {
		case how == streamWhole, how == streamMoves:
			return end
		case how == streamOver:
			a.sender.cancel(ctx, a.engine, a.id)
			return end
		case how == streamStuck && a.exchange.Repeatable():
			return a.giveUp(ctx)
		}
		if len(a.deliveredTokens) > before {
			failures = 0
		}
		source, failures = a.resume(ctx, failures)
		if source == nil {
			return a.giveUp(ctx)
		}
	}
}

// open starts the request at the engine.
func (a *attempt) open(ctx context.Context) (*source, attemptOutcome, bool) {
	e := a.exchange
	generation := *e.Generation
	generation.ID = a.id
	generation.Prior = append([]string(nil), a.deliveredTokens...)
	generation.Priority = e.Workspace.Priority
	generation.Deadline = e.Deadline
	started := e.Started
	e.Started = true
	source, err := a.sender.open(ctx, func(ctx context.Context) (peer.TokenStream, error) {
		return a.engine.Generate(ctx, generation)
	})
	if err == nil {
		return source, attemptOutcome{}, true
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
		return nil, attemptOutcome{refusal: a.refusedBy(err)}, false
	}
	return nil, attemptOutcome{cancelled: a.sender.cancel(ctx, a.engine, a.id)}, false
}

// refusedBy returns the refusal of a request that the engine will not run.
func (a *attempt) refusedBy(err error) error {
	return &models.Refusal{
		Code:    models.RefusalBackendFailed,
		Message: "the engine refuses the request: " + err.Error(),
		NotRun:  !a.exchange.Started,
	}
}

// resume opens the stream again after the last token that the caller has. It
// returns no source when the engine is to be given up.
func (a *attempt) resume(ctx context.Context, failures int) (*source, int) {
	for failures < resumeAttempts {
		failures++
		if err := a.sender.clock.Sleep(ctx, time.Duration(failures)*resumeBackoff); err != nil {
			return nil, failures
		}
		source, err := a.sender.open(ctx, func(ctx context.Context) (peer.TokenStream, error) {
			return a.engine.Resume(ctx, a.id, len(a.deliveredTokens))
		})
		if err == nil {
			return source, failures
		}
		if outcome := peer.OutcomeOf(err); outcome == peer.OutcomeMissing || outcome == peer.OutcomeRefused {
			return nil, failures
		}
	}
	return nil, failures
}

// giveUp ends the request at an engine that does not finish it.
func (a *attempt) giveUp(ctx context.Context) attemptOutcome {
	return attemptOutcome{
		refusal:   contextRefusal(ctx, a.exchange),
		cancelled: a.sender.cancel(ctx, a.engine, a.id),
	}
}

// pump hands pieces to the caller. Each must be the next of this attempt's
// answer; anything else breaks the stream.
func (a *attempt) pump(ctx context.Context, from *source) (streamEnd, attemptOutcome) {
	clock := a.sender.clock
	latest := clock.Now() // when the engine was waited for from
	defer func() { a.waited += clock.Now().Sub(latest) }()
	patrol := clock.NewTimer(patrolInterval)
	defer func() { patrol.Stop() }()
	for {
		select {
		case <-ctx.Done():
			return streamOver, attemptOutcome{refusal: contextRefusal(ctx, a.exchange)}
		case <-patrol.C():
			if clock.Now().Sub(latest) >= a.sender.settings.StallTimeout {
				return streamStuck, attemptOutcome{}
			}
			if m := a.depart(ctx); m != nil {
				return streamMoves, attemptOutcome{move: m}
			}
			patrol = clock.NewTimer(patrolInterval)
		case item := <-from.items:
			a.waited += clock.Now().Sub(latest)
			latest = clock.Now()
			if item.err != nil || item.piece.Request != a.id || item.piece.Index != len(a.deliveredTokens) {
				return streamBroken, attemptOutcome{}
			}
			if err := a.deliver(ctx, item.piece); err != nil {
				return streamOver, attemptOutcome{refusal: err}
			}
			if item.piece.Done {
				return streamWhole, attemptOutcome{complete: true}
			}
			latest = clock.Now()
		}
	}
}

// deliver hands one piece to the caller.
func (a *attempt) deliver(ctx context.Context, piece models.Piece) error {
	e := a.exchange
	piece.Request = e.ID
	if piece.Done {
		piece.Finish.Usage.Output = len(a.deliveredTokens)
	}
	taking, cancel := context.WithTimeout(ctx, slowReader)
	defer cancel()
	if err := e.Sink.Piece(taking, piece); err != nil {
		return a.undelivered(ctx, taking)
	}
	if piece.Done {
		a.finish = &piece.Finish
		return nil
	}
	a.deliveredTokens = append(a.deliveredTokens, piece.Text)
	return nil
}

func (a *attempt) undelivered(ctx, taking context.Context) error {
	if refusal := contextRefusal(ctx, a.exchange); refusal != nil {
		return refusal
	}
	message := "the caller has gone"
	if taking.Err() != nil {
		message = "the caller has taken no token for " + slowReader.String()
	}
	return &models.Refusal{Code: models.RefusalCancelled, Message: message}
}
