// Package fleet plans the role and the models of each engine, the repair of
// engines and the number of backend servers. Every decision is a pure function
// of a snapshot and carries the figures that it is based on.
package fleet

import (
	"math"

	"quincewinch/models"
)

// MixedEfficiency is the throughput of an engine in both roles relative to an
// engine that does only prefill or only decode. It is below 1 because prefills
// delay the decode steps of the same engine.
const MixedEfficiency = 0.85

// Work is the offered load of each phase, in engines kept busy: seconds of
// engine time that callers request per second.
type Work struct {
	Prefill float64
	Decode  float64
}

// Total returns the number of engines that both phases keep busy.
func (w Work) Total() float64 {
	return w.Prefill + w.Decode
}

// PrefillShare returns prefill's share of the work, from 0 to 1.
func (w Work) PrefillShare() float64 {
	if w.Total() == 0 {
		return 0
	}
	return w.Prefill / w.Total()
}

// Add returns the sum of w and other.
func (w Work) Add(other Work) Work {
	return Work{Prefill: w.Prefill + other.Prefill, Decode: w.Decode + other.Decode}
}

// Scale returns the work multiplied by a factor.
func (w Work) Scale(factor float64) Work {
	return Work{Prefill: w.Prefill * factor, Decode: w.Decode * factor}
}

// Split counts engines by role.
type Split struct {
	Prefill int
	Decode  int
	Both    int
}

// Engines returns the number of engines.
func (s Split) Engines() int {
	return s.Prefill + s.Decode + s.Both
}

// With returns the split with count engines added to a role.
func (s Split) With(role models.Role, count int) Split {
	switch role {
	case models.RolePrefill:
		s.Prefill += count
	case models.RoleDecode:
		s.Decode += count
	default:
		s.Both += count
	}
	return s
}

// Add returns the sum of s and other.
func (s Split) Add(other Split) Split {
	return Split{Prefill: s.Prefill + other.Prefill, Decode: s.Decode + other.Decode, Both: s.Both + other.Both}
}

// ServedShare returns the share of the offered work that the split serves,
// from 0 to 1. Both phases are served in the same proportion. Engines in both
// roles take the work that exceeds the capacity of the single-role engines.
func (s Split) ServedShare(w Work) float64 {
	budget := MixedEfficiency * float64(s.Both)
	excess := max(0, w.Prefill-float64(s.Prefill)) + max(0, w.Decode-float64(s.Decode))
	if excess <= budget {
		return 1
	}
	first, second := w.Prefill, w.Decode
	low, high := saturationShare(s.Prefill, first), saturationShare(s.Decode, second)
	if low > high {
		first, second = second, first
		low, high = high, low
	}
	if spent := first * (high - low); budget <= spent || math.IsInf(high, 1) {
		return low + budget/first
	}
	return high + (budget-first*(high-low))/(first+second)
}

// saturationShare returns the share of a phase's work at which its single-role
// engines are saturated, or +Inf if the phase has no work.
func saturationShare(engines int, work float64) float64 {
	if work == 0 {
		return math.Inf(1)
	}
	return float64(engines) / work
}

// Goodput returns the work served, in engines kept busy.
func (s Split) Goodput(w Work) float64 {
	return s.ServedShare(w) * w.Total()
}
