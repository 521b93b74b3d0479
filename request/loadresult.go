package request

import (
	"context"
	"time"

	"quincewinch/models"
	"quincewinch/policy/outlier"
	"quincewinch/policy/placement"
)

// release removes a request from the work in flight at its engine and learns
// from its result.
func (p *LoadPlacer) release(placed *placedRequest, result Result) {
	p.mu.Lock()
	now := p.clock.Now()
	p.addInflight(placed.demand.Model, placed.engine, placement.Negate(placed.work), now)
	complete := !result.Failed && result.Usage.Output > 0
	if complete {
		p.lengths.Observe(placed.workspace, placed.demand.Model, result.Usage.Output)
		p.cache.ObserveCached(placed.engine, placed.demand.Hashes, result.Usage.Cached)
	}
	changed := p.observe(placed, result, complete, now)
	var ejectedFor time.Duration
	if changed {
		ejectedFor = p.detector.Ejected(now)[placed.engine]
	}
	p.mu.Unlock()
	if changed {
		p.recordEjection(placed, ejectedFor)
	}
}

// observe passes a request's result to the outlier detector and reports whether
// the engine was ejected or readmitted. A request cancelled by its caller says
// nothing about the engine and is ignored. The lock is held.
func (p *LoadPlacer) observe(placed *placedRequest, result Result, complete bool, now time.Time) bool {
	cancelled := placed.ctx.Err() == context.Canceled
	if cancelled || !complete && !result.Failed {
		return false
	}
	taken := result.Waited
	if taken == 0 {
		taken = now.Sub(placed.placedAt)
	}
	predicted := placed.choice.FirstToken + time.Duration(result.Usage.Output)*placed.choice.Step
	if placed.choice.Step == 0 {
		predicted = 0 // a probe has no forecast, so any answer counts as a success
	}
	return p.detector.Observe(placed.engine, outlier.Observation{
		Failed:    result.Failed,
		Predicted: predicted,
		Taken:     taken,
	}, now)
}

// recordEjection records that an engine was ejected for the given time, or
// readmitted if it is 0.
func (p *LoadPlacer) recordEjection(placed *placedRequest, ejectedFor time.Duration) {
	what, why := "engine let in again", "it answered a probe"
	if ejectedFor > 0 {
		what = "engine taken out for " + ejectedFor.Round(time.Second).String()
		why = "its requests failed, or took much longer than predicted"
	}
	p.timeline.Record(models.Event{
		Kind:   models.EventPlacement,
		Engine: placed.engine,
		What:   what,
		Why:    why,
	})
}
