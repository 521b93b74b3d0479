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

// minInterval is the shortest time between two reports from which a rate is
// computed.
const minInterval = 100 * time.Millisecond

// Totals are cumulative counts since a daemon's start.
type Totals struct {
	Requests int64 // offered, rejected ones included
	Tokens   int64 // prompt and output tokens
}

// Rate is the growth of totals per second.
type Rate struct {
	Requests float64
	Tokens   float64
}

// Increase is the growth of one key's total since the previous report.
type Increase[K cmp.Ordered] struct {
	Key    K
	Tokens int64
}

// Tracker keeps moving averages of each daemon's rates by key, for example by
// workspace or model.
type Tracker[K cmp.Ordered] struct {
	smoothing time.Duration
	daemons   map[models.DaemonID]*daemonRecord[K]
}

type daemonRecord[K cmp.Ordered] struct {
	observedAt time.Time
	totals     map[K]Totals
	rates      map[K]Rate
}

// NewTracker returns an empty tracker. Smoothing is the time constant of the
// moving averages.
func NewTracker[K cmp.Ordered](smoothing time.Duration) *Tracker[K] {
	return &Tracker[K]{smoothing: smoothing, daemons: map[models.DaemonID]*daemonRecord[K]{}}
}

// Observe records a daemon's totals as of at, and returns their increases. The
// first totals of a daemon only set the baseline.
func (t *Tracker[K]) Observe(daemon models.DaemonID, at time.Time, totals map[K]Totals) []Increase[K] {
	last, ok := t.daemons[daemon]
	if !ok {
		t.daemons[daemon] = &daemonRecord[K]{observedAt: at, totals: totals, rates: map[K]Rate{}}
		return nil
	}
	elapsed := at.Sub(last.observedAt)
	if elapsed < minInterval {
		return nil
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/t.smoothing.Seconds())
	var increases []Increase[K]
	for key, now := range totals {
		before := last.totals[key]
		last.rates[key] = last.rates[key].toward(Rate{
			Requests: float64(now.Requests-before.Requests) / elapsed.Seconds(),
			Tokens:   float64(now.Tokens-before.Tokens) / elapsed.Seconds(),
		}, weight)
		if now.Tokens != before.Tokens {
			increases = append(increases, Increase[K]{Key: key, Tokens: now.Tokens - before.Tokens})
		}
	}
	last.observedAt = at
	last.totals = totals
	slices.SortFunc(increases, func(a, b Increase[K]) int { return cmp.Compare(a.Key, b.Key) })
	return increases
}

// Keep drops the daemons that are not in kept.
func (t *Tracker[K]) Keep(kept map[models.DaemonID]bool) {
	for daemon := range t.daemons {
		if !kept[daemon] {
			delete(t.daemons, daemon)
		}
	}
}

// Rate returns a daemon's rate for a key.
func (t *Tracker[K]) Rate(daemon models.DaemonID, key K) Rate {
	if record, ok := t.daemons[daemon]; ok {
		return record.rates[key]
	}
	return Rate{}
}

// Sum returns the rate of all daemons for a key.
func (t *Tracker[K]) Sum(key K) Rate {
	var sum Rate
	for _, daemon := range slices.Sorted(maps.Keys(t.daemons)) {
		record := t.daemons[daemon]
		sum.Requests += record.rates[key].Requests
		sum.Tokens += record.rates[key].Tokens
	}
	return sum
}

// Total returns the rate of all daemons for all keys.
func (t *Tracker[K]) Total() Rate {
	keys := map[K]bool{}
	for _, record := range t.daemons {
		for key := range record.rates {
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

// toward returns the average of both rates, with the given weight of newer.
func (r Rate) toward(newer Rate, weight float64) Rate {
	return Rate{
		Requests: r.Requests + weight*(newer.Requests-r.Requests),
		Tokens:   r.Tokens + weight*(newer.Tokens-r.Tokens),
	}
}
