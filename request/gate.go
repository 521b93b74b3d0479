package request

import (
	"context"
	"sync"

	"quincewinch/models"
)

// Gate is the first filter. It admits requests until the daemon drains, and
// tracks those in flight so that Drain can wait for them.
type Gate struct {
	mu      sync.Mutex
	closed  bool
	running map[*context.CancelCauseFunc]struct{}
	drained chan struct{} // closed once the gate is closed and no request is running
}

// NewGate returns an open gate.
func NewGate() *Gate {
	return &Gate{running: map[*context.CancelCauseFunc]struct{}{}, drained: make(chan struct{})}
}

// Filter returns the filter that admits and tracks requests.
func (g *Gate) Filter() Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, e *Exchange) error {
			ctx, cancel := context.WithCancelCause(ctx)
			defer cancel(nil)
			if !g.enter(&cancel) {
				return &models.Refusal{
					Code:       models.RefusalDraining,
					Message:    "this daemon is about to stop",
					NotRun:     neverRun(e),
					RetryAfter: busyRetryAfter,
				}
			}
			defer g.leave(&cancel)
			return next.Handle(ctx, e)
		})
	}
}

// Drain rejects new requests and waits until the running ones have ended. If ctx
// ends first, it cancels those still running and returns ctx's error.
func (g *Gate) Drain(ctx context.Context) error {
	g.close()
	select {
	case <-g.drained:
		return nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for cancel := range g.running {
		(*cancel)(&models.Refusal{Code: models.RefusalDraining, Message: "this daemon stops"})
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
		close(g.drained)
	}
}

func (g *Gate) enter(cancel *context.CancelCauseFunc) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.running[cancel] = struct{}{}
	return true
}

func (g *Gate) leave(cancel *context.CancelCauseFunc) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.running, cancel)
	if g.closed && len(g.running) == 0 {
		close(g.drained)
	}
}
