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

// Limits keeps requests within the limits of their workspaces.
type Limits struct {
	forecaster Forecaster
	reports    peer.Reports
	clock      peer.Clock
	work       *Work

	mu      sync.Mutex
	limiter *limit.Limiter
}

// NewLimits returns the limits of a daemon, which counts into work.
func NewLimits(self models.DaemonID, forecaster Forecaster, reports peer.Reports, clock peer.Clock, work *Work) *Limits {
	return &Limits{
		forecaster: forecaster,
		reports:    reports,
		clock:      clock,
		work:       work,
		limiter:    limit.NewLimiter(self),
	}
}

// Filter returns the filter of the line.
func (l *Limits) Filter() Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, e *Exchange) error {
			if e.Workspace.Name == "" {
				return next.Handle(ctx, e)
			}
			tokens := l.tokens(e)
			if err := l.Enter(e, tokens); err != nil {
				return err
			}
			defer l.leave(e, tokens)
			return next.Handle(ctx, e)
		})
	}
}

// Step implements control.Task: it takes in what the other daemons meet.
func (l *Limits) Step(context.Context) {
	own, reports, now := l.work.Done(), l.reports.Reports(), l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Update(own, reports, now)
}

// Enter admits a request of so many tokens, or refuses it.
func (l *Limits) Enter(e *Exchange, tokens float64) error {
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

// Leave ends a request that was admitted. Used are its tokens as served.
func (l *Limits) Leave(workspace models.Workspace, estimated, used float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Release(workspace, estimated, used)
}

func (l *Limits) leave(e *Exchange, tokens float64) {
	l.Leave(e.Workspace.Name, tokens, float64(e.Usage.Prompt+e.Usage.Output))
}

// tokens returns the tokens that a request is expected to take.
func (l *Limits) tokens(e *Exchange) float64 {
	if e.Generation == nil {
		return 0
	}
	return float64(prefix.Tokens(e.Generation.Prompt) + l.forecaster.Expect(e))
}
