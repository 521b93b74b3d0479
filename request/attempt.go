package request

import (
	"context"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

// attempt is a generation at one engine.
type attempt struct {
	*generating
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

func (a *attempt) run(ctx context.Context, handle *models.KVHandle) ending {
	if handle != nil {
		a.receive(ctx, *handle)
	}
	source, end, ok := a.open(ctx)
	if !ok {
		return end
	}
	for failures := 0; ; {
		before := len(a.given)
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
		if len(a.given) > before {
			failures = 0
		}
		source, failures = a.resume(ctx, failures)
		if source == nil {
			return a.giveUp(ctx)
		}
	}
}

// open starts the request at the engine.
func (a *attempt) open(ctx context.Context) (*source, ending, bool) {
	e := a.exchange
	generation := *e.Generation
	generation.ID = a.id
	generation.Prior = append([]string(nil), a.given...)
	generation.Priority = e.Workspace.Priority
	generation.Deadline = e.Deadline
	started := e.Started
	e.Started = true
	source, err := a.sender.open(ctx, func(ctx context.Context) (peer.TokenStream, error) {
		return a.engine.Generate(ctx, generation)
	})
	if err == nil {
		return source, ending{}, true
	}
	if noEffect(err) || peer.OutcomeOf(err) == peer.OutcomeRefused {
		e.Started = started
	}
	if refusal := gone(ctx, e); refusal != nil {
		a.sender.cancel(ctx, a.engine, a.id)
		return nil, ending{refusal: refusal}, false
	}
	switch {
	case noEffect(err):
		return nil, ending{unrun: true}, false
	case peer.OutcomeOf(err) == peer.OutcomeRefused:
		return nil, ending{refusal: a.refusedBy(err)}, false
	}
	return nil, ending{cancelled: a.sender.cancel(ctx, a.engine, a.id)}, false
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
			return a.engine.Resume(ctx, a.id, len(a.given))
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
func (a *attempt) giveUp(ctx context.Context) ending {
	return ending{
		refusal:   gone(ctx, a.exchange),
		cancelled: a.sender.cancel(ctx, a.engine, a.id),
	}
}

// pump hands pieces to the caller. Each must be the next of this attempt's
// answer; anything else breaks the stream.
func (a *attempt) pump(ctx context.Context, from *source) (streamEnd, ending) {
	clock := a.sender.clock
	latest := clock.Now() // when the engine was waited for from
	defer func() { a.waited += clock.Now().Sub(latest) }()
	patrol := clock.NewTimer(patrolInterval)
	defer func() { patrol.Stop() }()
	for {
		select {
		case <-ctx.Done():
			return streamOver, ending{refusal: gone(ctx, a.exchange)}
		case <-patrol.C():
			if clock.Now().Sub(latest) >= a.sender.settings.Stall {
				return streamStuck, ending{}
			}
			if m := a.depart(ctx); m != nil {
				return streamMoves, ending{move: m}
			}
			patrol = clock.NewTimer(patrolInterval)
		case item := <-from.items:
			a.waited += clock.Now().Sub(latest)
			latest = clock.Now()
			if item.err != nil || item.piece.Request != a.id || item.piece.Index != len(a.given) {
				return streamBroken, ending{}
			}
			if err := a.deliver(ctx, item.piece); err != nil {
				return streamOver, ending{refusal: err}
			}
			if item.piece.Done {
				return streamWhole, ending{whole: true}
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
		piece.Finish.Usage.Output = len(a.given)
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
	a.given = append(a.given, piece.Text)
	return nil
}

func (a *attempt) undelivered(ctx, taking context.Context) error {
	if refusal := gone(ctx, a.exchange); refusal != nil {
		return refusal
	}
	message := "the caller has gone"
	if taking.Err() != nil {
		message = "the caller has taken no token for " + slowReader.String()
	}
	return &models.Refusal{Code: models.RefusalCancelled, Message: message}
}
