package serving

import "time"

const (
	// firstDecodeRate and firstPrefillRate are the prompt tokens a second that
	// an engine is taken to read until its answers tell: an engine that also
	// generates reads in smaller steps and more slowly.
	firstDecodeRate  = 18000.0
	firstPrefillRate = 45000.0
	// tellingTokens is the least prompt whose time says something on the rate.
	tellingTokens = 1500
	// rateNewness is the weight of the latest answer in the mean.
	rateNewness = 0.1
	// rateFloor and rateCeiling bound what answers can make of a rate, as
	// factors of the first one.
	rateFloor   = 0.2
	rateCeiling = 5.0
)

// Rate learns how many prompt tokens an engine reads in a second.
type Rate struct {
	first   float64
	current float64
}

// NewRate returns the rate of an engine that has not answered yet.
func NewRate(prefiller bool) *Rate {
	if prefiller {
		return &Rate{first: firstPrefillRate, current: firstPrefillRate}
	}
	return &Rate{first: firstDecodeRate, current: firstDecodeRate}
}

// TokensPerSecond returns the rate.
func (r *Rate) TokensPerSecond() float64 {
	return r.current
}

// Observe takes in an answer: the tokens that the engine had to read until its
// first token, those ahead of it included, and how long that took.
func (r *Rate) Observe(tokens int, taken time.Duration) {
	reading := taken - setupTime
	if tokens < tellingTokens || reading <= 0 {
		return
	}
	seen := float64(tokens) / reading.Seconds()
	seen = min(max(seen, r.first*rateFloor), r.first*rateCeiling)
	r.current += rateNewness * (seen - r.current)
}
