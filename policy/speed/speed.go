// Package speed tells slow backend servers from the others of their kind, by how long
// requests take there beside what was predicted for a typical one. It is made for
// servers that turn several times as slow for some seconds while their health checks
// stay good, in fleets in which one daemon rarely meets the same server twice: what
// daemons observe is summed up and passed on.
package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// memory is the time constant with which observations lose their weight. A server
	// that gets no requests counts as typical again after some of it, and the next
	// requests show whether it is.
	memory = 4 * time.Second
	// maxWeight bounds the weight of all observations, so that a server that has been
	// typical for long is found to be slow after as few more. minKnown is the smallest
	// weight that says anything.
	maxWeight = 4
	minKnown  = 2
	// priorWeight is the weight, in observations, of the assumption that a server is
	// typical.
	priorWeight = 1
	// maxRatio bounds how much slower or faster than predicted a single request
	// counts.
	maxRatio = 8
	// minFactor and maxFactor bound the factor of a server.
	minFactor = 0.5
	maxFactor = 16
	// deadband is the factor up to which a server counts as typical, either way:
	// predictions are off by as much.
	deadband = 1.45
	// SlowFactor is the factor from which a server is reported as slow, and
	// soundFactor the one below which it is reported as well again.
	SlowFactor  = 1.5
	soundFactor = 1.45
)

// Sample is a sum of observations of one server.
type Sample struct {
	Weight float64 // number of observations
	LogSum float64 // of the logarithms of their ratios
}

// NewSample returns the observation that a request took some time where another was
// predicted.
func NewSample(taken, predicted time.Duration) Sample {
	if taken <= 0 || predicted <= 0 {
		return Sample{}
	}
	limit := math.Log(maxRatio)
	ratio := math.Log(taken.Seconds() / predicted.Seconds())
	return Sample{Weight: 1, LogSum: min(max(ratio, -limit), limit)}
}

// Add returns the sum of two samples.
func (s Sample) Add(other Sample) Sample {
	return Sample{Weight: s.Weight + other.Weight, LogSum: s.LogSum + other.LogSum}
}

// Valid reports whether a sample may be the sum of observations.
func (s Sample) Valid() bool {
	return s.Weight >= 0 && !math.IsInf(s.Weight, 0) && math.Abs(s.LogSum) <= s.Weight*math.Log(maxRatio)*(1+1e-9)
}

// Estimate is what is known of the speed of one server. Its zero value stands for a
// typical one.
type Estimate struct {
	sum  Sample // as of at
	at   time.Time
	slow bool // was reported as slow
}

// Observe adds observations.
func (e *Estimate) Observe(s Sample, now time.Time) {
	e.sum = e.decayed(now).Add(s)
	if e.sum.Weight > maxWeight {
		e.sum.LogSum *= maxWeight / e.sum.Weight
		e.sum.Weight = maxWeight
	}
	e.at = now
}

func (e *Estimate) decayed(now time.Time) Sample {
	left := math.Exp(-now.Sub(e.at).Seconds() / memory.Seconds())
	return Sample{Weight: e.sum.Weight * left, LogSum: e.sum.LogSum * left}
}

// Known reports whether there are observations that still have weight.
func (e *Estimate) Known(now time.Time) bool {
	return e.decayed(now).Weight >= minKnown
}

// Raw returns how many times as long as predicted requests take at the server.
func (e *Estimate) Raw(now time.Time) float64 {
	sum := e.decayed(now)
	return math.Exp(sum.LogSum / (sum.Weight + priorWeight))
}

// Factor returns how many times as long as at a typical server, for which Raw returns
// the reference, requests take. It is 1 within the deadband.
func (e *Estimate) Factor(reference float64, now time.Time) float64 {
	factor := min(max(e.Raw(now)/reference, minFactor), maxFactor)
	if factor < deadband && factor > 1/deadband {
		return 1
	}
	return factor
}

// Report returns whether the server counts as slow, given its factor, and whether that
// has changed since the last call.
func (e *Estimate) Report(factor float64) (slow, changed bool) {
	before := e.slow
	switch {
	case factor >= SlowFactor:
		e.slow = true
	case factor < soundFactor:
		e.slow = false
	}
	return e.slow, e.slow != before
}

// Reference returns what a typical one of some servers has: the median, so that a
// service that turns slow as a whole has no outliers. It is 1 for none.
func Reference(raw []float64) float64 {
	if len(raw) == 0 {
		return 1
	}
	slices.Sort(raw)
	return raw[(len(raw)-1)/2]
}
