package fleet

import "time"

// WindowMax tracks the maximum of the values observed within a sliding time
// window.
type WindowMax struct {
	window  time.Duration
	firstAt time.Time
	// In order of time, and of descending value: a value is dropped once a later one is as
	// large.
	candidates []sample
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
func (w *WindowMax) Observe(at time.Time, value float64) float64 {
	if w.firstAt.IsZero() {
		w.firstAt = at
	}
	for len(w.candidates) > 0 && w.candidates[len(w.candidates)-1].value <= value {
		w.candidates = w.candidates[:len(w.candidates)-1]
	}
	w.candidates = append(w.candidates, sample{at: at, value: value})
	for at.Sub(w.candidates[0].at) > w.window {
		w.candidates = w.candidates[1:]
	}
	return w.candidates[0].value
}

// ObservedFor returns the time from the first observation until the given time.
func (w *WindowMax) ObservedFor(at time.Time) time.Duration {
	if w.firstAt.IsZero() {
		return 0
	}
	return at.Sub(w.firstAt)
}
