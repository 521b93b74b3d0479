package retry

import (
	"time"
)

// Peak is the highest of the values that held at some time within a window. It is not
// safe for concurrent use.
type Peak struct {
	// Values in falling order, each with the last time at which it held.
	samples []sample
}

type sample struct {
	value int
	at    time.Time
}

// Observe records the value that holds now.
func (p *Peak) Observe(now time.Time, value int) {
	for len(p.samples) > 0 && p.samples[len(p.samples)-1].value <= value {
		p.samples = p.samples[:len(p.samples)-1]
	}
	p.samples = append(p.samples, sample{value: value, at: now})
}

// Highest returns the highest value within the window, and the latest if none was
// observed in it. It returns 0 if there is none.
func (p *Peak) Highest(now time.Time, window time.Duration) int {
	for len(p.samples) > 1 && now.Sub(p.samples[0].at) > window {
		p.samples = p.samples[1:]
	}
	if len(p.samples) == 0 {
		return 0
	}
	return p.samples[0].value
}
