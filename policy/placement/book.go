package placement

import (
	"time"

	"quincewinch/models"
)

// InflightTracker tracks the work of this daemon in flight at each engine.
type InflightTracker struct {
	engines map[models.EngineID]*engineInflight
}

type engineInflight struct {
	total   models.InflightWork
	changes []change
}

type change struct {
	at   time.Time
	work models.InflightWork
}

// NewInflightTracker returns a tracker without work.
func NewInflightTracker() *InflightTracker {
	return &InflightTracker{engines: map[models.EngineID]*engineInflight{}}
}

// Add records work that was sent, or negative work for what has ended.
func (t *InflightTracker) Add(engine models.EngineID, work models.InflightWork, now time.Time) {
	e, ok := t.engines[engine]
	if !ok {
		e = &engineInflight{}
		t.engines[engine] = e
	}
	e.total = Sum(e.total, work)
	e.changes = append(e.changes, change{at: now, work: work})
}

// Inflight returns the work in flight at an engine.
func (t *InflightTracker) Inflight(engine models.EngineID) models.InflightWork {
	if e, ok := t.engines[engine]; ok {
		return e.total
	}
	return models.InflightWork{}
}

// ChangeSince returns the sum of the changes after at, and discards the earlier
// ones.
func (t *InflightTracker) ChangeSince(engine models.EngineID, at time.Time) models.InflightWork {
	e, ok := t.engines[engine]
	if !ok {
		return models.InflightWork{}
	}
	kept := e.changes[:0]
	var sum models.InflightWork
	for _, c := range e.changes {
		if c.at.After(at) {
			kept = append(kept, c)
			sum = Sum(sum, c.work)
		}
	}
	e.changes = kept
	return sum
}

// All returns the work in flight at each engine that has any.
func (t *InflightTracker) All() map[models.EngineID]models.InflightWork {
	all := map[models.EngineID]models.InflightWork{}
	for engine, e := range t.engines {
		if e.total.Requests > 0 {
			all[engine] = e.total
		}
	}
	return all
}

// Keep drops the engines for which keep returns false and that have no work in
// flight.
func (t *InflightTracker) Keep(keep func(models.EngineID) bool) {
	for engine, e := range t.engines {
		if !keep(engine) && e.total.Requests == 0 {
			delete(t.engines, engine)
		}
	}
}
