package limit

import (
	"time"

	"quincewinch/models"
)

const (
	// burstWindow sets the burst: what a rate allows in this time may be used
	// at once.
	burstWindow = time.Second
	// minRetryAfter is the shortest Retry-After for a rejected request.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest Retry-After for a rejected request.
	maxRetryAfter = time.Minute
)

// Decision is whether a request is within its workspace's limits.
type Decision struct {
	Admitted   bool
	Limit      string // the one that the request would exceed
	RetryAfter time.Duration
}

// Limiter admits requests within this daemon's shares of the limits.
type Limiter struct {
	shares  *Shares
	usage   map[models.Workspace]*usage
	reports []models.PeerReport
}

type usage struct {
	requests bucket
	tokens   bucket
	running  int
}

// NewLimiter returns the limiter of a daemon.
func NewLimiter(self models.DaemonID) *Limiter {
	return &Limiter{shares: NewShares(self), usage: map[models.Workspace]*usage{}}
}

// Update updates the shares from this daemon's counts and the others' latest
// reports.
func (l *Limiter) Update(own map[models.Workspace]models.WorkDone, reports []models.PeerReport, now time.Time) {
	l.reports = reports
	l.shares.Update(own, reports, now)
}

// Admit decides on a request with the given estimate of tokens, and counts it
// if admitted.
func (l *Limiter) Admit(w models.WorkspaceSettings, tokens float64, now time.Time) Decision {
	u := l.usageOf(w.Name)
	share := l.shares.Share(w.Name, now)
	u.requests.refill(w.RequestsPerSecond*share, burst(w.RequestsPerSecond*share), now)
	u.tokens.refill(w.TokensPerSecond*share, burst(w.TokensPerSecond*share), now)
	switch {
	case w.Concurrent > 0 && !l.hasRoom(w, u, now):
		return Decision{Limit: "requests running at once", RetryAfter: minRetryAfter}
	case w.RequestsPerSecond > 0 && u.requests.level < 1:
		return Decision{Limit: "requests a second", RetryAfter: u.requests.timeUntil(1)}
	case w.TokensPerSecond > 0 && u.tokens.level <= 0:
		return Decision{Limit: "tokens a second", RetryAfter: u.tokens.timeUntil(1)}
	}
	u.running++
	u.requests.level--
	u.tokens.level -= tokens
	return Decision{Admitted: true}
}

// hasRoom reports whether one more request may run. If the limit is too low for
// this daemon to have a slot of its own, it may run one request while the
// others' reports show the limit not reached.
func (l *Limiter) hasRoom(w models.WorkspaceSettings, u *usage, now time.Time) bool {
	slots := l.shares.IntShare(w.Name, w.Concurrent, now)
	if slots > 0 || len(l.reports) == 0 {
		return u.running < slots
	}
	if u.running > 0 {
		return false
	}
	elsewhere := 0
	for _, report := range l.reports {
		work := report.Report.Work[w.Name]
		elsewhere += work.Running + work.Waiting
	}
	return elsewhere < w.Concurrent
}

// Release ends an admitted request, and replaces its estimated tokens by those
// used.
func (l *Limiter) Release(workspace models.Workspace, estimated, used float64) {
	u := l.usageOf(workspace)
	u.running--
	u.tokens.level += estimated - used
}

func (l *Limiter) usageOf(workspace models.Workspace) *usage {
	u, ok := l.usage[workspace]
	if !ok {
		u = &usage{}
		l.usage[workspace] = u
	}
	return u
}

// burst returns what a rate per second allows at once.
func burst(rate float64) float64 {
	return max(rate*burstWindow.Seconds(), 1)
}

// bucket is a token bucket. It fills at a rate per second up to a capacity.
type bucket struct {
	level     float64
	rate      float64
	updatedAt time.Time
}

// refill advances the bucket to a time. A new one is full.
func (b *bucket) refill(rate, capacity float64, now time.Time) {
	if b.updatedAt.IsZero() {
		b.level = capacity
	}
	elapsed := max(now.Sub(b.updatedAt), 0)
	if !b.updatedAt.IsZero() {
		b.level = min(b.level+rate*elapsed.Seconds(), capacity)
	}
	b.rate = rate
	b.updatedAt = now
}

// timeUntil returns the time until the bucket reaches a level, between
// minRetryAfter and maxRetryAfter.
func (b *bucket) timeUntil(level float64) time.Duration {
	if b.rate <= 0 {
		return maxRetryAfter
	}
	seconds := min((level-b.level)/b.rate, maxRetryAfter.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
}
