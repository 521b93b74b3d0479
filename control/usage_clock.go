package control

import (
	"sync"
	"time"
)

const (
	// maxDriftRatio bounds how far two clocks run apart, as a share of the time.
	maxDriftRatio = 200e-6
	// maxSampleAge is after how long a sample is replaced by any newer one.
	maxSampleAge = 10 * time.Minute
)

// PlatformClock tells the platform's time from samples of it. Between samples
// it follows the daemon's monotonic clock, so that a step of the daemon's wall
// clock moves nothing.
type PlatformClock struct {
	mu       sync.Mutex
	known    bool
	platform time.Time     // platform's time of the best sample
	local    time.Time     // the middle of its call, by the daemon's clock
	maxError time.Duration // greatest error of the sample
}

// NewPlatformClock returns a clock without samples.
func NewPlatformClock() *PlatformClock {
	return &PlatformClock{}
}

// Observe takes in a sample: the platform's time during a call.
func (c *PlatformClock) Observe(sent, received, platform time.Time) {
	width := received.Sub(sent) / 2
	c.mu.Lock()
	defer c.mu.Unlock()
	middle := sent.Add(width)
	aged := c.maxError + drift(middle.Sub(c.local))
	if c.known && width > aged && middle.Sub(c.local) < maxSampleAge && c.agrees(platform, middle, width+aged) {
		return
	}
	c.known = true
	c.platform = platform
	c.local = middle
	c.maxError = width
}

// At returns the platform's time at an instant of the daemon's clock and its
// greatest error. It returns false before the first sample.
func (c *PlatformClock) At(local time.Time) (platform time.Time, bound time.Duration, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := local.Sub(c.local)
	return c.platform.Add(since), c.maxError + drift(since), c.known
}

// agrees reports whether a sample fits the one that is kept. The lock is held.
func (c *PlatformClock) agrees(platform, middle time.Time, bound time.Duration) bool {
	expected := c.platform.Add(middle.Sub(c.local))
	return platform.Sub(expected).Abs() <= bound
}

func drift(d time.Duration) time.Duration {
	return time.Duration(float64(d.Abs()) * maxDriftRatio)
}
