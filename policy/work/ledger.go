package work

import "time"

// Ledger adds up what is left of the requests of one daemon at one server. The zero value
// is an empty one.
//
// What is left of a request falls from its mean with the time that it has run, the less
// the more its kind varies: after any time as much is left as before of one that varies
// as much as an exponential distribution.
type Ledger struct {
	epoch    time.Time
	base     float64 // seconds left at epoch
	slope    float64 // seconds that are done per second
	expected float64 // sum of the means in seconds
	count    int
}

// Item is a request in a Ledger.
type Item struct {
	estimate Estimate
	begins   time.Time
}

// Estimate returns what the request was expected to take.
func (i Item) Estimate() Estimate {
	return i.estimate
}

// Begin adds a request that begins to run at a time.
func (l *Ledger) Begin(e Estimate, begins time.Time) Item {
	if l.count == 0 {
		*l = Ledger{epoch: begins}
	}
	item := Item{estimate: e, begins: begins}
	l.add(item, 1)
	l.count++
	return item
}

// End removes a request.
func (l *Ledger) End(item Item) {
	l.add(item, -1)
	l.count--
}

func (l *Ledger) add(item Item, sign float64) {
	slope := 1 - item.estimate.variation()
	mean := item.estimate.Mean.Seconds()
	l.base += sign * (mean + slope*item.begins.Sub(l.epoch).Seconds())
	l.slope += sign * slope
	l.expected += sign * mean
}

// Left returns the time that the requests still need at a typical server, one after the
// other.
func (l *Ledger) Left(now time.Time) time.Duration {
	if l.count == 0 {
		return 0
	}
	left := l.base - l.slope*now.Sub(l.epoch).Seconds()
	return seconds(min(max(left, minLeftShare*l.expected), l.expected))
}
