package trace

import (
	"math"

	"quincewinch/policy/fleet"
)

const (
	// epochTicks is the interval between two decisions of the search, in
	// ticks. It is longer than changeTicks, so that a change ends within its
	// epoch.
	epochTicks = 10
	// maxMovesPerEpoch limits how many engines may change roles in one epoch.
	maxMovesPerEpoch = 4
	// changePenalty keeps the search from changes with a negligible gain. It
	// is in engine-seconds per change.
	changePenalty = 2
)

// Hindsight returns the best result that any choice of roles could have
// achieved on a trace. It runs a dynamic program over all splits that knows
// the work and the faults in advance and assumes that a fault takes the
// engines whose loss costs the least goodput.
func Hindsight(trace Trace) Result {
	h := newHindsight(trace)
	for t := 0; t < len(trace.Work); t += epochTicks {
		h.step(t)
	}
	return h.result()
}

// state holds the split of each zone if the trace has a partition, and
// otherwise one split of all engines.
type state []fleet.Split

// stateKey is a state in a form that can be a map key.
type stateKey [zoneCount]fleet.Split

func keyOf(s state) stateKey {
	var k stateKey
	copy(k[:], s)
	return k
}

// move is a transition from one state to another.
type move struct {
	from    int
	changed int      // number of engines that change roles
	kept    stateKey // engines that keep their roles
}

// hindsight is the frontier of the dynamic program: the best path to each
// state.
type hindsight struct {
	trace   Trace
	sides   int
	states  []state
	moves   [][]move  // transitions into each state
	value   []float64 // goodput less the penalties of changes
	goodput []float64
	changes []int
}

func newHindsight(trace Trace) *hindsight {
	h := &hindsight{trace: trace, sides: 1}
	if trace.PartitionUntil > trace.PartitionFrom {
		h.sides = zoneCount
	}
	h.states = product(splits(zoneCount*enginesPerZone/h.sides), h.sides)
	h.value = make([]float64, len(h.states))
	h.goodput = make([]float64, len(h.states))
	h.changes = make([]int, len(h.states))
	for i, s := range h.states {
		if total(s) != baselineSplit(trace) {
			h.value[i] = math.Inf(-1)
		}
	}
	h.moves = make([][]move, len(h.states))
	for i, from := range h.states {
		for j, to := range h.states {
			if changed := movedEngines(from, to); changed <= maxMovesPerEpoch {
				h.moves[j] = append(h.moves[j], move{from: i, changed: changed, kept: keyOf(unchanged(from, to))})
			}
		}
	}
	return h
}

// step extends each path by one epoch.
func (h *hindsight) step(t int) {
	value := make([]float64, len(h.states))
	goodput := make([]float64, len(h.states))
	count := make([]int, len(h.states))
	cache := newEpochCache(h.trace, t, h.sides)
	for j, to := range h.states {
		value[j] = math.Inf(-1)
		afterChange := cache.afterChange(to)
		for _, m := range h.moves[j] {
			if math.IsInf(h.value[m.from], -1) {
				continue
			}
			gain := cache.duringChange(m.kept) + afterChange
			v := h.value[m.from] + gain - changePenalty*float64(m.changed)
			if v > value[j] {
				value[j], goodput[j], count[j] = v, h.goodput[m.from]+gain, h.changes[m.from]+m.changed
			}
		}
	}
	h.value, h.goodput, h.changes = value, goodput, count
}

func (h *hindsight) result() Result {
	best := 0
	for i := range h.value {
		if h.value[i] > h.value[best] {
			best = i
		}
	}
	result := Result{Goodput: h.goodput[best], Changes: h.changes[best]}
	for _, work := range h.trace.Work {
		result.Offered += sumZones(work).Total()
	}
	return result
}

// epochCache computes the goodput of splits in one epoch and caches it for the
// first part of the epoch, during which changing engines are unavailable.
type epochCache struct {
	trace Trace
	start int
	sides int
	seen  map[stateKey]float64
}

func newEpochCache(trace Trace, start, sides int) *epochCache {
	return &epochCache{trace: trace, start: start, sides: sides, seen: map[stateKey]float64{}}
}

func (c *epochCache) duringChange(kept stateKey) float64 {
	if value, ok := c.seen[kept]; ok {
		return value
	}
	value := c.goodput(kept[:c.sides], c.start, c.start+changeTicks)
	c.seen[kept] = value
	return value
}

func (c *epochCache) afterChange(s state) float64 {
	return c.goodput(s, c.start+changeTicks, c.start+epochTicks)
}

func (c *epochCache) goodput(s state, from, until int) float64 {
	sum := 0.0
	for t := from; t < min(until, len(c.trace.Work)); t++ {
		if c.sides > 1 && c.trace.partitionedAt(t) {
			for zone, split := range s {
				sum += split.Goodput(c.trace.Work[t][zone])
			}
			continue
		}
		sum += goodputWithout(total(s), c.lost(t), sumZones(c.trace.Work[t]))
	}
	return sum
}

// lost returns how many engines are unavailable at a tick because of faults.
func (c *epochCache) lost(t int) int {
	lost := 0
	for _, o := range c.trace.Outages {
		if t < o.From || t >= o.Until {
			continue
		}
		if o.Crash {
			lost++
		} else {
			lost += cheapPerZone
		}
	}
	return lost
}

// goodputWithout returns the goodput after the loss of some engines, chosen so
// that the goodput is highest.
func goodputWithout(s fleet.Split, lost int, work fleet.Work) float64 {
	if lost == 0 {
		return s.Goodput(work)
	}
	best := 0.0
	for _, reduced := range []fleet.Split{
		{Prefill: s.Prefill - 1, Decode: s.Decode, Both: s.Both},
		{Prefill: s.Prefill, Decode: s.Decode - 1, Both: s.Both},
		{Prefill: s.Prefill, Decode: s.Decode, Both: s.Both - 1},
	} {
		if reduced.Prefill >= 0 && reduced.Decode >= 0 && reduced.Both >= 0 {
			best = max(best, goodputWithout(reduced, lost-1, work))
		}
	}
	return best
}

// splits returns all splits of the given number of engines.
func splits(engines int) []fleet.Split {
	var all []fleet.Split
	for prefill := range engines + 1 {
		for decode := range engines + 1 - prefill {
			all = append(all, fleet.Split{Prefill: prefill, Decode: decode, Both: engines - prefill - decode})
		}
	}
	return all
}

// product returns all states that combine one split for each side.
func product(splits []fleet.Split, sides int) []state {
	states := []state{{}}
	for range sides {
		var longer []state
		for _, s := range states {
			for _, split := range splits {
				longer = append(longer, append(append(state{}, s...), split))
			}
		}
		states = longer
	}
	return states
}

func total(s state) fleet.Split {
	var sum fleet.Split
	for _, split := range s {
		sum = sum.Add(split)
	}
	return sum
}

// unchanged returns the engines that keep their roles between two states.
func unchanged(a, b state) state {
	kept := make(state, len(a))
	for i := range a {
		kept[i] = fleet.Split{
			Prefill: min(a[i].Prefill, b[i].Prefill),
			Decode:  min(a[i].Decode, b[i].Decode),
			Both:    min(a[i].Both, b[i].Both),
		}
	}
	return kept
}

// movedEngines returns how many engines change roles between two states.
func movedEngines(a, b state) int {
	moved := 0
	for i, kept := range unchanged(a, b) {
		moved += a[i].Engines() - kept.Engines()
	}
	return moved
}
