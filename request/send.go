package request

import (
	"context"
	"errors"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

// EngineStates returns the latest state of an engine, false if it is unknown.
type EngineStates interface {
	State(id models.EngineID) (models.EngineState, bool)
}

// SenderSettings are the settings of a sender.
type SenderSettings struct {
	Zone         models.Zone
	StallTimeout time.Duration // greatest wait for the next piece of a stream
}

// Sender is the last handler of the chain. It sends requests to backend servers
// and returns their answers to the caller.
type Sender struct {
	engines       peer.Engines
	services      peer.Services
	configuration peer.Configuration
	placer        Placer
	states        EngineStates
	timeline      peer.Timeline
	clock         peer.Clock
	settings      SenderSettings
	retries       *RetryBudget
	addressHealth *addressHealth
}

// NewSender returns a sender with a new retry budget.
func NewSender(engines peer.Engines, services peer.Services, configuration peer.Configuration, placer Placer, states EngineStates, timeline peer.Timeline, clock peer.Clock, settings SenderSettings) *Sender {
	return &Sender{
		engines:       engines,
		services:      services,
		configuration: configuration,
		placer:        placer,
		states:        states,
		timeline:      timeline,
		clock:         clock,
		settings:      settings,
		retries:       NewRetryBudget(),
		addressHealth: newAddressHealth(clock),
	}
}

// Handle implements Handler.
func (s *Sender) Handle(ctx context.Context, e *Exchange) error {
	if err := recheckKey(s.configuration, s.clock, e); err != nil {
		return err
	}
	s.retries.Earn()
	if e.Call != nil {
		return s.call(ctx, e)
	}
	return s.generate(ctx, e)
}

// generate runs a generation at one or more engines. It stops when the caller's
// key is withdrawn.
func (s *Sender) generate(ctx context.Context, e *Exchange) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if e.KeyID != "" {
		go watchKey(ctx, s.configuration, e.KeyHash, cancel)
	}
	g := &generationRun{sender: s, exchange: e}
	defer g.recordUsage()
	return g.run(ctx)
}

// contextRefusal returns the refusal of a request whose context has ended: its
// caller has gone, its key was withdrawn or its deadline has passed. It returns
// nil if the context has not ended.
func contextRefusal(ctx context.Context, e *Exchange) error {
	if ctx.Err() == nil {
		return nil
	}
	refusal := models.Refusal{Code: models.RefusalCancelled, Message: "the caller has gone"}
	if ctx.Err() == context.DeadlineExceeded {
		refusal = models.Refusal{Code: models.RefusalDeadline, Message: "the request's time is up"}
	}
	var cause *models.Refusal
	if errors.As(context.Cause(ctx), &cause) {
		refusal = *cause
	}
	refusal.NotRun = !e.Started
	return &refusal
}

// noEffect reports whether a failed call is certain to have had no effect.
func noEffect(err error) bool {
	outcome := peer.OutcomeOf(err)
	return outcome != peer.OutcomeUnknown && outcome != peer.OutcomeRefused
}
