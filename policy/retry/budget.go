// Package retry bounds the number of retries, so that they do not turn a
// shortage into an overload.
package retry

import (
	"time"
)

// bucketCount is the number of buckets that a window is divided into. Buckets expire as
// a whole: requests count for at most a window, retries for at least one.
const bucketCount = 20

// Settings bound the retries in any window.
type Settings struct {
	Ratio   float64 // retries per request in the window
	Reserve float64 // retries beyond Ratio
	Window  time.Duration
}

// Budget counts the requests and retries of one service. It is not safe for
// concurrent use.
type Budget struct {
	settings Settings
	pending  float64 // calls that become retries if they are rejected
	buckets  [bucketCount + 1]bucket
}

type bucket struct {
	number   int64 // of the time slot
	requests float64
	retries  float64
	accepted float64 // calls that Begin has allowed
}

// NewBudget returns an unused budget.
func NewBudget(settings Settings) *Budget {
	return &Budget{settings: settings}
}

// SetLimits changes the number of retries allowed, but not the window.
func (b *Budget) SetLimits(ratio, reserve float64) {
	b.settings.Ratio = ratio
	b.settings.Reserve = reserve
}

// RecordRequest counts a request, but not its retries.
func (b *Budget) RecordRequest(now time.Time) {
	b.current(now).requests++
}

// AllowRetry reports whether the budget allows a retry, and counts it if so.
func (b *Budget) AllowRetry(now time.Time) bool {
	if b.Usage(now).UsedUp() {
		return false
	}
	b.current(now).retries++
	return true
}

// Begin reports whether a call may be made that becomes a retry if it is rejected, and
// keeps room for that until End. As long as the window has no retry, one more call at
// once than were accepted in it needs no room.
func (b *Budget) Begin(now time.Time) bool {
	usage := b.Usage(now)
	trusted := usage.Retries == usage.Pending && usage.Pending <= usage.Accepted
	if usage.UsedUp() && !trusted {
		return false
	}
	b.pending++
	return true
}

// Ending is how a call ended that Begin had allowed.
type Ending int

// Endings of a call.
const (
	Accepted Ending = iota
	Rejected        // or not known to be accepted
	NotSent
)

// End ends a call that Begin has allowed.
func (b *Budget) End(now time.Time, ending Ending) {
	b.pending--
	switch ending {
	case Accepted:
		b.current(now).accepted++
	case Rejected:
		b.current(now).retries++
	case NotSent:
	}
}

// Usage is how much of a budget has been used in the window.
type Usage struct {
	Requests float64
	Retries  float64 // Pending included
	Pending  float64 // calls that become retries if they are rejected
	Accepted float64 // such calls that were not
	Allowed  float64 // retries, the reserve included
	Reserve  float64
}

// UsedUp reports whether no retry is allowed.
func (u Usage) UsedUp() bool {
	return u.Retries+1 > u.Allowed
}

// Usage returns how much of the budget has been used.
func (b *Budget) Usage(now time.Time) Usage {
	usage := Usage{Pending: b.pending, Retries: b.pending, Reserve: b.settings.Reserve}
	latest := b.number(now)
	for _, slot := range b.buckets {
		age := latest - slot.number
		if age <= bucketCount {
			usage.Retries += slot.retries
		}
		if age < bucketCount {
			usage.Requests += slot.requests
			usage.Accepted += slot.accepted
		}
	}
	usage.Allowed = b.settings.Ratio*usage.Requests + usage.Reserve
	return usage
}

func (b *Budget) current(now time.Time) *bucket {
	number := b.number(now)
	slot := &b.buckets[number%int64(len(b.buckets))]
	if slot.number != number {
		*slot = bucket{number: number}
	}
	return slot
}

func (b *Budget) number(now time.Time) int64 {
	return now.UnixNano() / int64(b.settings.Window/bucketCount)
}
