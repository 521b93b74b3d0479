package naive

import "time"

// UncoordinatedLimit lets each daemon apply the full rate limit on its own.
type UncoordinatedLimit struct {
	level     float64
	updatedAt time.Time
}

// Admit reports whether a request is within a rate per second.
func (l *UncoordinatedLimit) Admit(rate float64, now time.Time) bool {
	if l.updatedAt.IsZero() {
		l.level = rate
	}
	if !l.updatedAt.IsZero() {
		l.level = min(l.level+rate*now.Sub(l.updatedAt).Seconds(), rate)
	}
	l.updatedAt = now
	if l.level < 1 {
		return false
	}
	l.level--
	return true
}
