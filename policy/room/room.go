// Package room decides which requests for model engines are sent while there is more
// work than the engines can do in time. It is made for kinds of request of several
// ranks and workspaces of very unequal size, for bursts of one kind that last seconds,
// for engines that are taken away at once and for callers that come back after a
// refusal. Many daemons apply it, each to a small part of the load, with loads of the
// others that are some hundred milliseconds old.
package room

import (
	"math"
	"time"

	"quincewinch/models"
)

const (
	// evenChance is the probability of being in time from which a request of a
	// workspace with its share is sent: below it, it is likelier late than not.
	evenChance = 0.5
	// lowChance is the same of a workspace that had nothing lately, and idleChance that
	// of a request for which an engine seems to be free.
	lowChance  = 0.35
	idleChance = 0.25
	// leaveChance is the probability that the caller of a late request still waits for
	// its first token, from which the request is sent.
	leaveChance = 0.75
	// aboveShare is the level of a workspace, relative to the mean, from which it has had
	// more than its share: below it, single large requests make the difference.
	aboveShare = 2
	// highChance is the same of a kind of request that is served more often than a
	// more urgent one.
	highChance = 0.9
	// shortWait is the wait, in latency targets, up to which an engine seems to be free.
	shortWait = 0.15
	// waitShare is how long a request may wait that is late in any case, by its own size
	// or because its caller was refused before: in latency targets or in times that it
	// needs itself, whichever is longer.
	waitShare = 0.5
	// minServed is the share of the requests of a route that are served, relative to
	// that of all, below which they are sent if their callers still wait.
	minServed = 0.6
	// maxAhead is by how much a route may be served more often than a more urgent one.
	maxAhead = 0.02
	// minEnded is the number of requests from which the served share of a route counts.
	minEnded = 8
	// leaveTargets is the time that callers wait for a first token, in latency
	// targets, and minLeave its minimum.
	leaveTargets = 4
	minLeave     = 2 * time.Second
	// minRetryAfter is the shortest Retry-After; maxReturnShare is the share of a
	// caller's remaining time within which it comes back.
	minRetryAfter  = 200 * time.Millisecond
	maxReturnShare = 1.0 / 3
	// maxExcess bounds how far work offered beyond the work done defers returns.
	maxExcess = 4.0
	// Urgencies is the number of urgencies in the engines' queues. The last, behind,
	// is for late requests of the least urgent routes: engines run them with what is
	// left.
	Urgencies = 10
	behind    = Urgencies - 1
	// routeRanks is the number of ranks of routes that are told apart.
	routeRanks = 3
)

// Request is a request to be admitted.
type Request struct {
	Workspace models.Workspace
	Route     string
	Rank      int           // of the route, 0 is the most urgent
	Urgency   int           // in the engines' queues, 0 first
	Unloaded  time.Duration // to its first token on an idle engine
	Predicted time.Duration // to its first token with all that is queued
	Target    time.Duration // for the time to the first token, from the caller's first attempt
	Waited    time.Duration // since the caller's first attempt
	Left      time.Duration // until its deadline
	Returned  bool          // it has been refused before
	// Drain is the prompt tokens that the engines of the service prefill in a second.
	Drain float64
}

// Reason is why a request is refused.
type Reason string

// Reasons of a refusal.
const (
	ReasonLate  Reason = "late"  // it would hardly be in time
	ReasonShare Reason = "share" // its workspace has had more than its share
	ReasonOrder Reason = "order" // more urgent requests are served less often
	ReasonLeft  Reason = "left"  // it was refused before, and its caller would leave
)

// Decision is what becomes of a request.
type Decision struct {
	Send       bool
	Reason     Reason           // of a refusal
	Urgency    int              // in the engines' queues
	RetryAfter time.Duration    // of a refusal
	Predicted  time.Duration    // to the first token, with what is ahead of the request
	Wait       models.WaitClass // expected
	Chance     float64          // of being in time, as forecast
	Required   float64          // chance from which the request would have been sent
}

// Controller decides for one service. It is not safe for concurrent use.
type Controller struct {
	forecast forecast
	demand   demand
	shares   shares
	queued   [Urgencies]int // prompt tokens at engines, of all daemons, by urgency
	short    shortage
	stats    map[string]*Stats
}

// NewController returns a controller that has seen nothing.
func NewController() *Controller {
	return &Controller{shares: newShares(), demand: newDemand(), forecast: newForecast(), stats: map[string]*Stats{}}
}

// AddQueued adds prompt tokens of an urgency to those that wait at engines; negative
// ones are done or given up.
func (c *Controller) AddQueued(urgency, tokens int) {
	c.queued[clamped(urgency)] += tokens
}

// Admit decides on a request. Spread in [0, 1) is a random number that spreads the
// returns of those that are refused.
func (c *Controller) Admit(r Request, spread float64, now time.Time) Decision {
	c.demand.setRank(r.Route, r.Rank, now)
	d := Decision{Urgency: r.Urgency, Predicted: c.ahead(r, r.Urgency), Wait: models.WaitQueued}
	if d.Predicted-r.Unloaded <= time.Duration(shortWait*float64(r.Target)) {
		d.Wait = models.WaitNone
	}
	limit := inTime(r)
	d.Chance = c.forecast.chance(r.Route, d.Wait, d.Predicted, limit, now)
	d.Required, d.Reason = c.required(r, d.Wait, now)
	switch {
	case d.Chance >= d.Required:
		d.Send = true
	case r.Returned || c.demand.neglected(r.Route, now):
		d = c.sendLate(r, d, now)
	}
	if d.Send {
		d.Reason = ""
	} else {
		d.RetryAfter = c.retryAfter(r, d, limit, spread, now)
	}
	c.record(r, d, now)
	return d
}

// sendLate sends a request that will be late if its caller still waits by then: behind
// those of urgent routes that can be in time, unless its route is neglected.
func (c *Controller) sendLate(r Request, d Decision, now time.Time) Decision {
	urgency, wait := lateUrgency(r.Urgency), models.WaitBehind
	if c.demand.neglected(r.Route, now) {
		urgency, wait = r.Urgency, models.WaitQueued
	}
	predicted := c.ahead(r, urgency)
	leave := min(max(leaveTargets*r.Target, minLeave), r.Left)
	if c.forecast.chance(r.Route, wait, predicted, leave, now) < leaveChance {
		d.Reason = ReasonLeft
		return d
	}
	d.Send, d.Urgency, d.Predicted, d.Wait = true, urgency, predicted, wait
	return d
}

// lateUrgency returns the urgency of a request that is late: that of the least urgent
// routes for workspaces of its rank, or behind if it is on one of these.
func lateUrgency(urgency int) int {
	last := urgency/routeRanks*routeRanks + routeRanks - 1
	if urgency >= last {
		return behind
	}
	return last
}

// Urgency returns the priority of a request in the queues of engines, 0 first. The rank
// of its workspace goes before that of its route; one that its own size makes late goes
// behind those of its rank.
func Urgency(workspaceRank, routeRank int, unloaded, target time.Duration) int {
	if target > 0 && unloaded > target {
		routeRank++
	}
	return min(max(workspaceRank, 0)*routeRanks+min(max(routeRank, 0), routeRanks-1), behind-1)
}

// inTime returns the time to the first token up to which a request counts as in time:
// what is left of its target or, if it is late in any case, its own need and a wait that
// is short compared with that or with the target.
func inTime(r Request) time.Duration {
	return max(r.Target-r.Waited, r.Unloaded+time.Duration(waitShare*float64(max(r.Target, r.Unloaded))))
}

// ahead returns the predicted time to the first token of a request in the engines'
// queues at an urgency: of what is queued only what goes before it counts. The engine
// that seemed least busy is so to other daemons as well, so that the request waits for
// about as long as at an average one, if that is longer.
func (c *Controller) ahead(r Request, urgency int) time.Duration {
	before, all := 0.0, 0.0
	for u, tokens := range c.queued {
		all += float64(max(tokens, 0))
		if u <= urgency {
			before += float64(max(tokens, 0))
		}
	}
	wait := max(r.Predicted-r.Unloaded, 0).Seconds()
	if all > 0 {
		wait *= before / all
	}
	if r.Drain > 0 {
		wait = max(wait, before/r.Drain)
	}
	return r.Unloaded + time.Duration(wait*float64(time.Second))
}

// required returns the chance of being in time from which a request is sent, and why
// it is refused below that.
func (c *Controller) required(r Request, wait models.WaitClass, now time.Time) (float64, Reason) {
	if wait == models.WaitNone {
		return idleChance, ReasonLate
	}
	required, reason := evenChance, ReasonLate
	switch level := c.shares.level(r.Workspace, now); {
	case level < 1:
		required = lowChance + (evenChance-lowChance)*level
	case level > aboveShare:
		excess := level / aboveShare
		required, reason = 1-(1-evenChance)/(excess*excess), ReasonShare
	}
	if required < highChance && c.demand.aheadOfUrgent(r.Route, now) {
		return highChance, ReasonOrder
	}
	return required, reason
}

// retryAfter returns when there will be room for a request: the time in which the
// queue shrinks as far as it has to, longer by what is offered beyond the work done.
func (c *Controller) retryAfter(r Request, d Decision, limit time.Duration, spread float64, now time.Time) time.Duration {
	shrink := max(d.Predicted-c.forecast.quantile(r.Route, limit, now), minRetryAfter)
	excess := min(max(c.demand.excess(now), 1), maxExcess)
	after := time.Duration(float64(shrink) * excess * (1 + spread))
	return min(after, time.Duration(maxReturnShare*float64(r.Left)))
}

func clamped(urgency int) int {
	return min(max(urgency, 0), Urgencies-1)
}

// normal returns the probability that a standard normal variable is at most z.
func normal(z float64) float64 {
	return 0.5 * math.Erfc(-z/math.Sqrt2)
}
