package fleet

import "time"

// Peak keeps the greatest figure of a span of time.
type Peak struct {
	span    time.Duration
	since   time.Time
	figures []dated // falling
}

type dated struct {
	at    time.Time
	value float64
}

// NewPeak returns the peak over a span that has seen nothing.
func NewPeak(span time.Duration) *Peak {
	return &Peak{span: span}
}

// Observe takes in a figure and returns the greatest of the span.
func (p *Peak) Observe(at time.Time, value float64) float64 {
	if p.since.IsZero() {
		p.since = at
	}
	for len(p.figures) > 0 && p.figures[len(p.figures)-1].value <= value {
		p.figures = p.figures[:len(p.figures)-1]
	}
	p.figures = append(p.figures, dated{at: at, value: value})
	for at.Sub(p.figures[0].at) > p.span {
		p.figures = p.figures[1:]
	}
	return p.figures[0].value
}

// Seen returns for how long figures have come in, up to an instant.
func (p *Peak) Seen(at time.Time) time.Duration {
	if p.since.IsZero() {
		return 0
	}
	return at.Sub(p.since)
}
