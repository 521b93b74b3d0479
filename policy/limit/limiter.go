package limit

import (
	"time"

	"quincewinch/models"
)

const (
	// burst is the time whose share of a rate may be used at once.
	burst = time.Second
	// leastRetry is the least time after which a refused caller should retry.
	leastRetry = time.Second
	// longestRetry is the greatest.
	longestRetry = time.Minute
)

// Verdict tells whether a request is within its workspace's limits.
type Verdict struct {
	Admitted   bool
	Limit      string // the one that it would exceed
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

// NewLimiter returns a limiter of a daemon.
func NewLimiter(self models.DaemonID) *Limiter {
	return &Limiter{shares: NewShares(self), usage: map[models.Workspace]*usage{}}
}

// Learn takes in this daemon's counts and the others' latest reports.
func (l *Limiter) Learn(own map[models.Workspace]models.WorkDone, reports []models.PeerReport, now time.Time) {
	l.reports = reports
	l.shares.Learn(own, reports, now)
}

// Admit decides on a request of so many tokens, and counts it if admitted.
func (l *Limiter) Admit(w models.WorkspaceSettings, tokens float64, now time.Time) Verdict {
	u := l.of(w.Name)
	share := l.shares.Share(w.Name, now)
	u.requests.fill(w.RequestsPerSecond*share, 1, now)
	u.tokens.fill(w.TokensPerSecond*share, 1, now)
	switch {
	case w.Concurrent > 0 && !l.room(w, u, now):
		return Verdict{Limit: "requests running at once", RetryAfter: leastRetry}
	case w.RequestsPerSecond > 0 && u.requests.level < 1:
		return Verdict{Limit: "requests a second", RetryAfter: u.requests.until(1)}
	case w.TokensPerSecond > 0 && u.tokens.level <= 0:
		return Verdict{Limit: "tokens a second", RetryAfter: u.tokens.until(1)}
	}
	u.running++
	u.requests.level--
	u.tokens.level -= tokens
	return Verdict{Admitted: true}
}

// room reports whether one more request may run. Where the limit is too low
// for each daemon to have a place, one that has none may take a place that
// seems free by the others' reports.
func (l *Limiter) room(w models.WorkspaceSettings, u *usage, now time.Time) bool {
	places := l.shares.Whole(w.Name, w.Concurrent, now)
	if places > 0 || len(l.reports) == 0 {
		return u.running < places
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

// Leave ends a request that was admitted, and corrects its tokens.
func (l *Limiter) Leave(workspace models.Workspace, estimated, used float64) {
	u := l.of(workspace)
	u.running--
	u.tokens.level += estimated - used
}

func (l *Limiter) of(workspace models.Workspace) *usage {
	u, ok := l.usage[workspace]
	if !ok {
		u = &usage{}
		l.usage[workspace] = u
	}
	return u
}

// bucket fills at a rate a second up to its burst.
type bucket struct {
	level float64
	rate  float64
	at    time.Time
}

func (b *bucket) fill(rate, least float64, now time.Time) {
	most := max(rate*burst.Seconds(), least)
	if b.at.IsZero() {
		b.level = most
	}
	passed := max(now.Sub(b.at), 0)
	if !b.at.IsZero() {
		b.level = min(b.level+rate*passed.Seconds(), most)
	}
	b.rate = rate
	b.at = now
}

// until returns when the bucket will have reached a level.
func (b *bucket) until(level float64) time.Duration {
	if b.rate <= 0 {
		return longestRetry
	}
	seconds := min((level-b.level)/b.rate, longestRetry.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), leastRetry)
}
