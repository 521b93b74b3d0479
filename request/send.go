package request

import (
	"context"

	"quincewinch/models"
	"quincewinch/peer"
)

// Sender is the last handler of the line: it sends requests to backend
// servers and carries the answers back.
type Sender struct {
	engines       peer.Engines
	services      peer.Services
	configuration peer.Configuration
	placer        Placer
	timeline      peer.Timeline
	clock         peer.Clock
}

// NewSender returns the line's last handler.
func NewSender(engines peer.Engines, services peer.Services, configuration peer.Configuration, placer Placer, timeline peer.Timeline, clock peer.Clock) *Sender {
	return &Sender{
		engines:       engines,
		services:      services,
		configuration: configuration,
		placer:        placer,
		timeline:      timeline,
		clock:         clock,
	}
}

// Handle implements Handler.
func (s *Sender) Handle(ctx context.Context, e *Exchange) error {
	if e.Call != nil {
		return s.call(ctx, e)
	}
	return s.generate(ctx, e)
}

func (s *Sender) call(ctx context.Context, e *Exchange) error {
	backends := s.configuration.Config().Services[e.Call.Service]
	if len(backends) == 0 {
		return noBackend("the service has no address")
	}
	backend := backends[0]
	s.timeline.Record(models.Event{
		Kind:      models.EventPlacement,
		Request:   e.ID,
		Workspace: e.Workspace.Name,
		What:      "call of service " + string(backend.Service) + " at " + backend.URL,
		Why:       "the first address of the service's rows",
	})
	e.Started = true
	answer, err := s.services.Service(backend).Call(ctx, *e.Call)
	if err != nil {
		return s.callFailed(e, err)
	}
	e.Usage = models.Usage{Requests: 1, ServiceCalls: 1}
	return delivered(e.Sink.Answer(ctx, answer))
}

func (s *Sender) callFailed(e *Exchange, err error) error {
	if peer.OutcomeOf(err) == peer.OutcomeNotDone {
		e.Started = false
		return noBackend("the service cannot be reached")
	}
	return &models.Refusal{Code: models.RefusalBackendFailed, Message: "the service failed: its answer was lost"}
}

func (s *Sender) generate(ctx context.Context, e *Exchange) error {
	var excluded []models.EngineID
	var given []string
	for range generateAttempts {
		placement, err := s.placer.Place(ctx, e, excluded)
		if err != nil {
			return s.placeFailed(e, given, err)
		}
		s.recordPlacement(e, placement)
		result, done, err := s.stream(ctx, e, placement.Server, &given)
		placement.Release(result)
		if done || err != nil {
			return err
		}
		excluded = append(excluded, placement.Server.Engine)
	}
	return s.placeFailed(e, given, noBackend("each engine tried has failed"))
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

func (s *Sender) placeFailed(e *Exchange, given []string, err error) error {
	if !e.Started && len(given) == 0 {
		return err
	}
	return &models.Refusal{Code: models.RefusalBackendFailed, Message: "the engines failed before the answer was whole"}
}

// stream carries one engine's answer. It returns done when the answer is
// whole, an error when the request must end, neither when another engine may
// go on.
func (s *Sender) stream(ctx context.Context, e *Exchange, server models.BackendServer, given *[]string) (Result, bool, error) {
	engine := s.engines.Engine(server)
	generation := *e.Generation
	generation.ID = e.ID
	generation.Prior = *given
	generation.Priority = e.Workspace.Priority
	generation.Deadline = e.Deadline
	e.Started = true
	tokens, err := engine.Generate(ctx, generation)
	if err != nil {
		return Result{Failed: true}, false, s.gone(ctx)
	}
	for attempt := 0; ; attempt++ {
		finish, done, err := s.pump(ctx, e, tokens, given)
		_ = tokens.Close()
		if err != nil || done {
			return s.ended(ctx, e, engine, finish, done, err)
		}
		if attempt >= resumeAttempts {
			return Result{Failed: true}, false, nil
		}
		tokens, err = engine.Resume(ctx, e.ID, len(*given))
		if err != nil {
			return Result{Failed: true}, false, s.gone(ctx)
		}
	}
}

func (s *Sender) ended(ctx context.Context, e *Exchange, engine peer.Engine, finish models.Finish, done bool, err error) (Result, bool, error) {
	if err != nil {
		_ = engine.Cancel(context.WithoutCancel(ctx), e.ID)
		return Result{}, false, err
	}
	e.Usage = models.Usage{
		Requests: 1,
		Prompt:   int64(finish.Usage.Prompt),
		Cached:   int64(finish.Usage.Cached),
		Output:   int64(finish.Usage.Output),
	}
	return Result{FirstToken: true, Usage: finish.Usage}, done, nil
}

// pump hands pieces to the caller. Each piece must be the next of this
// request's answer; anything else breaks the stream.
func (s *Sender) pump(ctx context.Context, e *Exchange, tokens peer.TokenStream, given *[]string) (models.Finish, bool, error) {
	for {
		piece, err := tokens.Next(ctx)
		if err != nil {
			return models.Finish{}, false, s.gone(ctx)
		}
		if piece.Request != e.ID || piece.Index != len(*given) {
			return models.Finish{}, false, nil
		}
		if err := delivered(e.Sink.Piece(ctx, piece)); err != nil {
			return models.Finish{}, false, err
		}
		if piece.Done {
			return piece.Finish, true, nil
		}
		*given = append(*given, piece.Text)
	}
}

// gone returns the refusal of a request whose caller or time is gone.
func (s *Sender) gone(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	if ctx.Err() == context.DeadlineExceeded {
		return &models.Refusal{Code: models.RefusalDeadline, Message: "the request's time is up"}
	}
	return &models.Refusal{Code: models.RefusalCancelled, Message: "the caller has gone"}
}
