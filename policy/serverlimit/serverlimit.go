// Package serverlimit divides the limit that a backend server states among the
// daemons: the requests a second that it takes from all of them together. Each
// daemon decides by itself, from what it knows of the limit and of the other daemons;
// daemons that are cut off from each other still stay within the limit together.
package serverlimit

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"quincewinch/models"
)

const (
	// minRate is the rate, in requests per second, at which a server with a lower
	// limit is asked all the same: only an answer shows that the limit has ended.
	minRate = 0.1
	// confirmTime is the time after which a limit that no answer has confirmed may be
	// outdated. The daemons then send requests by turns.
	confirmTime = 30 * time.Second
	// minPhase is the smallest share of the time between two requests that a daemon
	// waits before its first: another may have sent one just before.
	minPhase = 0.5
)

// Unlimited returns the rate of a server that states no limit.
func Unlimited() float64 {
	return math.Inf(1)
}

// Statement is what an answer said of the limit of its server.
type Statement struct {
	Rate   float64   // in requests per second
	SentAt time.Time // of the request that was answered
	At     time.Time // of the answer's arrival
}

// Supersedes reports whether a statement is to be believed rather than the one that
// is known. Answers may overtake each other: one that raises or lifts the limit counts
// only if its request was sent after the limit was known.
func (s Statement) Supersedes(known Statement) bool {
	if s.Rate > known.Rate {
		return !s.SentAt.Before(known.At)
	}
	return s.At.After(known.At)
}

// Group is a daemon's view of the daemons of its zone that are in touch with it.
type Group struct {
	Share   float64 // of all daemons, and so of each limit
	Daemons int     // this one included
	Rank    int     // of this one at the server, from 0
}

// Rank returns the rank of a daemon among others at a server: how many of them come
// before it. All daemons with the same view agree on the order.
func Rank(server models.EngineID, self models.DaemonID, others []models.DaemonID) int {
	own, rank := weight(server, self), 0
	for _, other := range others {
		if weight(server, other) > own {
			rank++
		}
	}
	return rank
}

func weight(server models.EngineID, daemon models.DaemonID) uint64 {
	return xxhash.Sum64String(string(server) + "\x00" + string(daemon))
}

// Limiter tells when a daemon may send requests to one server.
type Limiter struct {
	statement Statement
	phase     float64   // share of the interval that the daemon waits before it begins to send
	namedAt   time.Time // when the limit was named, or confirmed after a long time; zero once the daemon is not to send
	sends     bool      // the daemon is one of those that send
	since     time.Time
	sentAt    time.Time
}

// NewLimiter returns a limiter of a daemon for a server that has stated no limit.
func NewLimiter(server models.EngineID, self models.DaemonID) Limiter {
	drawn := float64(weight(server, self)) / math.MaxUint64
	return Limiter{statement: Statement{Rate: Unlimited()}, phase: minPhase + (1-minPhase)*drawn}
}

// Statement returns the statement that is believed.
func (l *Limiter) Statement() Statement {
	return l.statement
}

// Observe takes over a statement unless it is outdated, and reports whether it has. A
// daemon does not send at once after a limit was named, or confirmed after a long time:
// another may have sent just before.
func (l *Limiter) Observe(s Statement) bool {
	known := l.statement
	if !s.Supersedes(known) {
		return false
	}
	if math.IsInf(known.Rate, 1) || s.At.Sub(known.At) >= confirmTime {
		l.sends = false
		l.namedAt = s.At
	}
	l.statement = s
	return true
}

// Next returns the earliest time at which the daemon may send a request, as far as is
// known now. A time that is not in the future means that it may.
func (l *Limiter) Next(now time.Time, group Group) time.Time {
	if math.IsInf(l.statement.Rate, 1) {
		return time.Time{}
	}
	rate := max(l.statement.Rate, minRate) * group.Share
	if unconfirmed := now.Sub(l.statement.At) - confirmTime; unconfirmed >= 0 {
		l.sends = false
		return l.nextTurn(now.Add(-unconfirmed), unconfirmed, rate, group)
	}
	// If all of them send at once, that is one request for each whole request of the rate
	// and one more.
	senders := min(group.Daemons, 1+int(rate))
	if group.Rank >= senders {
		l.sends = false
		l.namedAt = time.Time{}
		return l.statement.At.Add(confirmTime)
	}
	if !l.sends {
		l.sends = true
		l.since = now
		if !l.namedAt.IsZero() {
			l.since = l.namedAt
		}
	}
	interval := seconds(float64(senders) / rate)
	return later(l.since.Add(time.Duration(l.phase*float64(interval))), l.sentAt.Add(interval))
}

// nextTurn returns the begin of the next turn of the daemon that it has not used. The
// daemons of a group take turns of 1/rate each from a time on.
func (l *Limiter) nextTurn(from time.Time, passed time.Duration, rate float64, group Group) time.Time {
	turn := seconds(1 / rate)
	current := int(passed / turn)
	own := current - current%group.Daemons + group.Rank
	begin := from.Add(time.Duration(own) * turn)
	if own < current || l.sentAt.After(begin) {
		begin = begin.Add(time.Duration(group.Daemons) * turn)
	}
	return begin
}

// Sent notes that the daemon sends a request now.
func (l *Limiter) Sent(now time.Time) {
	l.sentAt = now
}

// LastSent returns when the daemon has sent the last request; zero if it has sent none.
func (l *Limiter) LastSent() time.Time {
	return l.sentAt
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
