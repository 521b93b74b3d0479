package request

import (
	"context"
	"sync"

	"quincewinch/models"
)

// Gate is the first filter: it lets requests in until the daemon is about to
// stop, and waits for those that run.
type Gate struct {
	mu      sync.Mutex
	closed  bool
	running map[*context.CancelCauseFunc]struct{}
	empty   chan struct{} // closed once the gate is closed and nothing runs
}

// NewGate returns an open gate.
func NewGate() *Gate {
	return &Gate{running: map[*context.CancelCauseFunc]struct{}{}, empty: make(chan struct{})}
}

// Filter returns the filter.
func (g *Gate) Filter() Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, e *Exchange) error {
			ctx, cut := context.WithCancelCause(ctx)
			defer cut(nil)
			if !g.enter(&cut) {
				return &models.Refusal{
					Code:       models.RefusalDraining,
					Message:    "this daemon is about to stop",
					NotRun:     neverRun(e),
					RetryAfter: busyRetryAfter,
				}
			}
			defer g.leave(&cut)
			return next.Handle(ctx, e)
		})
	}
}

// Drain refuses new requests and waits until the running ones have ended. It
// ends those that still run when ctx ends, and returns ctx's error then.
func (g *Gate) Drain(ctx context.Context) error {
	g.close()
	select {
	case <-g.empty:
		return nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for cut := range g.running {
		(*cut)(&models.Refusal{Code: models.RefusalDraining, Message: "this daemon stops"})
	}
	return ctx.Err()
}

func (g *Gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	if len(g.running) == 0 {
		close(g.empty)
	}
}

func (g *Gate) enter(cut *context.CancelCauseFunc) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.running[cut] = struct{}{}
	return true
}

func (g *Gate) leave(cut *context.CancelCauseFunc) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.running, cut)
	if g.closed && len(g.running) == 0 {
		close(g.empty)
	}
}
