package fleet

import "time"

// WindowMax keeps the greatest figure of a span of time.
type WindowMax struct {
	window     time.Duration
	firstAt    time.Time
	candidates []sample // falling
}

type sample struct {
	at    time.Time
	value float64
}

// NewWindowMax returns the peak over a span that has seen nothing.
func NewWindowMax(span time.Duration) *WindowMax {
	return &WindowMax{window: span}
}

// Observe takes in a figure and returns the greatest of the span.
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

// ObservedFor returns for how long figures have come in, up to an instant.
func (p *WindowMax) ObservedFor(at time.Time) time.Duration {
	if p.firstAt.IsZero() {
		return 0
	}
	return at.Sub(p.firstAt)
}
