package work

import (
	"math"
	"slices"
	"time"

	"quincewinch/policy/speed"
)

const (
	// blockLength is the time whose observations count as one: a machine that is busy for
	// some hundred milliseconds slows all requests of that time.
	blockLength = time.Second
	// maxBlocks bounds the blocks that are kept, and blockRetention their age.
	maxBlocks      = 15
	blockRetention = time.Minute
	// minBlocks is the number of blocks from which a difference may count as lasting, and
	// oddsWidth by how many standard deviations more of them have to lie on its side of
	// the others' speed than would by chance.
	minBlocks = 6
	oddsWidth = 2.0
	// minDifference is the smallest difference that counts, either way.
	minDifference = 1.1
	// minLasting and maxLasting bound the factor: makes of servers differ by no more, and
	// a server with a large factor would get too few requests to show that it has gone.
	minLasting = 0.4
	maxLasting = 2.5
)

// Lasting tells whether a server is faster or slower than others for good. Its zero value
// knows nothing.
type Lasting struct {
	blocks []block // oldest first
	open   speed.Sample
	begun  time.Time // of the open block
}

type block struct {
	mean float64 // logarithm of the ratio
	at   time.Time
}

// Observe adds observations.
func (l *Lasting) Observe(s speed.Sample, now time.Time) {
	if l.open.Weight > 0 && now.Sub(l.begun) >= blockLength {
		l.blocks = append(l.blocks, block{mean: l.open.LogSum / l.open.Weight, at: l.begun})
		l.blocks = l.blocks[max(0, len(l.blocks)-maxBlocks):]
		l.open = speed.Sample{}
	}
	if l.open.Weight == 0 {
		l.begun = now
	}
	l.open = l.open.Add(s)
}

// differences returns by how much the recent blocks differ from a reference, in order.
func (l *Lasting) differences(reference float64, now time.Time) []float64 {
	list := make([]float64, 0, maxBlocks)
	base := math.Log(reference)
	for _, b := range l.blocks {
		if now.Sub(b.at) <= blockRetention {
			list = append(list, b.mean-base)
		}
	}
	slices.Sort(list)
	return list
}

// Raw returns how many times as long as predicted requests take at the server, and
// whether enough is known of it.
func (l *Lasting) Raw(now time.Time) (ratio float64, known bool) {
	list := l.differences(1, now)
	if len(list) < minBlocks {
		return 1, false
	}
	return math.Exp(median(list)), true
}

// Factor returns how many times as long as at a typical server, for which Raw returns
// the reference, requests take for good: 1 unless that is clear.
func (l *Lasting) Factor(reference float64, now time.Time) float64 {
	list := l.differences(reference, now)
	if len(list) < minBlocks {
		return 1
	}
	middle := median(list)
	if math.Abs(middle) < math.Log(minDifference) {
		return 1
	}
	side := 0
	for _, d := range list {
		if d*middle > 0 {
			side++
		}
	}
	blocks := float64(len(list))
	if float64(side) < blocks/2+oddsWidth*math.Sqrt(blocks)/2 {
		return 1
	}
	return min(max(math.Exp(middle), minLasting), maxLasting)
}

// median returns the lower median of a sorted list.
func median(sorted []float64) float64 {
	return sorted[(len(sorted)-1)/2]
}
