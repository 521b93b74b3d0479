package trace

import (
	"math"
	"strconv"
	"time"

	"quincewinch/models"
	"quincewinch/policy/fleet"
)

// RoleChangeCost is the cost of a change of role in the cost model.
var RoleChangeCost = fleet.ChangeCost{Downtime: 6 * time.Second, CacheRebuild: 2 * time.Second}

const (
	observationLag = 2 // ticks until a strategy observes the offered work
	changeTicks    = 8 // ticks that an engine is unavailable during a change
	groupName      = "catalogue"
	allZones       = -1
)

// View is the input of a strategy on one side of a partition.
type View struct {
	At      time.Time
	Zones   []int        // reachable zones
	Offered []fleet.Work // in each of Zones, observationLag ticks ago
	Engines []fleet.Engine
}

// Strategy chooses changes of role.
type Strategy interface {
	Choose(view View) []fleet.RoleChange
}

// Result is the outcome of a strategy on a trace.
type Result struct {
	Goodput    float64 // engine-seconds of work served
	Offered    float64 // engine-seconds of work offered
	Changes    int     // number of role changes
	WorstShare float64 // served share of the work of the worst-served workspace
}

// engine is an engine in a replay.
type engine struct {
	fleet.Engine
	zone             int
	cheap            bool
	unavailableUntil int // tick at which it takes work again
}

// replay is the state of a replay of one trace.
type replay struct {
	trace   Trace
	engines []*engine
	result  Result
	served  []float64 // by workspace
	offered []float64
	crashed bool
}

// Replay runs a trace with one strategy for each zone. During a partition each
// strategy sees only the engines and the work of its own zone.
func Replay(trace Trace, strategies [zoneCount]Strategy) Result {
	r := newReplay(trace)
	for t := range trace.Work {
		r.applyFaults(t)
		r.serve(t)
		r.decide(t, strategies)
	}
	r.result.WorstShare = math.Inf(1)
	for i := range Workspaces {
		r.result.WorstShare = min(r.result.WorstShare, r.served[i]/r.offered[i])
	}
	return r.result
}

func newReplay(trace Trace) *replay {
	r := &replay{
		trace:   trace,
		served:  make([]float64, len(Workspaces)),
		offered: make([]float64, len(Workspaces)),
	}
	prefill := baselineSplit(trace).Prefill
	for i := range zoneCount * enginesPerZone {
		zone := i % zoneCount
		role := models.RoleDecode
		if i < prefill {
			role = models.RolePrefill
		}
		r.engines = append(r.engines, &engine{
			Engine: fleet.Engine{
				ID:    models.EngineID("engine-" + strconv.Itoa(100+i)),
				Zone:  zoneName(zone),
				Group: groupName,
				Role:  role,
			},
			zone:  zone,
			cheap: i/zoneCount >= enginesPerZone-cheapPerZone,
		})
	}
	return r
}

// baselineSplit returns the split that fits the trace's baseline mix.
func baselineSplit(trace Trace) fleet.Split {
	all := zoneCount * enginesPerZone
	prefill := int(math.Round(trace.BaselineShare * float64(all)))
	return fleet.Split{Prefill: prefill, Decode: all - prefill}
}

func zoneName(zone int) models.Zone {
	return models.Zone("zone-" + strconv.Itoa(zone))
}

// applyFaults makes the engines unavailable that a fault affects at a tick.
func (r *replay) applyFaults(t int) {
	for _, o := range r.trace.Outages {
		if t < o.From || t >= o.Until {
			continue
		}
		if o.Crash {
			r.crash(t, o)
			continue
		}
		for _, e := range r.engines {
			if e.zone == o.Zone && e.cheap {
				e.unavailableUntil = max(e.unavailableUntil, o.Until)
			}
		}
	}
}

// crash makes an engine that is changing unavailable, or the first engine if
// none is. It acts once per trace.
func (r *replay) crash(t int, o Outage) {
	if r.crashed {
		return
	}
	r.crashed = true
	crashed := r.engines[0]
	for _, e := range r.engines {
		if e.unavailableUntil > t {
			crashed = e
			break
		}
	}
	crashed.unavailableUntil = o.Until
}

// serve records the work that the engines serve in a tick.
func (r *replay) serve(t int) {
	if r.trace.partitionedAt(t) {
		for zone := range zoneCount {
			r.serveSide(r.split(t, zone), r.trace.Work[t][zone])
		}
		return
	}
	r.serveSide(r.split(t, allZones), sumZones(r.trace.Work[t]))
}

func (r *replay) serveSide(split fleet.Split, work fleet.Work) {
	share := split.ServedShare(work)
	r.result.Goodput += share * work.Total()
	r.result.Offered += work.Total()
	for i, w := range Workspaces {
		offered := w.Share * (w.PrefillTilt*work.Prefill + work.Decode)
		r.offered[i] += offered
		r.served[i] += share * offered
	}
}

// split counts the engines by role that take work, of one zone or of allZones.
func (r *replay) split(t, zone int) fleet.Split {
	var split fleet.Split
	for _, e := range r.engines {
		if (zone == allZones || e.zone == zone) && e.unavailableUntil <= t {
			split = split.With(e.Role, 1)
		}
	}
	return split
}

// decide lets each strategy choose changes and starts those of engines in the
// strategy's own zone.
func (r *replay) decide(t int, strategies [zoneCount]Strategy) {
	for zone, strategy := range strategies {
		view := r.view(t, zone)
		for _, change := range strategy.Choose(view) {
			if r.trace.partitionedAt(t) || change.Zone == zoneName(zone) {
				r.beginChange(t, change)
			}
		}
	}
}

func (r *replay) view(t, zone int) View {
	view := View{At: time.Unix(0, 0).Add(time.Duration(t) * Tick)}
	work := r.trace.Work[max(t-observationLag, 0)]
	for other := range zoneCount {
		if other != zone && r.trace.partitionedAt(t) {
			continue
		}
		view.Zones = append(view.Zones, other)
		view.Offered = append(view.Offered, work[other])
	}
	for _, e := range r.engines {
		if e.zone != zone && r.trace.partitionedAt(t) {
			continue
		}
		observed := e.Engine
		observed.Unavailable = e.unavailableUntil > t
		view.Engines = append(view.Engines, observed)
	}
	return view
}

func (r *replay) beginChange(t int, change fleet.RoleChange) {
	for _, e := range r.engines {
		if e.ID == change.Engine && e.unavailableUntil <= t && e.Role != change.To {
			e.Role = change.To
			e.unavailableUntil = t + 1 + changeTicks
			r.result.Changes++
		}
	}
}

func sumZones(work [zoneCount]fleet.Work) fleet.Work {
	var sum fleet.Work
	for _, w := range work {
		sum = sum.Add(w)
	}
	return sum
}
