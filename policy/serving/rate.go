package serving

import "time"

const (
	// initialDecodeRate and initialPrefillRate are the assumed prefill rates, in
	// prompt tokens per second, of an engine that has not answered yet. An
	// engine that also generates prefills in smaller steps and more slowly.
	initialDecodeRate  = 18000.0
	initialPrefillRate = 45000.0
	// minObservedTokens is the smallest number of prompt tokens from which a
	// rate is computed: the time of fewer says little about the rate.
	minObservedTokens = 1500
	// rateWeight is the weight of the latest answer in the moving average.
	rateWeight = 0.1
	// minRateFactor and maxRateFactor bound the rate of a single observation,
	// as factors of the initial rate.
	minRateFactor = 0.2
	maxRateFactor = 5.0
)

// PrefillRate estimates how many prompt tokens per second an engine prefills.
type PrefillRate struct {
	initial float64
	current float64
}

// NewPrefillRate returns the initial rate of an engine.
func NewPrefillRate(prefiller bool) *PrefillRate {
	if prefiller {
		return &PrefillRate{initial: initialPrefillRate, current: initialPrefillRate}
	}
	return &PrefillRate{initial: initialDecodeRate, current: initialDecodeRate}
}

// TokensPerSecond returns the current estimate.
func (r *PrefillRate) TokensPerSecond() float64 {
	return r.current
}

// Observe records an answer: the prompt tokens that the engine prefilled until
// the first token of the answer, including those ahead in its queue, and the
// time that took.
func (r *PrefillRate) Observe(tokens int, elapsed time.Duration) {
	prefillTime := elapsed - setupTime
	if tokens < minObservedTokens || prefillTime <= 0 {
		return
	}
	observed := float64(tokens) / prefillTime.Seconds()
	observed = min(max(observed, r.initial*minRateFactor), r.initial*maxRateFactor)
	r.current += rateWeight * (observed - r.current)
}
