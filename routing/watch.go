// Package routing keeps what requests are passed on by: the operators'
// configuration and the backend servers that there are, both followed in the
// platform's store.
package routing

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/peer"
)

const (
	// initialBackoff is the time between the first two tries while the store cannot
	// be reached; it doubles with each further one.
	initialBackoff = 200 * time.Millisecond
	// maxBackoff bounds it: a watch must be back well within the time in
	// which a change has to be in force, and each call is paid for.
	maxBackoff = 800 * time.Millisecond
)

// Configuration follows the operators' configuration. It never goes back to an
// older version.
type Configuration struct {
	source  peer.RoutingSource
	clock   peer.Clock
	logger  *zap.Logger
	wait    time.Duration
	current atomic.Pointer[models.Routing]
	outage  outageTracker
	through models.Revision // used by Step alone
}

// NewConfiguration returns a follower that has read nothing yet. Each call of
// the source waits up to wait for news.
func NewConfiguration(source peer.RoutingSource, clock peer.Clock, logger *zap.Logger, wait time.Duration) *Configuration {
	return &Configuration{
		source: source,
		clock:  clock,
		logger: logger,
		wait:   wait,
		outage: outageTracker{name: "configuration", logger: logger, clock: clock},
	}
}

// Routing returns the configuration in force, nil before the first one.
func (c *Configuration) Routing() *models.Routing {
	return c.current.Load()
}

// Step waits for one piece of news.
func (c *Configuration) Step(ctx context.Context) {
	routing, through, err := c.source.Follow(ctx, c.through, c.wait)
	if err != nil {
		// Ends early only when the process stops.
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

// outageTracker logs when a dependency is lost and when it is back.
type outageTracker struct {
	name    string
	logger  *zap.Logger
	clock   peer.Clock
	lostAt  time.Time
	backoff time.Duration // after the latest failure
}

// recordFailure notes a failure and returns the pause until the next try.
func (l *outageTracker) recordFailure(err error) time.Duration {
	if !l.lostAt.IsZero() {
		l.backoff = min(l.backoff*2, maxBackoff)
		return l.backoff
	}
	l.backoff = initialBackoff
	l.lostAt = l.clock.Now()
	l.logger.Warn("store lost", zap.String("for", l.name), zap.Error(err))
	return l.backoff
}

func (l *outageTracker) recordSuccess() {
	if l.lostAt.IsZero() {
		return
	}
	l.logger.Info("store regained", zap.String("for", l.name), zap.Duration("lost-for", l.clock.Now().Sub(l.lostAt)))
	l.lostAt = time.Time{}
}
