package request

import (
	"context"
	"sync"
	"time"

	"quincewinch/lib/prefix"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/policy/limit"
)

// Limits enforces the limits of workspaces on requests.
type Limits struct {
	forecaster Forecaster
	reports    peer.Reports
	clock      peer.Clock
	work       *WorkCounter

	mu      sync.Mutex
	limiter *limit.Limiter
}

// NewLimits returns the limits of the daemon self. Refused requests are counted
// in work.
func NewLimits(self models.DaemonID, forecaster Forecaster, reports peer.Reports, clock peer.Clock, work *WorkCounter) *Limits {
	return &Limits{
		forecaster: forecaster,
		reports:    reports,
		clock:      clock,
		work:       work,
		limiter:    limit.NewLimiter(self),
	}
}

// Filter returns a filter that admits each request before it is handled.
func (l *Limits) Filter() Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, e *Exchange) error {
			if e.Workspace.Name == "" {
				return next.Handle(ctx, e)
			}
			tokens := l.estimateTokens(e)
			if err := l.Admit(e, tokens); err != nil {
				return err
			}
			defer l.release(e, tokens)
			return next.Handle(ctx, e)
		})
	}
}

// Step implements control.Task. It updates this daemon's share of the limits
// from the reports of the other daemons.
func (l *Limits) Step(context.Context) {
	own, reports, now := l.work.Done(), l.reports.Reports(), l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Update(own, reports, now)
}

// Admit admits a request with the given estimate of tokens, or returns its
// refusal.
func (l *Limits) Admit(e *Exchange, tokens float64) error {
	l.mu.Lock()
	verdict := l.limiter.Admit(e.Workspace, tokens, l.clock.Now())
	l.mu.Unlock()
	if verdict.Admitted {
		return nil
	}
	l.work.add(e.Workspace.Name, models.WorkDone{Refused: 1})
	return &models.Refusal{
		Code:       models.RefusalRateLimit,
		Message:    "the workspace's limit on " + verdict.Limit + " is reached",
		NotRun:     neverRun(e),
		RetryAfter: verdict.RetryAfter.Round(time.Millisecond),
	}
}

// Release ends an admitted request and replaces its estimated tokens by those
// that it used.
func (l *Limits) Release(workspace models.Workspace, estimated, used float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Release(workspace, estimated, used)
}

func (l *Limits) release(e *Exchange, tokens float64) {
	l.Release(e.Workspace.Name, tokens, float64(e.Usage.Prompt+e.Usage.Output))
}

// estimateTokens returns the expected prompt and output tokens of a request.
func (l *Limits) estimateTokens(e *Exchange) float64 {
	if e.Generation == nil {
		return 0
	}
	return float64(prefix.Tokens(e.Generation.Prompt) + l.forecaster.ExpectedOutput(e))
}
