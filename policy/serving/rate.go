package serving

import "time"

const (
	// initialDecodeRate and initialPrefillRate are the assumed prefill rates, in
	// prompt tokens per second, of an engine that has not answered yet. An
	// engine that also generates prefills in smaller steps and more slowly.
	initialDecodeRate  = 18000.0
	initialPrefillRate = 45000.0
	// initialSetup is the assumed time of an engine that has not answered yet to
	// answer an empty prompt.
	initialSetup = 60 * time.Millisecond
	// maxSetupTokens is the largest number of prompt tokens whose answer time
	// says something about the setup, minObservedTokens the smallest number
	// whose time says something about the rate.
	maxSetupTokens    = 600
	minObservedTokens = 1500
	// observationWeight is the weight of the latest observation in a moving
	// average. The first observations weigh more, see weight.
	observationWeight = 0.1
	// minRateFactor and maxRateFactor bound the rate of a single observation,
	// as factors of the initial rate.
	minRateFactor = 0.2
	maxRateFactor = 10.0
	// minTypical is the smallest median that is tracked; steps are shares of it.
	minTypical = time.Millisecond
)

// Typical tracks the median of observed durations: requests that had to wait
// for something else say little about the others.
type Typical struct {
	current float64 // seconds
	count   int     // observations
}

// NewTypical returns a median with an assumed value.
func NewTypical(initial time.Duration) *Typical {
	return &Typical{current: initial.Seconds(), count: 1}
}

// Duration returns the current estimate of the median.
func (t *Typical) Duration() time.Duration {
	return time.Duration(t.current * float64(time.Second))
}

// Observe moves the estimate towards a duration, by at most a fixed share of the
// estimate, so that a single long wait moves it no more than a short one.
func (t *Typical) Observe(d time.Duration) {
	t.count++
	step := t.current * weight(t.count) / 2
	if d.Seconds() > t.current {
		t.current += min(step, d.Seconds()-t.current)
		return
	}
	t.current -= min(step, t.current-d.Seconds())
	t.current = max(t.current, minTypical.Seconds())
}

// PrefillTiming estimates how long an engine takes from receiving a prompt to
// its first token, or to the end of the prefill: a setup time, and the prompt
// tokens at a rate.
type PrefillTiming struct {
	setup   *Typical
	initial float64
	rate    float64 // tokens per second
	count   int     // observations of the rate
}

// NewPrefillTiming returns the initial timing of an engine.
func NewPrefillTiming(prefiller bool) *PrefillTiming {
	rate := initialDecodeRate
	if prefiller {
		rate = initialPrefillRate
	}
	return &PrefillTiming{setup: NewTypical(initialSetup), initial: rate, rate: rate, count: 1}
}

// Setup returns the estimated time for an empty prompt.
func (t *PrefillTiming) Setup() time.Duration {
	return t.setup.Duration()
}

// TokensPerSecond returns the estimated rate.
func (t *PrefillTiming) TokensPerSecond() float64 {
	return t.rate
}

// Predict returns the estimated time to prefill some prompt tokens.
func (t *PrefillTiming) Predict(tokens int) time.Duration {
	return t.Setup() + tokenTime(tokens, t.rate)
}

// Observe records an answer: the prompt tokens that the engine prefilled until
// then, including those ahead in its queue, and the time that took.
func (t *PrefillTiming) Observe(tokens int, elapsed time.Duration) {
	switch {
	case tokens <= maxSetupTokens:
		t.setup.Observe(elapsed - tokenTime(tokens, t.rate))
	case tokens >= minObservedTokens:
		t.observeRate(tokens, elapsed-t.setup.Duration())
	}
}

func (t *PrefillTiming) observeRate(tokens int, elapsed time.Duration) {
	observed := t.initial * maxRateFactor
	if elapsed > 0 {
		observed = float64(tokens) / elapsed.Seconds()
	}
	observed = min(max(observed, t.initial*minRateFactor), t.initial*maxRateFactor)
	t.count++
	t.rate += weight(t.count) * (observed - t.rate)
}

// weight returns the weight of the latest of a number of observations.
func weight(count int) float64 {
	return max(1/float64(count), observationWeight)
}
