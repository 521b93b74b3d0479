// Package outlier ejects engines that fail, hang or are far slower than
// predicted, probes them, and readmits them.
package outlier

import (
	"cmp"
	"slices"
	"time"

	"quincewinch/models"
)

const (
	// failuresToEject is how many requests in a row have to fail for an
	// ejection.
	failuresToEject = 3
	// slownessToEject is how many times slower than the median engine an answer
	// has to be to count as slow, and slowAnswersToEject how many slow answers
	// in a row lead to an ejection.
	slownessToEject    = 3
	slowAnswersToEject = 5
	// minEjection is the duration of the first ejection. Each further one is
	// twice as long, up to maxEjection.
	minEjection = 5 * time.Second
	maxEjection = 2 * time.Minute
	// probeTimeout is how long a probe may take before the next one is sent.
	probeTimeout = 10 * time.Second
	// ejectionResetAfter is how long an engine has to stay in service until the
	// count of its ejections is reset.
	ejectionResetAfter = 5 * time.Minute
	// slownessWeight is the weight of the latest answer in the moving average of
	// the slowness.
	slownessWeight = 0.2
	// medianInterval is the number of answers between computations of the median.
	medianInterval = 32
	// MaxEjectedShare is the largest share of engines that may be ejected at
	// once.
	MaxEjectedShare = 0.4
)

// Observation is the outcome of one request at an engine.
type Observation struct {
	Failed    bool
	Predicted time.Duration // for an answer of the actual length; 0: no prediction
	Taken     time.Duration
}

// ratio returns the time taken over the time predicted.
func (o Observation) ratio() float64 {
	if o.Predicted <= 0 {
		return 1
	}
	return o.Taken.Seconds() / o.Predicted.Seconds()
}

// Status is whether an engine may get requests.
type Status string

// Statuses of an engine.
const (
	InService Status = "in"
	Ejected   Status = "out"
	ProbeDue  Status = "probe" // one repeatable request may be sent as a probe
)

// Detector detects outliers among engines by the outcomes of their requests.
type Detector struct {
	records        map[models.EngineID]*record
	changes        uint64
	medianSlowness float64 // as last computed
	sinceMedian    int     // answers since the median was computed
}

type record struct {
	failures       int // in a row
	slowAnswers    int // in a row
	slowness       float64
	ejections      int
	ejectedUntil   time.Time // ejected until then, and on probation after it; zero: in service
	probedAt       time.Time // when the last probe was sent
	inServiceSince time.Time // time of the last readmission
}

// NewDetector returns a detector without observations.
func NewDetector() *Detector {
	return &Detector{records: map[models.EngineID]*record{}}
}

// Changes returns a counter that grows with each ejection, readmission and
// probe.
func (d *Detector) Changes() uint64 {
	return d.changes
}

// Observe records the outcome of a request, and reports whether it led to the
// ejection or readmission of the engine.
func (d *Detector) Observe(engine models.EngineID, observed Observation, now time.Time) bool {
	r := d.recordOf(engine)
	before := r.ejectedUntil
	if observed.Failed {
		d.recordFailure(r, now)
	} else {
		d.recordAnswer(r, observed.ratio(), now)
	}
	changed := !r.ejectedUntil.Equal(before)
	if changed {
		d.changes++
	}
	return changed
}

func (d *Detector) recordFailure(r *record, now time.Time) {
	r.failures++
	if !r.ejectedUntil.IsZero() && !now.Before(r.ejectedUntil) || r.ejectedUntil.IsZero() && r.failures >= failuresToEject {
		r.eject(now)
	}
}

func (d *Detector) recordAnswer(r *record, ratio float64, now time.Time) {
	r.failures = 0
	d.sinceMedian++
	if r.slowness == 0 {
		r.slowness = ratio
	}
	r.slowness += slownessWeight * (ratio - r.slowness)
	if ratio <= slownessToEject*d.median() {
		r.slowAnswers = 0
		r.readmit(now)
		return
	}
	r.slowAnswers++
	onProbation := !r.ejectedUntil.IsZero() && !now.Before(r.ejectedUntil)
	if onProbation || r.ejectedUntil.IsZero() && r.slowAnswers >= slowAnswersToEject {
		r.eject(now)
	}
}

// Slowness returns an engine's average ratio of time observed to time
// predicted, relative to the median engine; 0 if unknown.
func (d *Detector) Slowness(engine models.EngineID) float64 {
	r, ok := d.records[engine]
	if !ok || r.slowness == 0 {
		return 0
	}
	return r.slowness / d.median()
}

// Statuses returns the status of each given engine. If more than
// MaxEjectedShare of them would be out of service, those whose ejection ends
// first count as in service.
func (d *Detector) Statuses(engines []models.EngineID, now time.Time) map[models.EngineID]Status {
	statuses := make(map[models.EngineID]Status, len(engines))
	var unavailable []models.EngineID
	for _, engine := range engines {
		statuses[engine] = d.status(engine, now)
		if statuses[engine] != InService {
			unavailable = append(unavailable, engine)
		}
	}
	excess := len(unavailable) - int(MaxEjectedShare*float64(len(engines)))
	if excess <= 0 {
		return statuses
	}
	slices.SortFunc(unavailable, func(a, b models.EngineID) int {
		return cmp.Or(d.records[a].ejectedUntil.Compare(d.records[b].ejectedUntil), cmp.Compare(a, b))
	})
	for _, engine := range unavailable[:excess] {
		statuses[engine] = InService
	}
	return statuses
}

func (d *Detector) status(engine models.EngineID, now time.Time) Status {
	r, ok := d.records[engine]
	switch {
	case !ok || r.ejectedUntil.IsZero():
		return InService
	case now.Before(r.ejectedUntil) || now.Before(r.probedAt.Add(probeTimeout)):
		return Ejected
	}
	return ProbeDue
}

// RecordProbe records that a probe was sent.
func (d *Detector) RecordProbe(engine models.EngineID, now time.Time) {
	d.recordOf(engine).probedAt = now
	d.changes++
}

// Ejected returns the ejected engines, each with the time left of its ejection.
func (d *Detector) Ejected(now time.Time) map[models.EngineID]time.Duration {
	ejected := map[models.EngineID]time.Duration{}
	for engine, r := range d.records {
		if now.Before(r.ejectedUntil) {
			ejected[engine] = r.ejectedUntil.Sub(now)
		}
	}
	return ejected
}

// Keep drops the records of the engines for which keep returns false.
func (d *Detector) Keep(keep func(models.EngineID) bool) {
	for engine := range d.records {
		if !keep(engine) {
			delete(d.records, engine)
		}
	}
}

func (d *Detector) recordOf(engine models.EngineID) *record {
	r, ok := d.records[engine]
	if !ok {
		r = &record{}
		d.records[engine] = r
	}
	return r
}

// median returns the median slowness of the engines in service, at least 1. It
// is computed anew after medianInterval answers.
func (d *Detector) median() float64 {
	if d.medianSlowness > 0 && d.sinceMedian < medianInterval {
		return d.medianSlowness
	}
	var all []float64
	for _, r := range d.records {
		if r.slowness > 0 && r.ejectedUntil.IsZero() {
			all = append(all, r.slowness)
		}
	}
	d.sinceMedian = 0
	d.medianSlowness = 1
	if len(all) > 0 {
		slices.Sort(all)
		d.medianSlowness = max(all[(len(all)-1)/2], 1)
	}
	return d.medianSlowness
}

func (r *record) eject(now time.Time) {
	if r.ejections > 0 && !r.inServiceSince.IsZero() && now.Sub(r.inServiceSince) > ejectionResetAfter {
		r.ejections = 0
	}
	duration := min(minEjection<<min(r.ejections, 10), maxEjection)
	r.ejections++
	r.ejectedUntil = now.Add(duration)
	r.probedAt = time.Time{}
	r.slowAnswers = 0
}

func (r *record) readmit(now time.Time) {
	if r.ejectedUntil.IsZero() || now.Before(r.ejectedUntil) {
		return
	}
	r.ejectedUntil = time.Time{}
	r.failures = 0
	r.slowness = 0
	r.inServiceSince = now
}
