// Package trace generates traces of offered work from a seed, replays them in
// virtual time against strategies for choosing roles, and computes the best
// result possible in hindsight. Engines follow the cost model of
// docs/design/cost-model.md.
package trace

import (
	"math"
	"math/rand/v2"
	"time"

	"quincewinch/models"
	"quincewinch/policy/fleet"
)

// Tick is the resolution of virtual time.
const Tick = time.Second

const (
	zoneCount      = 2
	enginesPerZone = 6
	cheapPerZone   = 2
	traceTicks     = 900
	shiftAt        = 300        // tick at which the mix shifts or a fault begins
	offeredWork    = 10.8       // engines kept busy in all zones
	prefillBefore  = 0.35       // share of prefill before the shift
	prefillAfter   = 0.35 * 1.5 // share of prefill after the shift
	noise          = 0.05       // standard deviation of one tick's work, relative
)

// Workspace is a workspace with its own mix of prefill and decode.
type Workspace struct {
	Name        models.Workspace
	Share       float64 // of all work
	PrefillTilt float64 // its prefill work relative to the average mix
}

// Workspaces holds the workspaces that offer the work of each trace.
var Workspaces = []Workspace{
	{"sales", 0.4, 0.8}, {"stock", 0.3, 1.0}, {"suppliers", 0.2, 1.3}, {"trial", 0.1, 1.2},
}

// Outage makes engines unavailable for a range of ticks.
type Outage struct {
	From, Until int
	Zone        int  // whose cheap engines are evicted, or -1 for none
	Crash       bool // one engine crashes, during its change if any is changing
}

// Trace holds the work offered in each tick by zone, and the faults.
type Trace struct {
	Name           string
	Work           [][zoneCount]fleet.Work
	Outages        []Outage
	PartitionFrom  int     // first tick of the network partition between the zones
	PartitionUntil int     // first tick after it
	BaselineShare  float64 // share of prefill in the mix that the initial split fits
}

// Traces returns all traces, generated from a seed.
func Traces(seed uint64) []Trace {
	step := func(t int) float64 { return prefillShare(t >= shiftAt) }
	return []Trace{
		build("step swing", seed, step, constantLevel),
		build("ramp", seed, func(t int) float64 {
			part := float64(t-shiftAt) / shiftAt
			return prefillBefore + (prefillAfter-prefillBefore)*min(max(part, 0), 1)
		}, constantLevel),
		build("daily wave", seed, func(t int) float64 {
			return prefillBefore * (1 + 0.5*math.Sin(2*math.Pi*float64(t)/traceTicks))
		}, constantLevel),
		withNoise(build("noise around the line", seed, func(int) float64 { return prefillBefore }, constantLevel), seed),
		build("flash crowd", seed, func(t int) float64 { return prefillShare(t >= shiftAt && t < shiftAt+60) },
			func(t int) float64 {
				if t >= shiftAt && t < shiftAt+60 {
					return 1.3
				}
				return 1
			}),
		withOutage(build("crash during a change", seed, step, constantLevel), Outage{From: shiftAt + 6, Until: shiftAt + 126, Zone: -1, Crash: true}),
		withOutage(build("eviction at the swing", seed, step, constantLevel), Outage{From: shiftAt, Until: shiftAt + 120, Zone: 0}),
		withPartition(build("partition at the swing", seed, step, constantLevel)),
	}
}

func constantLevel(int) float64 { return 1 }

func prefillShare(shifted bool) float64 {
	if shifted {
		return prefillAfter
	}
	return prefillBefore
}

// build generates a trace from the share of prefill and the level of all work
// at each tick.
func build(name string, seed uint64, share, level func(int) float64) Trace {
	random := rand.New(rand.NewPCG(seed, 1))
	trace := Trace{Name: name, BaselineShare: prefillBefore}
	for t := range traceTicks {
		var tick [zoneCount]fleet.Work
		for zone := range tick {
			total := offeredWork * level(t) / zoneCount
			tick[zone] = fleet.Work{
				Prefill: total * share(t) * jitter(random),
				Decode:  total * (1 - share(t)) * jitter(random),
			}
		}
		trace.Work = append(trace.Work, tick)
	}
	return trace
}

func jitter(random *rand.Rand) float64 {
	return max(0, 1+noise*random.NormFloat64())
}

// withNoise multiplies the prefill work by a random factor, drawn every 5
// ticks, so that the mix fluctuates around the threshold of Greedy.
func withNoise(trace Trace, seed uint64) Trace {
	random := rand.New(rand.NewPCG(seed, 2))
	factor := 1.0
	for t := range trace.Work {
		if t%5 == 0 {
			factor = 1 + 0.15*random.NormFloat64()
		}
		for zone := range trace.Work[t] {
			trace.Work[t][zone].Prefill *= max(factor, 0)
		}
	}
	return trace
}

func withOutage(trace Trace, outage Outage) Trace {
	trace.Outages = append(trace.Outages, outage)
	return trace
}

func withPartition(trace Trace) Trace {
	trace.PartitionFrom, trace.PartitionUntil = shiftAt, shiftAt+200
	return trace
}

// partitionedAt reports whether the zones are partitioned at a tick.
func (t Trace) partitionedAt(tick int) bool {
	return tick >= t.PartitionFrom && tick < t.PartitionUntil
}
