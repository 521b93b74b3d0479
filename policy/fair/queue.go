package fair

import (
	"cmp"
	"math"
	"slices"
	"time"

	"quincewinch/models"
)

const (
	// FirstTokenAim is when a request should have its first token.
	FirstTokenAim = 1200 * time.Millisecond
	// margin is kept between the predicted start of a request and the latest
	// one at which it is still on time.
	margin = 100 * time.Millisecond
	// freeWait is the wait at an engine up to which a request is let go. What
	// would wait longer there waits here, where it can still be ordered.
	freeWait = float64(250 * time.Millisecond)
	// lowBonus is how much longer the wait may be of a workspace that has had
	// nothing, as a share of freeWait.
	lowBonus = 1.5
	// leastWait is the wait at an engine up to which any workspace's request
	// is let go, however far it is above its share.
	leastWait = 10 * time.Millisecond
	// drainMemory is the time over which the drain rate forgets.
	drainMemory = 3 * time.Second
	// drainKnown is how long a queue has to be seen before its rate is used.
	drainKnown = 300 * time.Millisecond
	// leastRetry is the least time after which a refused caller should retry.
	leastRetry = time.Second
)

// Ticket is one request that wants to start.
type Ticket struct {
	Workspace models.Workspace
	Weight    float64
	Tokens    float64 // prompt and expected output
	StartBy   time.Time
	Data      any
}

// StartBy returns the latest start at which a request is on time: first token
// within the aim, the whole answer within its deadline.
func StartBy(received, deadline time.Time, prefill, decode time.Duration) time.Time {
	first := received.Add(FirstTokenAim - prefill - margin)
	whole := deadline.Add(-prefill - decode)
	if whole.Before(first) {
		return whole
	}
	return first
}

// Refused is a ticket that cannot start in time, and when to come back.
type Refused struct {
	Ticket     *Ticket
	RetryAfter time.Duration
}

// Queue orders the requests of one model at one daemon.
type Queue struct {
	ledger *Ledger
	lines  map[models.Workspace]*line
	drain  rate
}

type line struct {
	weight  float64
	tickets []*Ticket
	tokens  float64
}

// NewQueue returns an empty queue over a ledger.
func NewQueue(ledger *Ledger) *Queue {
	return &Queue{ledger: ledger, lines: map[models.Workspace]*line{}}
}

// Push takes in a ticket and returns those that now cannot start in time: the
// newest of the workspaces farthest above their shares first. It may be the
// ticket itself.
func (q *Queue) Push(t *Ticket, now time.Time) []Refused {
	l, ok := q.lines[t.Workspace]
	if !ok {
		l = &line{}
		q.lines[t.Workspace] = l
	}
	l.weight = t.Weight
	l.tickets = append(l.tickets, t)
	l.tokens += t.Tokens
	q.drain.begin(now)
	return q.shed(now)
}

// Len returns how many tickets wait.
func (q *Queue) Len() int {
	count := 0
	for _, l := range q.lines {
		count += len(l.tickets)
	}
	return count
}

// Waiting returns how many tickets of a workspace wait.
func (q *Queue) Waiting(workspace models.Workspace) int {
	if l, ok := q.lines[workspace]; ok {
		return len(l.tickets)
	}
	return 0
}

// Next returns the ticket to start, nil if none waits. It stays in the queue.
func (q *Queue) Next(now time.Time) *Ticket {
	workspace, ok := q.lowest(now)
	if !ok {
		return nil
	}
	return q.lines[workspace].tickets[0]
}

// MayStart reports whether a ticket may go to an engine at which it waits as
// long as given.
func (q *Queue) MayStart(t *Ticket, wait time.Duration, now time.Time) bool {
	level := q.ledger.Level(t.Workspace, t.Weight, now)
	mean, highest := q.ledger.Levels(now)
	return wait <= allowedWait(level, mean, highest)
}

// allowedWait returns the longest acceptable wait at an engine. A workspace
// that has had more than the mean leaves room to the others, wherever they
// arrive: the more it has had, the emptier the engine has to be. One that has
// had less may wait longer there, where it keeps its place.
func allowedWait(level, mean, highest float64) time.Duration {
	if level <= mean {
		return time.Duration(freeWait * (1 + lowBonus*(1-level/max(mean, 1))))
	}
	least := mean / highest * mean / highest
	part := (level - mean) / (highest - mean)
	return max(time.Duration(freeWait*(1-part*(1-least))), leastWait)
}

// Start takes a ticket that is about to go to an engine out of the queue, and
// charges its workspace.
func (q *Queue) Start(t *Ticket, now time.Time) {
	q.Remove(t, now)
	q.ledger.Charge(t.Workspace, t.Weight, t.Tokens, now)
	q.drain.add(t.Tokens, now)
}

// Remove takes a ticket out of the queue.
func (q *Queue) Remove(t *Ticket, now time.Time) {
	l, ok := q.lines[t.Workspace]
	if !ok {
		return
	}
	if i := slices.Index(l.tickets, t); i >= 0 {
		l.tickets = slices.Delete(l.tickets, i, i+1)
		l.tokens -= t.Tokens
	}
	if len(l.tickets) == 0 {
		delete(q.lines, t.Workspace)
	}
	if len(q.lines) == 0 {
		q.drain.end(now)
	}
}

// Expire takes out the tickets whose latest start has passed, and those that
// will not start in time.
func (q *Queue) Expire(now time.Time) []Refused {
	var refused []Refused
	for _, workspace := range q.order(now) {
		for _, t := range slices.Clone(q.lines[workspace].tickets) {
			if now.After(t.StartBy) {
				refused = append(refused, q.refuse(t, now))
			}
		}
	}
	return append(refused, q.shed(now)...)
}

// shed refuses what will not start in time, beginning with the workspace with
// the highest level and its newest ticket.
func (q *Queue) shed(now time.Time) []Refused {
	var refused []Refused
	order := q.order(now)
	slices.Reverse(order)
	for _, workspace := range order {
		for l := q.lines[workspace]; l != nil && len(l.tickets) > 0; l = q.lines[workspace] {
			last := l.tickets[len(l.tickets)-1]
			if wait, known := q.wait(workspace, now); !known || !now.Add(wait).After(last.StartBy) {
				break
			}
			refused = append(refused, q.refuse(last, now))
		}
	}
	return refused
}

func (q *Queue) refuse(t *Ticket, now time.Time) Refused {
	wait, _ := q.wait(t.Workspace, now)
	q.Remove(t, now)
	return Refused{Ticket: t, RetryAfter: max(wait, leastRetry)}
}

// wait predicts when the last ticket of a workspace will start: after those
// before it in its line, and after those of each other line that come first
// by their level.
func (q *Queue) wait(workspace models.Workspace, now time.Time) (time.Duration, bool) {
	perSecond, known := q.drain.perSecond(now)
	if !known {
		return 0, false
	}
	l := q.lines[workspace]
	last := l.tickets[len(l.tickets)-1].Tokens
	ahead := l.tokens - last
	reached := q.ledger.Level(workspace, l.weight, now) + ahead/max(l.weight, leastWeight)
	for name, other := range q.lines {
		if name == workspace {
			continue
		}
		room := (reached - q.ledger.Level(name, other.weight, now)) * max(other.weight, leastWeight)
		ahead += min(max(room, 0), other.tokens)
	}
	seconds := min(ahead/max(perSecond, 1), time.Hour.Seconds())
	return time.Duration(seconds * float64(time.Second)), true
}

func (q *Queue) lowest(now time.Time) (models.Workspace, bool) {
	order := q.order(now)
	if len(order) == 0 {
		return "", false
	}
	return order[0], true
}

// order returns the workspaces that wait, lowest level first.
func (q *Queue) order(now time.Time) []models.Workspace {
	type entry struct {
		workspace models.Workspace
		level     float64
	}
	entries := make([]entry, 0, len(q.lines))
	for workspace, l := range q.lines {
		entries = append(entries, entry{workspace, q.ledger.Level(workspace, l.weight, now)})
	}
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.workspace, b.workspace))
	})
	order := make([]models.Workspace, len(entries))
	for i, e := range entries {
		order[i] = e.workspace
	}
	return order
}

// rate is the rate at which tokens start while others wait.
type rate struct {
	busySince time.Time // zero: nobody waits
	at        time.Time
	busy      float64 // seconds, fading
	tokens    float64 // fading
}

func (r *rate) begin(now time.Time) {
	if r.busySince.IsZero() {
		r.busySince = now
		r.at = now
	}
}

func (r *rate) end(now time.Time) {
	r.fade(now)
	r.busySince = time.Time{}
}

func (r *rate) add(tokens float64, now time.Time) {
	r.fade(now)
	r.tokens += tokens
}

func (r *rate) fade(now time.Time) {
	if r.busySince.IsZero() {
		return
	}
	passed := max(now.Sub(r.at), 0).Seconds()
	kept := math.Exp(-passed / drainMemory.Seconds())
	r.tokens *= kept
	r.busy = r.busy*kept + passed
	r.at = now
}

// perSecond returns the rate, false while too little has been seen.
func (r *rate) perSecond(now time.Time) (float64, bool) {
	r.fade(now)
	if r.busy < drainKnown.Seconds() || r.tokens < 1 {
		return 0, false
	}
	return r.tokens / r.busy, true
}
