package routing

import (
	"time"

	"quincewinch/models"
)

const (
	// reappearanceDelay is how long a backend server that had left gets no
	// requests when it is registered again in an older copy of the store, unless
	// it registers anew. By then, registrations that should not be there are
	// removed again.
	reappearanceDelay = 5 * time.Second
	// departureProof is how long after an outage or a return of the store a missing
	// registration proves that its backend server has left. It allows for a store
	// that went away again meanwhile, and for a zone's reader that has not noticed.
	departureProof = 2 * reregistrationGrace
	// departureRetention is how long a backend server that left is remembered:
	// longer than a copy of the store may be old.
	departureRetention = time.Minute
)

// departure is a backend server that was dropped. One that was missing from an
// older copy has left only if it had not registered again by provenAt.
type departure struct {
	upstream models.Upstream
	at       time.Time
	provenAt time.Time // zero if it was removed
}

// usableAt returns from when a backend server that is in a list of all
// registrations may be used, zero if at once.
func (f *Fleet) usableAt(upstream models.Upstream, restored bool, now time.Time) time.Time {
	left := f.departed[upstream.ID]
	proven := restored && left.upstream.SameIncarnation(upstream) && !f.answeredAt.Before(left.provenAt)
	if proven || left.upstream.Started.After(upstream.Started) {
		return now.Add(reappearanceDelay)
	}
	if known, ok := f.known[upstream.ID]; ok && known.upstream.SameIncarnation(upstream) {
		return known.usableAt
	}
	return time.Time{}
}

// hasDrained reports whether a backend server was seen to drain since its start.
// It never accepts work again.
func (f *Fleet) hasDrained(upstream models.Upstream) bool {
	before, left := f.known[upstream.ID].upstream, f.departed[upstream.ID].upstream
	return before.Draining && before.SameIncarnation(upstream) || left.Draining && left.SameIncarnation(upstream)
}

// departureOf returns the departure of a backend server that is dropped now. What
// was known before of the same or a later incarnation still holds.
func (f *Fleet) departureOf(r registration, now time.Time) departure {
	before, ok := f.departed[r.upstream.ID]
	if ok && before.upstream.Started.After(r.upstream.Started) {
		before.at = now
		return before
	}
	left := departure{upstream: r.upstream, at: now}
	if r.removed || r.upstream.Draining {
		return left
	}
	left.provenAt = f.foundAt.Add(departureProof)
	if ok && before.upstream.SameIncarnation(r.upstream) && before.provenAt.Before(left.provenAt) {
		left.provenAt = before.provenAt
	}
	return left
}

// confirmDeparture records that the registration of a backend server was removed that was
// dropped before, as it was missing from an older copy.
func (f *Fleet) confirmDeparture(id models.EngineID, now time.Time) {
	left, ok := f.departed[id]
	if !ok {
		return
	}
	left.at = now
	left.provenAt = time.Time{}
	f.departed[id] = left
}

// forgetDepartures forgets the departures that no copy of the store can be older
// than.
func (f *Fleet) forgetDepartures(now time.Time) {
	for id, left := range f.departed {
		if now.Sub(left.at) > departureRetention {
			delete(f.departed, id)
		}
	}
}
