package fleet

import "time"

// WindowMax tracks the maximum of the values observed within a sliding time
// window.
type WindowMax struct {
	window     time.Duration
	firstAt    time.Time
	candidates []sample // in descending order of value
}

type sample struct {
	at    time.Time
	value float64
}

// NewWindowMax returns a WindowMax without observations.
func NewWindowMax(window time.Duration) *WindowMax {
	return &WindowMax{window: window}
}

// Observe records a value and returns the maximum of the window.
func (p *WindowMax) Observe(at time.Time, value float64) float64 {
	if p.firstAt.IsZero() {
		p.firstAt = at
	}
	for len(p.candidates) > 0 && p.candidates[len(p.candidates)-1].value <= value {
		p.candidates = p.candidates[:len(p.candidates)-1]
	}
	p.candidates = append(p.candidates, sample{at: at, value: value})
	for at.Sub(p.candidates[0].at) > p.window {
		p.candidates = p.candidates[1:]
	}
	return p.candidates[0].value
}

// ObservedFor returns the time from the first observation until the given time.
func (p *WindowMax) ObservedFor(at time.Time) time.Duration {
	if p.firstAt.IsZero() {
		return 0
	}
	return at.Sub(p.firstAt)
}
