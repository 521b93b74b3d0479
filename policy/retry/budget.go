// Package retry bounds how often requests are sent again, so that retries do
// not turn a shortage into an overload.
package retry

import (
	"time"
)

// slices is the number of parts into which the window is cut; the oldest part
// leaves as a whole.
const slices = 10

// Settings bound the requests sent again in any window.
type Settings struct {
	Ratio   float64 // of the requests in the window
	Reserve float64 // further ones
	Window  time.Duration
}

// Budget counts the requests of one service and those sent again. It is not
// safe for concurrent use.
type Budget struct {
	settings Settings
	parts    [slices]part
}

type part struct {
	number   int64 // of the part of time
	requests float64
	again    float64
}

// NewBudget returns an unused budget.
func NewBudget(settings Settings) *Budget {
	return &Budget{settings: settings}
}

// SetLimits changes how many requests may be sent again; the window stays.
func (b *Budget) SetLimits(ratio, reserve float64) {
	b.settings.Ratio = ratio
	b.settings.Reserve = reserve
}

// Request counts a request.
func (b *Budget) Request(now time.Time) {
	b.at(now).requests++
}

// Take takes one request sent again from the budget, and reports whether there
// was one.
func (b *Budget) Take(now time.Time) bool {
	requests, again := b.sums(now)
	if again+1 > b.settings.Ratio*requests+b.settings.Reserve {
		return false
	}
	b.at(now).again++
	return true
}

// Add counts a request sent again that could not be avoided.
func (b *Budget) Add(now time.Time) {
	b.at(now).again++
}

func (b *Budget) sums(now time.Time) (requests, again float64) {
	latest := b.number(now)
	for _, p := range b.parts {
		if latest-p.number < slices {
			requests += p.requests
			again += p.again
		}
	}
	return requests, again
}

func (b *Budget) at(now time.Time) *part {
	number := b.number(now)
	p := &b.parts[number%slices]
	if p.number != number {
		*p = part{number: number}
	}
	return p
}

func (b *Budget) number(now time.Time) int64 {
	return now.UnixNano() / int64(b.settings.Window/slices)
}
