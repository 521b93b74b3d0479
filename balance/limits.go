package balance

import (
	"math"
	"time"

	"quincewinch/models"
	"quincewinch/policy/serverlimit"
	"quincewinch/relay"
)

const (
	// claimTime is how long the room that a request has taken at its placement is kept
	// for it if others take room as well.
	claimTime = 500 * time.Millisecond
	// liftRetention is how long it is remembered that a limit has ended.
	liftRetention = time.Minute
	// minLimitRetryAfter and maxLimitRetryAfter bound the Retry-After of a refusal
	// because of limits.
	minLimitRetryAfter = 250 * time.Millisecond
	maxLimitRetryAfter = 2 * time.Second
)

// statementOrigin is where what is known of a server's limit comes from.
type statementOrigin int

const (
	originAnswer statementOrigin = iota // an answer to this daemon
	originZone                          // another daemon of this zone
	originRemote                        // another zone
)

// serverLimit is the limit of a server, and this daemon's part in it.
type serverLimit struct {
	serverlimit.Limiter
	origin statementOrigin
	rank   int    // of this daemon among those of its zone
	ranked uint64 // zoneVersion of the rank; 0: none
}

// limited reports whether the server states a limit, as far as is known.
func (s *serverState) limited() bool {
	return s.limit != nil && !s.limit.lifted()
}

func (l *serverLimit) lifted() bool {
	return math.IsInf(l.Statement().Rate, 1)
}

// stateLimit applies what an answer states of its server's limit. The caller must hold
// b.mu.
func (b *Balancer) stateLimit(s *serverState, limit models.StatedLimit, sentAt, now time.Time) {
	if limit.Unreadable || !limit.Named && s.limit == nil {
		return
	}
	statement := serverlimit.Statement{Rate: serverlimit.Unlimited(), SentAt: sentAt, At: now}
	if limit.Named {
		statement.Rate = limit.PerSecond
	}
	b.observeLimit(s, statement, originAnswer)
}

// observeLimit takes over a statement on the limit of a server if it is news. The
// caller must hold b.mu.
func (b *Balancer) observeLimit(s *serverState, statement serverlimit.Statement, origin statementOrigin) {
	if s.limit == nil {
		s.limit = &serverLimit{Limiter: serverlimit.NewLimiter(s.upstream.ID, b.settings.Self)}
	}
	before := s.limit.Statement().Rate
	if !s.limit.Observe(statement) {
		return
	}
	s.limit.origin = origin
	b.changed = b.changed || before != statement.Rate
}

// nextRoom returns when a server has room for a request of this daemon: zero if it
// has no limit. The caller must hold b.mu.
func (b *Balancer) nextRoom(s *serverState, now time.Time) time.Time {
	if !s.limited() {
		return time.Time{}
	}
	if s.limit.ranked != b.zoneVersion {
		s.limit.rank = serverlimit.Rank(s.upstream.ID, b.settings.Self, b.zoneMembers())
		s.limit.ranked = b.zoneVersion
	}
	inTouch := 1 + b.zonePeers
	share := float64(inTouch) / float64(max(b.daemons, inTouch))
	return s.limit.Next(now, serverlimit.Group{Share: share, Daemons: inTouch, Rank: s.limit.rank})
}

// zoneMembers returns the other daemons of this zone that are in touch. The caller
// must hold b.mu.
func (b *Balancer) zoneMembers() []models.DaemonID {
	var members []models.DaemonID
	for from, r := range b.loadShares {
		if b.isZonePeer(r.share) {
			members = append(members, from)
		}
	}
	return members
}

// isZonePeer reports whether a load share is that of a daemon of this zone.
func (b *Balancer) isZonePeer(share models.LoadShare) bool {
	return share.Zone == b.settings.Zone && !IsZoneSum(share.From)
}

// countZonePeers notes that daemons of this zone came in touch or were lost. The
// caller must hold b.mu.
func (b *Balancer) countZonePeers(change int) {
	b.zonePeers += change
	b.zoneVersion++
}

// takeRoom uses the room that a server has for a request of this daemon. The caller
// must hold b.mu.
func (s *serverState) takeRoom(now time.Time) {
	if s.limit != nil {
		s.limit.Sent(now)
	}
}

// TakesRequest implements relay.Placement. The room that was taken at placement is
// still there if no other request has taken any since.
func (p *placement) TakesRequest() bool {
	b := p.balancer
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(p.target.restUntil) {
		return false
	}
	room := b.nextRoom(p.target, now)
	if room.IsZero() {
		return true
	}
	reserved := p.tookRoom && p.target.limit.LastSent().Equal(p.placedAt)
	if reserved || !room.After(now) {
		p.target.takeRoom(now)
		return true
	}
	return p.tookRoom && now.Sub(p.placedAt) < claimTime
}

// limitRefusal is the refusal of a request because all servers that are left have
// reached their limits or rest. Room is the earliest time at which one of them may get a
// request of this daemon; others may have room before.
func limitRefusal(room, now time.Time) *models.Refusal {
	return &models.Refusal{
		Code:       models.RefusalOverload,
		Message:    "each backend server that is left has reached the limit that it states or wants no requests for some time",
		NotRun:     true,
		RetryAfter: min(max(room.Sub(now), minLimitRetryAfter), maxLimitRetryAfter),
	}
}

// Limited returns the number of backend servers that state a limit.
func (b *Balancer) Limited() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	limited := 0
	for _, s := range b.states {
		if s.limited() {
			limited++
		}
	}
	return limited
}

// limitReports returns what is known of limits from some origin or a nearer one. The
// caller must hold b.mu.
func (b *Balancer) limitReports(farthest statementOrigin, now time.Time) []models.LimitReport {
	var reports []models.LimitReport
	for id, s := range b.states {
		if s.limit == nil || s.limit.origin > farthest {
			continue
		}
		statement := s.limit.Statement()
		report := models.LimitReport{Server: id, Started: s.upstream.Started, SentAge: now.Sub(statement.SentAt), Age: now.Sub(statement.At)}
		if s.limit.lifted() {
			report.Lifted = true
		} else {
			report.PerSecond = statement.Rate
		}
		reports = append(reports, report)
	}
	return reports
}

// receiveLimits takes over what another daemon, or another zone, knows of limits. The
// caller must hold b.mu.
func (b *Balancer) receiveLimits(share models.LoadShare, now time.Time) {
	snapshot := b.fleet.Snapshot()
	if snapshot == nil {
		return
	}
	origin := originRemote
	if b.isZonePeer(share) {
		origin = originZone
	}
	for _, report := range share.Limits {
		upstream, ok := snapshot.ByID[report.Server]
		if !ok || !upstream.Started.Equal(report.Started) {
			continue
		}
		s := b.stateOf(upstream)
		if report.Lifted && s.limit == nil {
			continue
		}
		statement := serverlimit.Statement{Rate: report.PerSecond, SentAt: now.Add(-report.SentAge), At: now.Add(-report.Age)}
		if report.Lifted {
			statement.Rate = serverlimit.Unlimited()
		}
		b.observeLimit(s, statement, origin)
	}
}

// agedLimits returns limit reports as of some time later.
func agedLimits(reports []models.LimitReport, by time.Duration) []models.LimitReport {
	aged := make([]models.LimitReport, 0, len(reports))
	for _, report := range reports {
		report.SentAge += by
		report.Age += by
		aged = append(aged, report)
	}
	return aged
}

// forgetLifted forgets limits that have ended long ago. The caller must hold b.mu.
func (s *serverState) forgetLifted(now time.Time) {
	if s.limit != nil && s.limit.lifted() && now.Sub(s.limit.Statement().At) >= liftRetention {
		s.limit = nil
	}
}

var _ relay.Placement = (*placement)(nil)
