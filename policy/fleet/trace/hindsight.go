package trace

import (
	"math"

	"quincewinch/policy/fleet"
)

const (
	epochTicks = 10 // ticks between two of the search's decisions, over a change's time
	// maxMovesPerEpoch is how many engines may change in one epoch.
	maxMovesPerEpoch = 4
	// changePenalty keeps the search from changes that gain next to nothing,
	// in engine-seconds.
	changePenalty = 2
)

// Hindsight returns the best that any choice of roles could have done on a
// trace: a dynamic program over all splits, which knows the work and the
// faults beforehand. A fault takes the engines that are missed least.
func Hindsight(trace Trace) Result {
	h := newHindsight(trace)
	for t := 0; t < len(trace.Work); t += epochTicks {
		h.step(t)
	}
	return h.result()
}

// state is the split of each zone, or of all together where no partition is.
type state []fleet.Split

// stateKey is a state as a map's key.
type stateKey [zoneCount]fleet.Split

func keyOf(s state) stateKey {
	var k stateKey
	copy(k[:], s)
	return k
}

// move is a way from one state into another.
type move struct {
	from    int
	changed int      // engines that change roles
	kept    stateKey // engines that do not
}

// hindsight is the dynamic program's frontier: the best way into each state.
type hindsight struct {
	trace   Trace
	sides   int
	states  []state
	moves   [][]move // ways into each state
	value   []float64
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

// step extends each way by one epoch.
func (h *hindsight) step(t int) {
	value := make([]float64, len(h.states))
	good := make([]float64, len(h.states))
	count := make([]int, len(h.states))
	cache := newEpochCache(h.trace, t, h.sides)
	for j, to := range h.states {
		value[j] = math.Inf(-1)
		late := cache.afterChange(to)
		for _, m := range h.moves[j] {
			if math.IsInf(h.value[m.from], -1) {
				continue
			}
			gain := cache.duringChange(m.kept) + late
			v := h.value[m.from] + gain - changePenalty*float64(m.changed)
			if v > value[j] {
				value[j], good[j], count[j] = v, h.goodput[m.from]+gain, h.changes[m.from]+m.changed
			}
		}
	}
	h.value, h.goodput, h.changes = value, good, count
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

// epochCache remembers the goodput of splits in one epoch: early while changed
// engines are away, late after that.
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

// lost returns how many engines a fault keeps away at a tick.
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

// goodputWithout returns the goodput without some engines, those missed least.
func goodputWithout(s fleet.Split, lost int, work fleet.Work) float64 {
	if lost == 0 {
		return s.Goodput(work)
	}
	best := 0.0
	for _, smaller := range []fleet.Split{
		{Prefill: s.Prefill - 1, Decode: s.Decode, Both: s.Both},
		{Prefill: s.Prefill, Decode: s.Decode - 1, Both: s.Both},
		{Prefill: s.Prefill, Decode: s.Decode, Both: s.Both - 1},
	} {
		if smaller.Prefill >= 0 && smaller.Decode >= 0 && smaller.Both >= 0 {
			best = max(best, goodputWithout(smaller, lost-1, work))
		}
	}
	return best
}

// splits returns each way to give roles to so many engines.
func splits(engines int) []fleet.Split {
	var all []fleet.Split
	for prefill := range engines + 1 {
		for decode := range engines + 1 - prefill {
			all = append(all, fleet.Split{Prefill: prefill, Decode: decode, Both: engines - prefill - decode})
		}
	}
	return all
}

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
