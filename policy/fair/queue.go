package fair

import (
	"cmp"
	"math"
	"slices"
	"time"

	"quincewinch/models"
)

const (
	// FirstTokenTarget is the target for the time from receipt of a request to
	// its first token.
	FirstTokenTarget = 1200 * time.Millisecond
	// startMargin is the safety margin between the latest start of a request
	// and the start that the predicted prefill time alone would allow.
	startMargin = 100 * time.Millisecond
	// baseEngineWait is the longest predicted wait at an engine at which a
	// request of a workspace at the mean level is sent there, in nanoseconds. A
	// request that would wait longer stays in the queue, where it can still be
	// reordered.
	baseEngineWait = float64(250 * time.Millisecond)
	// lowLevelBonus is how much longer a request of a workspace without recent
	// work may wait at an engine, as a share of baseEngineWait.
	lowLevelBonus = 1.5
	// minEngineWait is the predicted wait at an engine up to which any
	// workspace's request is sent, however far the workspace is above its share.
	minEngineWait = 10 * time.Millisecond
	// drainDecay is the time constant of the moving average of the drain rate.
	drainDecay = 3 * time.Second
	// minDrainObservation is how much time with waiting tickets has to be
	// observed before the drain rate is used.
	minDrainObservation = 300 * time.Millisecond
	// minRetryAfter is the shortest Retry-After for a rejected request.
	minRetryAfter = time.Second
)

// Ticket is one request that waits to start.
type Ticket struct {
	Workspace models.Workspace
	Weight    float64
	Tokens    float64 // prompt and expected output
	StartBy   time.Time
	Data      any
}

// StartBy returns the latest start at which a request is on time: the first
// token within FirstTokenTarget and the whole answer within the deadline.
func StartBy(received, deadline time.Time, prefill, decode time.Duration) time.Time {
	first := received.Add(FirstTokenTarget - prefill - startMargin)
	whole := deadline.Add(-prefill - decode)
	if whole.Before(first) {
		return whole
	}
	return first
}

// Rejection is a ticket that cannot start in time, and when to retry.
type Rejection struct {
	Ticket     *Ticket
	RetryAfter time.Duration
}

// Queue orders the requests of one model at one daemon.
type Queue struct {
	ledger     *Ledger
	workspaces map[models.Workspace]*workspaceQueue
	drain      drainRate
}

type workspaceQueue struct {
	weight  float64
	tickets []*Ticket
	tokens  float64
}

// NewQueue returns an empty queue that charges work to a ledger.
func NewQueue(ledger *Ledger) *Queue {
	return &Queue{ledger: ledger, workspaces: map[models.Workspace]*workspaceQueue{}}
}

// Push adds a ticket, and removes and returns those that now cannot start in
// time, beginning with the newest ticket of the workspace with the highest
// level. The added ticket may be among them.
func (q *Queue) Push(t *Ticket, now time.Time) []Rejection {
	w, ok := q.workspaces[t.Workspace]
	if !ok {
		w = &workspaceQueue{}
		q.workspaces[t.Workspace] = w
	}
	w.weight = t.Weight
	w.tickets = append(w.tickets, t)
	w.tokens += t.Tokens
	q.drain.start(now)
	return q.shed(now)
}

// Len returns the number of waiting tickets.
func (q *Queue) Len() int {
	count := 0
	for _, w := range q.workspaces {
		count += len(w.tickets)
	}
	return count
}

// Waiting returns the number of waiting tickets of a workspace.
func (q *Queue) Waiting(workspace models.Workspace) int {
	if w, ok := q.workspaces[workspace]; ok {
		return len(w.tickets)
	}
	return 0
}

// Next returns the ticket to start next, nil if none waits. It stays in the
// queue.
func (q *Queue) Next(now time.Time) *Ticket {
	workspace, ok := q.lowest(now)
	if !ok {
		return nil
	}
	return q.workspaces[workspace].tickets[0]
}

// MayStart reports whether a ticket may be sent to an engine with the given
// predicted wait.
func (q *Queue) MayStart(t *Ticket, wait time.Duration, now time.Time) bool {
	level := q.ledger.Level(t.Workspace, t.Weight, now)
	mean, highest := q.ledger.Levels(now)
	return wait <= allowedWait(level, mean, highest)
}

// allowedWait returns the longest acceptable wait at an engine. A workspace
// above the mean level leaves room for the others, at whichever daemon they
// arrive: the higher its level, the shorter the wait allowed. A workspace below
// the mean may wait longer at the engine, where it keeps its place.
func allowedWait(level, mean, highest float64) time.Duration {
	if level <= mean {
		return time.Duration(baseEngineWait * (1 + lowLevelBonus*(1-level/max(mean, 1))))
	}
	minPart := mean / highest * mean / highest
	part := (level - mean) / (highest - mean)
	return max(time.Duration(baseEngineWait*(1-part*(1-minPart))), minEngineWait)
}

// Start removes a ticket that is about to be sent to an engine from the queue,
// and charges its workspace.
func (q *Queue) Start(t *Ticket, now time.Time) {
	q.Remove(t, now)
	q.ledger.Charge(t.Workspace, t.Weight, t.Tokens, now)
	q.drain.add(t.Tokens, now)
}

// Remove removes a ticket from the queue.
func (q *Queue) Remove(t *Ticket, now time.Time) {
	w, ok := q.workspaces[t.Workspace]
	if !ok {
		return
	}
	if i := slices.Index(w.tickets, t); i >= 0 {
		w.tickets = slices.Delete(w.tickets, i, i+1)
		w.tokens -= t.Tokens
	}
	if len(w.tickets) == 0 {
		delete(q.workspaces, t.Workspace)
	}
	if len(q.workspaces) == 0 {
		q.drain.stop(now)
	}
}

// Expire removes and returns the tickets whose latest start has passed, and
// those that will not start in time.
func (q *Queue) Expire(now time.Time) []Rejection {
	var refused []Rejection
	for _, workspace := range q.order(now) {
		for _, t := range slices.Clone(q.workspaces[workspace].tickets) {
			if now.After(t.StartBy) {
				refused = append(refused, q.reject(t, now))
			}
		}
	}
	return append(refused, q.shed(now)...)
}

// shed rejects tickets that will not start in time, beginning with the newest
// ticket of the workspace with the highest level.
func (q *Queue) shed(now time.Time) []Rejection {
	var refused []Rejection
	order := q.order(now)
	slices.Reverse(order)
	for _, workspace := range order {
		for w := q.workspaces[workspace]; w != nil && len(w.tickets) > 0; w = q.workspaces[workspace] {
			last := w.tickets[len(w.tickets)-1]
			if wait, known := q.wait(workspace, now); !known || !now.Add(wait).After(last.StartBy) {
				break
			}
			refused = append(refused, q.reject(last, now))
		}
	}
	return refused
}

func (q *Queue) reject(t *Ticket, now time.Time) Rejection {
	wait, _ := q.wait(t.Workspace, now)
	q.Remove(t, now)
	return Rejection{Ticket: t, RetryAfter: max(wait, minRetryAfter)}
}

// wait predicts the time until the last ticket of a workspace starts: after the
// workspace's earlier tickets, and after the tickets of other workspaces that
// come first by level. It reports false while the drain rate is unknown.
func (q *Queue) wait(workspace models.Workspace, now time.Time) (time.Duration, bool) {
	perSecond, known := q.drain.perSecond(now)
	if !known {
		return 0, false
	}
	own := q.workspaces[workspace]
	last := own.tickets[len(own.tickets)-1].Tokens
	ahead := own.tokens - last
	level := q.ledger.Level(workspace, own.weight, now) + ahead/max(own.weight, minWeight)
	for name, other := range q.workspaces {
		if name == workspace {
			continue
		}
		before := (level - q.ledger.Level(name, other.weight, now)) * max(other.weight, minWeight)
		ahead += min(max(before, 0), other.tokens)
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

// order returns the waiting workspaces, lowest level first.
func (q *Queue) order(now time.Time) []models.Workspace {
	type entry struct {
		workspace models.Workspace
		level     float64
	}
	entries := make([]entry, 0, len(q.workspaces))
	for workspace, w := range q.workspaces {
		entries = append(entries, entry{workspace, q.ledger.Level(workspace, w.weight, now)})
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

// drainRate is the moving average of the tokens started per second while
// tickets wait.
type drainRate struct {
	busySince   time.Time // zero: no ticket waits
	updatedAt   time.Time
	busySeconds float64 // time with tickets waiting, decaying
	tokens      float64 // decaying
}

func (r *drainRate) start(now time.Time) {
	if r.busySince.IsZero() {
		r.busySince = now
		r.updatedAt = now
	}
}

func (r *drainRate) stop(now time.Time) {
	r.decay(now)
	r.busySince = time.Time{}
}

func (r *drainRate) add(tokens float64, now time.Time) {
	r.decay(now)
	r.tokens += tokens
}

func (r *drainRate) decay(now time.Time) {
	if r.busySince.IsZero() {
		return
	}
	elapsed := max(now.Sub(r.updatedAt), 0).Seconds()
	factor := math.Exp(-elapsed / drainDecay.Seconds())
	r.tokens *= factor
	r.busySeconds = r.busySeconds*factor + elapsed
	r.updatedAt = now
}

// perSecond returns the rate, and reports false while too little has been
// observed.
func (r *drainRate) perSecond(now time.Time) (float64, bool) {
	r.decay(now)
	if r.busySeconds < minDrainObservation.Seconds() || r.tokens < 1 {
		return 0, false
	}
	return r.tokens / r.busySeconds, true
}
