package request

import (
	"context"
	"errors"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

// EngineStates gives the latest state of an engine, false if it is unknown.
type EngineStates interface {
	State(id models.EngineID) (models.EngineState, bool)
}

// SenderSettings are what a sender needs to know of its daemon.
type SenderSettings struct {
	Zone  models.Zone
	Stall time.Duration // longest wait for the next piece of a stream
}

// Sender is the last handler of the line: it sends requests to backend
// servers and carries the answers back.
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
	outliers      *outliers
}

// NewSender returns the line's last handler.
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
		outliers:      newOutliers(clock),
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

// generate carries a generation through one engine, or several.
func (s *Sender) generate(ctx context.Context, e *Exchange) error {
	ctx, cut := context.WithCancelCause(ctx)
	defer cut(nil)
	if e.KeyID != "" {
		go watchKey(ctx, s.configuration, e.KeyHash, cut)
	}
	g := &generating{sender: s, exchange: e}
	defer g.count()
	return g.run(ctx)
}

// gone returns the refusal of a request whose caller, key or time is gone, nil
// if none is.
func gone(ctx context.Context, e *Exchange) error {
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
