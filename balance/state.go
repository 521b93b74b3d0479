package balance

import (
	"math"
	"time"

	"quincewinch/models"
	"quincewinch/relay"
)

const (
	// callChoices is how many backend servers of a plain service are drawn for
	// one request.
	callChoices = 3
	// initialBackoff is how long a backend server that could not be reached gets
	// nothing; each further failure doubles it up to longestHold.
	initialBackoff = 300 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// rejectedBackoff is how long a backend server that was full gets nothing more.
	rejectedBackoff = 50 * time.Millisecond
	// failureDecay is the time over which failures are forgotten.
	failureDecay = 4 * time.Second
	// failureCost is how many requests under way one failure of late counts
	// as.
	failureCost = 4.0
	// crossZoneCost is how many requests under way another availability zone counts
	// as.
	crossZoneCost = 0.5
	// failurePenalty is how much longer a prompt is taken to need for each
	// failure of late.
	failurePenalty = 300 * time.Millisecond
)

// serverState is what is known of one incarnation of a backend server.
type serverState struct {
	upstream      models.Upstream
	running       int // requests sent there by this daemon that have not ended
	prefillTokens int // prompt tokens sent there by this daemon that are not read yet
	cache         promptCache
	seenAt        time.Time // registered at that time

	failureScore     float64 // of late, each fading with time
	failedAt         time.Time
	backoffUntil     time.Time // it gets nothing until then
	unreachableCount int       // tries in a row that did not reach it
}

func newServerState(upstream models.Upstream) *serverState {
	return &serverState{upstream: upstream, cache: newPromptCache()}
}

// decayedFailures returns the failures of late.
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

// backOff keeps requests away for a while.
func (s *serverState) backOff(now time.Time) {
	hold := min(initialBackoff<<min(s.unreachableCount, 8), maxBackoff)
	s.unreachableCount++
	s.backoffUntil = now.Add(hold)
	s.recordFailure(now)
}

// recordResult takes in how a request, or its prompt, fared here.
func (s *serverState) recordResult(result relay.Result, now time.Time) {
	switch result {
	case relay.ResultUnreachable:
		s.backOff(now)
	case relay.ResultFailed:
		s.recordFailure(now)
	case relay.ResultRejected:
		s.backoffUntil = now.Add(rejectedBackoff)
	case relay.ResultMoved:
		s.backoffUntil = now.Add(maxBackoff)
	case relay.ResultServed:
		s.unreachableCount = 0
	case relay.ResultCancelled, relay.ResultLeft:
	}
}
