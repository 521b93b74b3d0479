package naive

import "time"

// WholeLimit lets each daemon apply the whole of a rate limit on its own.
type WholeLimit struct {
	level float64
	at    time.Time
}

// Admit reports whether a request is within a rate a second.
func (l *WholeLimit) Admit(rate float64, now time.Time) bool {
	if l.at.IsZero() {
		l.level = rate
	}
	if !l.at.IsZero() {
		l.level = min(l.level+rate*now.Sub(l.at).Seconds(), rate)
	}
	l.at = now
	if l.level < 1 {
		return false
	}
	l.level--
	return true
}
