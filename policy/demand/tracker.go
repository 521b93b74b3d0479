// Package demand turns the running totals that daemons report into rates.
package demand

import (
	"math"
	"time"

	"quincewinch/models"
)

const (
	// smoothing is the time over which a rate forgets.
	smoothing = 2 * time.Second
	// shortest is the least time between two reports that give a rate.
	shortest = 100 * time.Millisecond
)

// Totals are running totals since a daemon's start.
type Totals struct {
	Requests int64 // offered, refused ones included
	Tokens   int64 // prompt and output tokens
}

// Rate is the growth of totals in a second.
type Rate struct {
	Requests float64
	Tokens   float64
}

// Increase is what was added to the totals of one key since the report before.
type Increase[K comparable] struct {
	Key    K
	Tokens int64
}

// Tracker keeps the rates of each daemon by workspace, model or the like.
type Tracker[K comparable] struct {
	daemons map[models.DaemonID]*record[K]
}

type record[K comparable] struct {
	at     time.Time
	totals map[K]Totals
	rates  map[K]Rate
}

// NewTracker returns a tracker that knows no daemon.
func NewTracker[K comparable]() *Tracker[K] {
	return &Tracker[K]{daemons: map[models.DaemonID]*record[K]{}}
}

// Observe takes in a daemon's totals as of at, and returns what was added to
// them. The first totals of a daemon only set the mark.
func (t *Tracker[K]) Observe(daemon models.DaemonID, at time.Time, totals map[K]Totals) []Increase[K] {
	last, ok := t.daemons[daemon]
	if !ok {
		t.daemons[daemon] = &record[K]{at: at, totals: totals, rates: map[K]Rate{}}
		return nil
	}
	passed := at.Sub(last.at)
	if passed < shortest {
		return nil
	}
	var increases []Increase[K]
	for key, now := range totals {
		before := last.totals[key]
		last.rates[key] = last.rates[key].toward(Rate{
			Requests: float64(now.Requests-before.Requests) / passed.Seconds(),
			Tokens:   float64(now.Tokens-before.Tokens) / passed.Seconds(),
		}, passed)
		if now.Tokens != before.Tokens {
			increases = append(increases, Increase[K]{Key: key, Tokens: now.Tokens - before.Tokens})
		}
	}
	last.at = at
	last.totals = totals
	return increases
}

// Keep drops daemons that are not among those kept.
func (t *Tracker[K]) Keep(kept map[models.DaemonID]bool) {
	for daemon := range t.daemons {
		if !kept[daemon] {
			delete(t.daemons, daemon)
		}
	}
}

// Rate returns a daemon's rate for a key.
func (t *Tracker[K]) Rate(daemon models.DaemonID, key K) Rate {
	if known, ok := t.daemons[daemon]; ok {
		return known.rates[key]
	}
	return Rate{}
}

// Sum returns the rate of all daemons for a key.
func (t *Tracker[K]) Sum(key K) Rate {
	var sum Rate
	for _, known := range t.daemons {
		sum.Requests += known.rates[key].Requests
		sum.Tokens += known.rates[key].Tokens
	}
	return sum
}

// toward moves a rate towards a newer one as far as the time passed allows.
func (r Rate) toward(newer Rate, passed time.Duration) Rate {
	part := 1 - math.Exp(-passed.Seconds()/smoothing.Seconds())
	return Rate{
		Requests: r.Requests + part*(newer.Requests-r.Requests),
		Tokens:   r.Tokens + part*(newer.Tokens-r.Tokens),
	}
}
