package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"quincewinch/models"
	"quincewinch/policy/speed"
	"quincewinch/relay"
)

const (
	// callChoices is how many backend servers of a plain service are drawn at
	// random for one request.
	callChoices = 3
	// initialBackoff is how long a backend server that could not be reached
	// receives no requests; each further failure doubles it up to maxBackoff.
	initialBackoff = 300 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// rejectedBackoff is how long a backend server that rejected a request as
	// full receives no more.
	rejectedBackoff = 50 * time.Millisecond
	// failureDecay is the time constant of the exponential decay of failures.
	failureDecay = 4 * time.Second
	// failureCost is added for each recent failure, in requests in flight.
	failureCost = 4.0
	// crossZoneCost is added for a backend server in another availability zone,
	// in requests in flight.
	crossZoneCost = 0.5
	// failurePenalty is added to the predicted time of a prompt for each recent
	// failure.
	failurePenalty = 300 * time.Millisecond
)

// serverState is the state of one incarnation of a backend server.
type serverState struct {
	upstream      models.Upstream
	idHash        uint64 // of the server's ID
	running       int    // requests of this daemon in flight there
	heldTokens    int    // of KV cache that requests of this daemon hold there at their longest
	prefillTokens int    // prompt tokens of this daemon to be prefilled there
	cache         promptCache
	limit         *serverLimit // nil: it has stated none
	leaving       bool         // it has said so in an answer to this daemon
	restUntil     time.Time    // until then it wants no requests from this daemon
	speed         speed.Estimate
	work          *serverWork // nil: its service states no pace, or nothing is known yet
	factor        float64     // of the speed as of factorAt; 0: to be computed
	factorAt      time.Time
	seenAt        time.Time // when the server was last seen registered

	failureScore     float64 // as of failedAt; decays with failureDecay
	failedAt         time.Time
	backoffUntil     time.Time // no requests are sent there until then
	unreachableCount int       // consecutive attempts that did not reach it
}

func newServerState(upstream models.Upstream) *serverState {
	return &serverState{upstream: upstream, idHash: xxhash.Sum64String(string(upstream.ID)), cache: newPromptCache()}
}

// decayedFailures returns the failure score, decayed to the given time.
func (s *serverState) decayedFailures(now time.Time) float64 {
	if s.failureScore == 0 {
		return 0
	}
	age := now.Sub(s.failedAt)
	return s.failureScore * math.Exp(-age.Seconds()/failureDecay.Seconds())
}

func (s *serverState) recordFailure(now time.Time) {
	s.failureScore = s.decayedFailures(now) + 1
	s.failedAt = now
}

// backOff starts a backoff that doubles with each consecutive attempt that did
// not reach the server.
func (s *serverState) backOff(now time.Time) {
	backoff := min(initialBackoff<<min(s.unreachableCount, 8), maxBackoff)
	s.unreachableCount++
	s.backoffUntil = now.Add(backoff)
	s.recordFailure(now)
}

// recordResult applies the outcome of a request, or of its prefill, at the
// server.
func (s *serverState) recordResult(result relay.Result, now time.Time) {
	switch result {
	case relay.ResultUnreachable:
		s.backOff(now)
	case relay.ResultFailed:
		s.recordFailure(now)
	case relay.ResultRejected:
		s.unreachableCount = 0
		s.backoffUntil = now.Add(rejectedBackoff)
	case relay.ResultMoved:
		s.backoffUntil = now.Add(maxBackoff)
	case relay.ResultServed:
		s.unreachableCount = 0
	case relay.ResultCancelled, relay.ResultLeaving, relay.ResultLimited:
	}
}
