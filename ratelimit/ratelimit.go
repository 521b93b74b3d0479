// Package ratelimit keeps workspaces within the limits on what backend servers run for
// them, over all daemons together.
package ratelimit

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/policy/limit"
	"quincewinch/relay"
)

const (
	namespace = "quincewinch"
	subsystem = "limits"
	// Interval is the time between two steps of Limits.
	Interval = 250 * time.Millisecond
	// calmPeriod is how long after its last refusal a workspace counts as limited.
	calmPeriod = 5 * time.Second
)

// View provides what the limits depend on.
type View interface {
	// Group returns the daemons that share the limits.
	Group() limit.Group
	// Routing returns the configuration in force; nil before the first is read.
	Routing() *models.Routing
}

// Limits admits the requests of workspaces within their limits. It is safe for
// concurrent use.
type Limits struct {
	view     View
	clock    peer.Clock
	logger   *zap.Logger
	admitted *prometheus.CounterVec
	refused  *prometheus.CounterVec

	mu      sync.Mutex
	joint   *limit.Joint
	version uint64 // of the configuration whose limits are in force
	limited map[models.Workspace]*limitedPeriod
}

// limitedPeriod is a time in which requests of a workspace were refused.
type limitedPeriod struct {
	limit             models.RateLimit
	logged            bool
	since, lastRefuse time.Time
	refused           int // requests
}

// New returns limits that daemons share, and registers their metrics.
func New(view View, settings limit.JointSettings, registry prometheus.Registerer, clock peer.Clock, logger *zap.Logger) *Limits {
	l := &Limits{
		view:   view,
		clock:  clock,
		logger: logger,
		admitted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "admitted_total",
			Help: "What this daemon has admitted within the limits of workspaces, in the limit's unit, before what no backend server ran is returned.",
		}, []string{"workspace"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "refused_total",
			Help: "What this daemon has refused beyond the limits of workspaces, in the limit's unit.",
		}, []string{"workspace"}),
		joint:   limit.NewJoint(settings, clock.Now()),
		limited: map[models.Workspace]*limitedPeriod{},
	}
	registry.MustRegister(l.admitted, l.refused)
	return l
}

// Filter returns a filter that refuses requests beyond the limits of their workspaces.
func (l *Limits) Filter() relay.Filter {
	return func(next relay.Handler) relay.Handler {
		return relay.HandlerFunc(func(ctx context.Context, e *relay.Exchange) error {
			if e.Workspace == "" {
				return next.Handle(ctx, e)
			}
			amount, limited, refusal := l.admit(e)
			if refusal != nil {
				return refusal
			}
			if !limited {
				return next.Handle(ctx, e)
			}
			e.BeforeRepeat = func() { l.charge(e.Workspace, amount) }
			err := next.Handle(ctx, e)
			if e.Runs == 0 {
				l.charge(e.Workspace, -amount)
			}
			return err
		})
	}
}

// refresh takes over the limits of a configuration if it is newer. The caller must hold
// l.mu.
func (l *Limits) refresh(routing *models.Routing, now time.Time) {
	if routing != nil && routing.Version > l.version {
		l.version = routing.Version
		l.joint.SetLimits(routing.RateLimits, now)
	}
}

// admit returns what a request counts, whether its workspace has a limit, and its
// refusal, nil if it is admitted.
func (l *Limits) admit(e *relay.Exchange) (amount float64, limited bool, refusal *models.Refusal) {
	now := l.clock.Now()
	workspace := e.Workspace
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(e.Routing, now)
	rate, limited := l.joint.Limit(workspace)
	if !limited {
		return 0, false, nil
	}
	amount = rate.Amount(e.Prompt)
	decision := l.joint.Admit(workspace, amount, now)
	if decision.Admitted {
		l.admitted.WithLabelValues(string(workspace)).Add(amount)
		return amount, true, nil
	}
	l.refused.WithLabelValues(string(workspace)).Add(amount)
	period, ok := l.limited[workspace]
	if !ok {
		period = &limitedPeriod{since: now}
		l.limited[workspace] = period
	}
	period.limit = rate
	period.lastRefuse = now
	period.refused++
	return amount, true, &models.Refusal{
		Code:       models.RefusalRateLimit,
		Message:    "the workspace's limit on " + decision.Limit + " is reached",
		NotRun:     true,
		RetryAfter: decision.RetryAfter.Round(time.Millisecond),
	}
}

// charge counts an amount without asking; a negative one is returned.
func (l *Limits) charge(workspace models.Workspace, amount float64) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.joint.Charge(workspace, amount, now)
	if amount > 0 {
		l.admitted.WithLabelValues(string(workspace)).Add(amount)
	}
}

// Report implements balance.LimitUses.
func (l *Limits) Report(zone bool) map[models.Workspace]models.LimitUse {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.joint.Report(zone, now)
}

// Learn implements balance.LimitUses.
func (l *Limits) Learn(from models.DaemonID, uses map[models.Workspace]models.LimitUse) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.joint.Learn(from, uses, now)
}

// Leave implements balance.LimitUses.
func (l *Limits) Leave(from models.DaemonID) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.joint.Leave(from, now)
}

// Urgent reports whether the other daemons need to hear soon of what is used.
func (l *Limits) Urgent() bool {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.joint.Pressed(now)
}

// Step implements control.Task. It takes over which daemons there are, and logs which
// workspaces have come to be limited and which no longer are.
func (l *Limits) Step(context.Context) {
	group, routing, now := l.view.Group(), l.view.Routing(), l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(routing, now)
	l.joint.SetGroup(group, now)
	l.joint.Prune(now)
	for _, workspace := range slices.Sorted(maps.Keys(l.limited)) {
		period := l.limited[workspace]
		if !period.logged {
			period.logged = true
			l.log("workspace limited", workspace, period, now)
		}
		if now.Sub(period.lastRefuse) >= calmPeriod {
			l.log("workspace no longer limited", workspace, period, now)
			delete(l.limited, workspace)
		}
	}
}

func (l *Limits) log(message string, workspace models.Workspace, period *limitedPeriod, now time.Time) {
	l.logger.Info(message,
		zap.String("workspace", string(workspace)),
		zap.Float64("per-second", period.limit.PerSecond),
		zap.Float64("burst", period.limit.Burst),
		zap.Bool("tokens", period.limit.Tokens),
		zap.Float64("part", l.joint.Part(workspace, now)),
		zap.Int("refused", period.refused),
		zap.Duration("for", period.lastRefuse.Sub(period.since)),
	)
}
