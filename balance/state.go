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
	// firstHold is how long a backend server that could not be reached gets
	// nothing; each further failure doubles it up to longestHold.
	firstHold   = 300 * time.Millisecond
	longestHold = 4 * time.Second
	// fullHold is how long a backend server that was full gets nothing more.
	fullHold = 50 * time.Millisecond
	// failureMemory is the time over which failures are forgotten.
	failureMemory = 4 * time.Second
	// failureCost is how many requests under way one failure of late counts
	// as.
	failureCost = 4.0
	// zoneCost is how many requests under way another availability zone counts
	// as.
	zoneCost = 0.5
	// failurePenalty is how much longer a prompt is taken to need for each
	// failure of late.
	failurePenalty = 300 * time.Millisecond
)

// state is what is known of one incarnation of a backend server.
type state struct {
	upstream models.Upstream
	running  int // requests sent there by this daemon that have not ended
	reading  int // prompt tokens sent there by this daemon that are not read yet
	cache    cache
	seenAt   time.Time // registered at that time

	failures   float64 // of late, each fading with time
	failedAt   time.Time
	heldUntil  time.Time // it gets nothing until then
	unanswered int       // tries in a row that did not reach it
}

func newState(upstream models.Upstream) *state {
	return &state{upstream: upstream, cache: newCache()}
}

// recentFailures returns the failures of late.
func (s *state) recentFailures(now time.Time) float64 {
	if s.failures == 0 {
		return 0
	}
	age := now.Sub(s.failedAt)
	return s.failures * math.Exp(-age.Seconds()/failureMemory.Seconds())
}

func (s *state) fail(now time.Time) {
	s.failures = s.recentFailures(now) + 1
	s.failedAt = now
}

// unreachable keeps requests away for a while.
func (s *state) unreachable(now time.Time) {
	hold := min(firstHold<<min(s.unanswered, 8), longestHold)
	s.unanswered++
	s.heldUntil = now.Add(hold)
	s.fail(now)
}

// note takes in how a request, or its prompt, fared here.
func (s *state) note(result relay.Result, now time.Time) {
	switch result {
	case relay.ResultUnreachable:
		s.unreachable(now)
	case relay.ResultFailed:
		s.fail(now)
	case relay.ResultRejected:
		s.heldUntil = now.Add(fullHold)
	case relay.ResultMoved:
		s.heldUntil = now.Add(longestHold)
	case relay.ResultServed:
		s.unanswered = 0
	case relay.ResultCancelled, relay.ResultLeaving:
	}
}
