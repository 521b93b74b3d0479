// Package admission decides which requests for model engines are served when
// there is more work than the engines can do in time, and in which order. It is
// made for bursts that last seconds and for fleets that have just lost engines:
// a queue that everyone waits in makes everyone late, and callers leave before
// their first token after the engines have read their prompts.
package admission

import (
	"math"
	"time"
)

const (
	// shortShare is the share of its latency target that a request may need on an
	// idle engine to go before longer ones: it delays them little.
	shortShare = 0.2
	// classes is the number of urgency classes within a rank.
	classes = 3
	// waitShare is the share of its latency target that a request may wait for
	// engines if it will be late in any case.
	waitShare = 0.5
	// patienceShare is the share of the time that callers wait for a first token
	// up to which requests are admitted while no queue stands: predictions are off
	// by some of the rest. returnedShare is the same for requests that have been
	// refused before, while a queue stands.
	patienceShare = 0.6
	returnedShare = 0.4
	// standingWait is the average wait from which a queue stands, in latency
	// targets, and averageTime the time constant of the average.
	standingWait = 0.3
	averageTime  = 500 * time.Millisecond
	// leaveTargets is the time that callers wait for a first token, in latency
	// targets, and minLeave its minimum.
	leaveTargets = 4
	minLeave     = 2 * time.Second
	// maxReturnShare is the share of a caller's remaining time within which it
	// comes back.
	maxReturnShare = 1.0 / 3
	// minRetryAfter is the shortest Retry-After.
	minRetryAfter = 200 * time.Millisecond
)

// Request is a request to be admitted.
type Request struct {
	Rank      int           // 0 is the most urgent
	Unloaded  time.Duration // to its first token on an idle engine
	Predicted time.Duration // to its first token with what is queued
	Target    time.Duration // for the time to the first token; 0: none
	Left      time.Duration // until its deadline
	Returned  bool          // it has been refused before
}

// Urgency returns the priority of a request in the queue of an engine, 0 first.
// Within a rank, short requests go before long ones, and those that will be late
// in any case go last.
func Urgency(r Request) int {
	urgency := max(r.Rank, 0) * classes
	switch {
	case r.Target > 0 && r.Unloaded > r.Target:
		return urgency + 2
	case float64(r.Unloaded) > shortShare*float64(r.Target):
		return urgency + 1
	}
	return urgency
}

// Queue watches how long the requests of a service wait for engines, to tell a
// burst that passes from a queue that stays. It is not safe for concurrent use.
type Queue struct {
	wait   float64   // moving average, in latency targets
	seenAt time.Time // of the last request
}

// Observe records the predicted wait of a request, and reports whether a queue
// stands: whether requests have waited long for a while.
func (q *Queue) Observe(r Request, now time.Time) (standing bool) {
	if r.Target <= 0 {
		return false
	}
	wait := (r.Predicted - r.Unloaded).Seconds() / r.Target.Seconds()
	weight := 1 - math.Exp(-now.Sub(q.seenAt).Seconds()/averageTime.Seconds())
	q.wait += weight * (wait - q.wait)
	q.seenAt = now
	return q.wait > standingWait
}

// Admit reports whether a request is to be sent to its engine now. If not,
// retryAfter is when the queue will have become short enough; spread in [0, 1)
// is a random number that spreads the returns. Standing is the result of
// Queue.Observe.
func Admit(r Request, standing bool, spread float64) (ok bool, retryAfter time.Duration) {
	longest := maxPredicted(r, standing)
	if r.Target <= 0 || r.Predicted <= longest {
		return true, 0
	}
	retryAfter = max(r.Predicted-longest, minRetryAfter)
	retryAfter += time.Duration(spread * float64(retryAfter))
	return false, min(retryAfter, time.Duration(maxReturnShare*float64(r.Left)))
}

// maxPredicted returns the longest predicted time to the first token with which
// a request is admitted. While a queue stands, each request that waits in it
// makes another one late; while it does not, a late answer is better than none.
func maxPredicted(r Request, standing bool) time.Duration {
	leave := max(leaveTargets*r.Target, minLeave)
	switch {
	case !standing:
		return time.Duration(patienceShare * float64(leave))
	case r.Returned:
		return time.Duration(returnedShare * float64(leave))
	}
	return max(r.Target, r.Unloaded+time.Duration(waitShare*float64(r.Target)))
}
