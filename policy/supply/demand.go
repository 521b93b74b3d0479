package supply

import (
	"time"
)

const (
	// peakWindow is how long a peak of the load is remembered, so that backend
	// servers are not released between two bursts.
	peakWindow = 20 * time.Second
	// settleTime is how long the load is observed before it is acted on: after a
	// start backend servers register one by one.
	settleTime = 5 * time.Second
	// smoothing is the weight of the latest sample in the moving average whose
	// peak counts.
	smoothing = 0.2
)

// Demand remembers the peak number of busy backend servers of a service. It is
// not safe for concurrent use.
type Demand struct {
	startedAt time.Time
	average   float64
	peaks     []sample // falling, the highest first
}

type sample struct {
	at   time.Time
	busy float64
}

// Observe records how many backend servers are busy, partly busy ones as
// fractions. Samples come at regular intervals.
func (d *Demand) Observe(busy float64, now time.Time) {
	if d.startedAt.IsZero() {
		d.startedAt = now
	}
	d.average += smoothing * (busy - d.average)
	for len(d.peaks) > 0 && d.peaks[len(d.peaks)-1].busy <= d.average {
		d.peaks = d.peaks[:len(d.peaks)-1]
	}
	d.peaks = append(d.peaks, sample{at: now, busy: d.average})
	for now.Sub(d.peaks[0].at) > peakWindow {
		d.peaks = d.peaks[1:]
	}
}

// Peak returns the peak within peakWindow. It is known once settleTime has been
// observed, and whole once all of peakWindow has: until then there may have been
// a higher one.
func (d *Demand) Peak(now time.Time) (peak float64, known, whole bool) {
	if len(d.peaks) == 0 {
		return 0, false, false
	}
	observed := now.Sub(d.startedAt)
	return d.peaks[0].busy, observed >= settleTime, observed >= peakWindow
}
