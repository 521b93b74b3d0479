// Package routing keeps the state that requests are routed by: the operators'
// configuration and the registered backend servers. Both are followed in the
// platform's table store.
package routing

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/peer"
)

const (
	// initialBackoff is the pause after the first failed call to the store; it
	// doubles with each further failure.
	initialBackoff = 200 * time.Millisecond
	// maxBackoff bounds the pause. After an outage, calls must resume well within
	// the time in which a change has to be in force; a shorter pause would cost
	// more, as each call is paid for.
	maxBackoff = 800 * time.Millisecond
)

// Configuration follows the operators' configuration. It never returns to an
// older version.
type Configuration struct {
	source  peer.RoutingSource
	clock   peer.Clock
	logger  *zap.Logger
	wait    time.Duration
	current atomic.Pointer[models.Routing]
	outage  outageTracker
	through models.Revision // used only by Step
}

// NewConfiguration returns a configuration that has read nothing yet. Each call
// to the source waits up to wait for changes.
func NewConfiguration(source peer.RoutingSource, clock peer.Clock, logger *zap.Logger, wait time.Duration) *Configuration {
	return &Configuration{
		source: source,
		clock:  clock,
		logger: logger,
		wait:   wait,
		outage: outageTracker{name: "configuration", logger: logger, clock: clock},
	}
}

// Routing returns the configuration in force, nil before the first is read.
func (c *Configuration) Routing() *models.Routing {
	return c.current.Load()
}

// Step waits for one change of the configuration and applies it.
func (c *Configuration) Step(ctx context.Context) {
	routing, through, err := c.source.Follow(ctx, c.through, c.outage.limitWait(c.wait))
	if err != nil {
		// Sleep fails only when the process stops.
		_ = c.clock.Sleep(ctx, c.outage.recordFailure(err))
		return
	}
	c.outage.recordSuccess()
	c.through = max(c.through, through)
	c.apply(routing)
	if routing == nil && c.Routing() == nil {
		_ = c.clock.Sleep(ctx, initialBackoff)
	}
}

// apply puts a configuration in force if it is newer.
func (c *Configuration) apply(routing *models.Routing) {
	if routing == nil {
		return
	}
	current := c.Routing()
	if current != nil && routing.Version <= current.Version {
		return
	}
	c.current.Store(routing)
	c.logger.Info("configuration in force",
		zap.Uint64("version", routing.Version),
		zap.Int("routes", len(routing.Routes)),
		zap.Int("services", len(routing.Services)),
		zap.Int("keys", len(routing.Keys)),
	)
}

// outageTracker logs the start and the end of outages of the store, and sets
// the backoff during one.
type outageTracker struct {
	name      string
	logger    *zap.Logger
	clock     peer.Clock
	startedAt time.Time     // of the current outage, zero if there is none
	backoff   time.Duration // after the last failure
	reason    string        // of the last failure
}

// limitWait returns how long the next call may wait. The first call after a failed
// one does not wait, so that its answer shows at once what the store is now.
func (t *outageTracker) limitWait(wait time.Duration) time.Duration {
	if !t.startedAt.IsZero() {
		return 0
	}
	return wait
}

// recordFailure returns the backoff until the next call, and logs the start of
// an outage and each failure of another kind than the one before.
func (t *outageTracker) recordFailure(err error) time.Duration {
	reason := reasonOf(err)
	if !t.startedAt.IsZero() {
		if reason != t.reason {
			t.reason = reason
			t.logger.Warn("store still unreachable", zap.String("for", t.name), zap.Error(err))
		}
		t.backoff = min(t.backoff*2, maxBackoff)
		return t.backoff
	}
	t.reason = reason
	t.backoff = initialBackoff
	t.startedAt = t.clock.Now()
	t.logger.Warn("store unreachable", zap.String("for", t.name), zap.Error(err))
	return t.backoff
}

// reasonOf returns what failed, without what differs from call to call.
func reasonOf(err error) string {
	var failure *peer.Failure
	if errors.As(err, &failure) {
		return failure.Message
	}
	return ""
}

// recordSuccess ends an outage and logs its duration.
func (t *outageTracker) recordSuccess() {
	if t.startedAt.IsZero() {
		return
	}
	t.logger.Info("store reachable again", zap.String("for", t.name), zap.Duration("lost-for", t.clock.Now().Sub(t.startedAt)))
	t.startedAt = time.Time{}
}
