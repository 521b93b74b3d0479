package control

import (
	"sync"
	"time"
)

const (
	// maxDriftRatio bounds the drift between two clocks per unit of elapsed time
	// (200 ppm).
	maxDriftRatio = 200e-6
	// maxSampleAge is the age from which any newer sample replaces the current
	// one.
	maxSampleAge = 10 * time.Minute
)

// PlatformClock estimates the platform's time from samples. Between samples it
// follows the daemon's monotonic clock, so that a step of the daemon's wall clock
// has no effect.
type PlatformClock struct {
	mu       sync.Mutex
	known    bool
	platform time.Time     // platform's time of the current sample
	local    time.Time     // midpoint of the sampling call, by the daemon's clock
	maxError time.Duration // of the sample, without drift since
}

// NewPlatformClock returns a clock that has no sample yet.
func NewPlatformClock() *PlatformClock {
	return &PlatformClock{}
}

// Observe offers a sample: the platform's time at some point during a call. The
// sample replaces the current one if it is at least as exact, if the current one
// is too old or if the two contradict each other.
func (c *PlatformClock) Observe(sent, received, platform time.Time) {
	sampleError := received.Sub(sent) / 2
	c.mu.Lock()
	defer c.mu.Unlock()
	middle := sent.Add(sampleError)
	currentError := c.maxError + drift(middle.Sub(c.local))
	if c.known && sampleError > currentError && middle.Sub(c.local) < maxSampleAge && c.agrees(platform, middle, sampleError+currentError) {
		return
	}
	c.known = true
	c.platform = platform
	c.local = middle
	c.maxError = sampleError
}

// At returns the platform's time at an instant of the daemon's clock, and the
// maximum error. known is false before the first sample.
func (c *PlatformClock) At(local time.Time) (platform time.Time, bound time.Duration, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := local.Sub(c.local)
	return c.platform.Add(since), c.maxError + drift(since), c.known
}

// agrees reports whether a sample is consistent with the current one, within
// bound. The caller holds c.mu.
func (c *PlatformClock) agrees(platform, middle time.Time, bound time.Duration) bool {
	expected := c.platform.Add(middle.Sub(c.local))
	return platform.Sub(expected).Abs() <= bound
}

func drift(d time.Duration) time.Duration {
	return time.Duration(float64(d.Abs()) * maxDriftRatio)
}
