// Package outlier takes engines out that fail, hang or are far slower than
// predicted, probes them, and lets them in again.
package outlier

import (
	"cmp"
	"slices"
	"time"

	"quincewinch/models"
)

const (
	// failuresToEject is how many requests in a row have to fail.
	failuresToEject = 3
	// slownessToEject is how many times slower than the median of all engines
	// an engine has to be, and slowToEject how many answers have to be so.
	slownessToEject = 3
	slowToEject     = 5
	// shortestEjection is the time of the first ejection; each further one
	// is twice as long, up to the longest.
	shortestEjection = 5 * time.Second
	longestEjection  = 2 * time.Minute
	// probeTimeout is how long a probe may take before another one is sent.
	probeTimeout = 10 * time.Second
	// pardon is how long an engine has to do well until its earlier ejections
	// are forgotten.
	pardon = 5 * time.Minute
	// newness is the weight of the latest answer in the mean slowness.
	newness = 0.2
	// medianEvery is how many answers pass until the median is reckoned again.
	medianEvery = 32
	// MostEjected is the greatest share of engines that may be out at once.
	MostEjected = 0.4
)

// Observation is how one request fared at an engine.
type Observation struct {
	Failed    bool
	Predicted time.Duration // for the whole answer as it turned out; 0: there was no forecast
	Taken     time.Duration
}

// ratio returns the time taken against that predicted.
func (o Observation) ratio() float64 {
	if o.Predicted <= 0 {
		return 1
	}
	return o.Taken.Seconds() / o.Predicted.Seconds()
}

// Standing tells whether an engine may get requests.
type Standing string

// Standings of an engine.
const (
	In    Standing = "in"
	Out   Standing = "out"
	Probe Standing = "probe" // one repeatable request may try it
)

// Detector keeps the record of each engine.
type Detector struct {
	records  map[models.EngineID]*record
	changes  uint64
	typical  float64 // median slowness, as last reckoned
	observed int     // answers since then
}

type record struct {
	failures  int // in a row
	slow      int // answers in a row
	slowness  float64
	ejections int
	until     time.Time // out until then, and on trial after it; zero: in
	probed    time.Time // when the last probe was sent
	since     time.Time // in since then
}

// NewDetector returns a detector without records.
func NewDetector() *Detector {
	return &Detector{records: map[models.EngineID]*record{}}
}

// Changes grows with each change of a standing.
func (d *Detector) Changes() uint64 {
	return d.changes
}

// Observe takes in how a request fared, and reports whether the engine was
// ejected or let in by it.
func (d *Detector) Observe(engine models.EngineID, seen Observation, now time.Time) bool {
	r := d.of(engine)
	before := r.until
	if seen.Failed {
		d.failed(r, now)
	} else {
		d.answered(r, seen.ratio(), now)
	}
	changed := !r.until.Equal(before)
	if changed {
		d.changes++
	}
	return changed
}

func (d *Detector) failed(r *record, now time.Time) {
	r.failures++
	if !r.until.IsZero() && !now.Before(r.until) || r.until.IsZero() && r.failures >= failuresToEject {
		r.eject(now)
	}
}

func (d *Detector) answered(r *record, ratio float64, now time.Time) {
	r.failures = 0
	d.observed++
	if r.slowness == 0 {
		r.slowness = ratio
	}
	r.slowness += newness * (ratio - r.slowness)
	if ratio <= slownessToEject*d.median() {
		r.slow = 0
		r.letIn(now)
		return
	}
	r.slow++
	onTrial := !r.until.IsZero() && !now.Before(r.until)
	if onTrial || r.until.IsZero() && r.slow >= slowToEject {
		r.eject(now)
	}
}

// Slowness returns an engine's time observed against that predicted, in terms
// of the median engine; 0 while unknown.
func (d *Detector) Slowness(engine models.EngineID) float64 {
	r, ok := d.records[engine]
	if !ok || r.slowness == 0 {
		return 0
	}
	return r.slowness / d.median()
}

// Standings returns the standing of each engine given. Where too great a
// share would be out, those whose ejection ends first stay in.
func (d *Detector) Standings(engines []models.EngineID, now time.Time) map[models.EngineID]Standing {
	standings := make(map[models.EngineID]Standing, len(engines))
	var out []models.EngineID
	for _, engine := range engines {
		standings[engine] = d.standing(engine, now)
		if standings[engine] != In {
			out = append(out, engine)
		}
	}
	excess := len(out) - int(MostEjected*float64(len(engines)))
	if excess <= 0 {
		return standings
	}
	slices.SortFunc(out, func(a, b models.EngineID) int {
		return cmp.Or(d.records[a].until.Compare(d.records[b].until), cmp.Compare(a, b))
	})
	for _, engine := range out[:excess] {
		standings[engine] = In
	}
	return standings
}

func (d *Detector) standing(engine models.EngineID, now time.Time) Standing {
	r, ok := d.records[engine]
	switch {
	case !ok || r.until.IsZero():
		return In
	case now.Before(r.until) || now.Before(r.probed.Add(probeTimeout)):
		return Out
	}
	return Probe
}

// Probing notes that a probe was sent.
func (d *Detector) Probing(engine models.EngineID, now time.Time) {
	d.of(engine).probed = now
	d.changes++
}

// Ejected returns the engines that are out, and for how long yet.
func (d *Detector) Ejected(now time.Time) map[models.EngineID]time.Duration {
	ejected := map[models.EngineID]time.Duration{}
	for engine, r := range d.records {
		if now.Before(r.until) {
			ejected[engine] = r.until.Sub(now)
		}
	}
	return ejected
}

// Keep drops the records of engines that are not among those kept.
func (d *Detector) Keep(keep func(models.EngineID) bool) {
	for engine := range d.records {
		if !keep(engine) {
			delete(d.records, engine)
		}
	}
}

func (d *Detector) of(engine models.EngineID) *record {
	r, ok := d.records[engine]
	if !ok {
		r = &record{}
		d.records[engine] = r
	}
	return r
}

// median returns the median slowness of the engines that are in, at least 1.
func (d *Detector) median() float64 {
	if d.typical > 0 && d.observed < medianEvery {
		return d.typical
	}
	var all []float64
	for _, r := range d.records {
		if r.slowness > 0 && r.until.IsZero() {
			all = append(all, r.slowness)
		}
	}
	d.observed = 0
	d.typical = 1
	if len(all) > 0 {
		slices.Sort(all)
		d.typical = max(all[(len(all)-1)/2], 1)
	}
	return d.typical
}

func (r *record) eject(now time.Time) {
	if r.ejections > 0 && !r.since.IsZero() && now.Sub(r.since) > pardon {
		r.ejections = 0
	}
	length := min(shortestEjection<<min(r.ejections, 10), longestEjection)
	r.ejections++
	r.until = now.Add(length)
	r.probed = time.Time{}
	r.slow = 0
}

func (r *record) letIn(now time.Time) {
	if r.until.IsZero() || now.Before(r.until) {
		return
	}
	r.until = time.Time{}
	r.failures = 0
	r.slowness = 0
	r.since = now
}
