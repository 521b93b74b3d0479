// Package fleet decides what each engine does: roles, models, repairs and the
// number of backend servers. Every decision is a pure function of a snapshot
// and carries the figures that it rests on.
package fleet

import (
	"math"

	"quincewinch/models"
)

// MixedEfficiency is what an engine in both roles gets done in a second,
// against one that does prefill or decode alone: prefills hold up its steps.
const MixedEfficiency = 0.85

// Work is work offered, in engines kept busy: seconds of engine time that
// callers ask for in each second.
type Work struct {
	Prefill float64
	Decode  float64
}

// Total returns the engines that both phases keep busy.
func (w Work) Total() float64 {
	return w.Prefill + w.Decode
}

// PrefillShare returns the share of prefill, from 0 to 1.
func (w Work) PrefillShare() float64 {
	if w.Total() == 0 {
		return 0
	}
	return w.Prefill / w.Total()
}

// Add returns the sum of both.
func (w Work) Add(other Work) Work {
	return Work{Prefill: w.Prefill + other.Prefill, Decode: w.Decode + other.Decode}
}

// Scale returns the work times a factor.
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

// With returns the split with so many engines more in a role.
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

// Add returns the sum of both.
func (s Split) Add(other Split) Split {
	return Split{Prefill: s.Prefill + other.Prefill, Decode: s.Decode + other.Decode, Both: s.Both + other.Both}
}

// ServedShare returns the share of the offered work that a split of engines
// serves, from 0 to 1. Engines in both roles take what the others leave.
func (s Split) ServedShare(w Work) float64 {
	budget := MixedEfficiency * float64(s.Both)
	over := max(0, w.Prefill-float64(s.Prefill)) + max(0, w.Decode-float64(s.Decode))
	if over <= budget {
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

// saturationShare returns the share of a phase's work at which its own engines are full.
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
