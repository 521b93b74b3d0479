package request

import (
	"context"
	"slices"

	"quincewinch/models"
)

// call sends a call to a plain service and retries it at the service's other
// addresses.
func (s *Sender) call(ctx context.Context, e *Exchange) error {
	backends := s.rankedBackends(e.Call.Service)
	if len(backends) == 0 {
		return noBackend("the service has no address")
	}
	backends = backends[:min(len(backends), callAttempts)]
	for i, backend := range backends {
		if i > 0 {
			// The key may have been withdrawn since the previous attempt.
			if err := recheckKey(s.configuration, s.clock, e); err != nil {
				return err
			}
			if !s.retries.Take() {
				break
			}
		}
		s.recordCall(e, backend, i)
		done, err := s.callOnce(ctx, e, backend, i == len(backends)-1)
		if done || err != nil {
			return err
		}
	}
	if !e.Started {
		return noBackend("the service cannot be reached")
	}
	return &models.Refusal{
		Code:       models.RefusalBackendFailed,
		Message:    "the service failed, and its answer was lost",
		RetryAfter: busyRetryAfter,
	}
}

// callOnce calls one address and reports whether the service answered.
// False without an error means that another address may be tried.
func (s *Sender) callOnce(ctx context.Context, e *Exchange, backend models.ServiceBackend, last bool) (bool, error) {
	callCtx, cancel := s.attemptContext(ctx, e, last)
	defer cancel()
	started := e.Started
	e.Started = true
	answer, err := s.services.Service(backend).Call(callCtx, *e.Call)
	if err == nil {
		s.addressHealth.recordSuccess(backend.URL)
		e.Usage = models.Usage{Requests: 1, ServiceCalls: 1}
		return true, sinkRefusal(e.Sink.Answer(ctx, answer))
	}
	if noEffect(err) {
		e.Started = started
	}
	if refusal := contextRefusal(ctx, e); refusal != nil && e.Repeatable() {
		return false, refusal
	}
	s.addressHealth.recordFailure(backend.URL)
	if noEffect(err) || e.Repeatable() {
		return false, contextRefusal(ctx, e)
	}
	return false, unknownOutcome("the call was sent to " + backend.URL + ", and its answer was lost")
}

// attemptContext limits an attempt at a repeatable call to half of the time
// left, so that another address can still be tried. The last attempt is not
// limited.
func (s *Sender) attemptContext(ctx context.Context, e *Exchange, last bool) (context.Context, context.CancelFunc) {
	if last || !e.Repeatable() {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, e.Deadline.Sub(s.clock.Now())/2)
}

// rankedBackends returns a service's addresses in order of preference: first
// those that have not failed recently; within each group, those in this zone
// come first.
func (s *Sender) rankedBackends(service models.ServiceName) []models.ServiceBackend {
	backends := slices.Clone(s.configuration.Config().Services[service])
	rank := func(backend models.ServiceBackend) int {
		rank := 0
		if s.addressHealth.inBackoff(backend.URL) {
			rank += 2
		}
		if backend.Zone != s.settings.Zone {
			rank++
		}
		return rank
	}
	slices.SortStableFunc(backends, func(a, b models.ServiceBackend) int { return rank(a) - rank(b) })
	return backends
}

// recordCall records a call on the time line. previous is the number of
// addresses tried before.
func (s *Sender) recordCall(e *Exchange, backend models.ServiceBackend, previous int) {
	event := models.Event{
		Kind:      models.EventPlacement,
		Request:   e.ID,
		Workspace: e.Workspace.Name,
		What:      "call of service " + string(backend.Service) + " at " + backend.URL,
		Why:       "the nearest address that did not fail lately",
	}
	if previous > 0 {
		event.Kind = models.EventRetry
		event.Why = "the address before it failed, and the retry budget allows it"
	}
	s.timeline.Record(event)
}
