// Package demand turns the running totals that daemons report into rates.
package demand

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"quincewinch/models"
)

// shortest is the least time between two reports that give a rate.
const shortest = 100 * time.Millisecond

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
type Increase[K cmp.Ordered] struct {
	Key    K
	Tokens int64
}

// Tracker keeps the rates of each daemon by workspace, model or the like.
type Tracker[K cmp.Ordered] struct {
	smoothing time.Duration
	daemons   map[models.DaemonID]*record[K]
}

type record[K cmp.Ordered] struct {
	at     time.Time
	totals map[K]Totals
	rates  map[K]Rate
}

// NewTracker returns a tracker that knows no daemon. Smoothing is the time over
// which rates forget.
func NewTracker[K cmp.Ordered](smoothing time.Duration) *Tracker[K] {
	return &Tracker[K]{smoothing: smoothing, daemons: map[models.DaemonID]*record[K]{}}
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
	part := 1 - math.Exp(-passed.Seconds()/t.smoothing.Seconds())
	var increases []Increase[K]
	for key, now := range totals {
		before := last.totals[key]
		last.rates[key] = last.rates[key].toward(Rate{
			Requests: float64(now.Requests-before.Requests) / passed.Seconds(),
			Tokens:   float64(now.Tokens-before.Tokens) / passed.Seconds(),
		}, part)
		if now.Tokens != before.Tokens {
			increases = append(increases, Increase[K]{Key: key, Tokens: now.Tokens - before.Tokens})
		}
	}
	last.at = at
	last.totals = totals
	slices.SortFunc(increases, func(a, b Increase[K]) int { return cmp.Compare(a.Key, b.Key) })
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
	for _, daemon := range slices.Sorted(maps.Keys(t.daemons)) {
		known := t.daemons[daemon]
		sum.Requests += known.rates[key].Requests
		sum.Tokens += known.rates[key].Tokens
	}
	return sum
}

// Total returns the rate of all daemons for all keys.
func (t *Tracker[K]) Total() Rate {
	keys := map[K]bool{}
	for _, known := range t.daemons {
		for key := range known.rates {
			keys[key] = true
		}
	}
	var total Rate
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		sum := t.Sum(key)
		total.Requests += sum.Requests
		total.Tokens += sum.Tokens
	}
	return total
}

// toward moves a rate by a part of the way to a newer one.
func (r Rate) toward(newer Rate, part float64) Rate {
	return Rate{
		Requests: r.Requests + part*(newer.Requests-r.Requests),
		Tokens:   r.Tokens + part*(newer.Tokens-r.Tokens),
	}
}
