package request

import (
	"context"
	"time"

	"quincewinch/models"
	"quincewinch/policy/outlier"
	"quincewinch/policy/placement"
)

func (p *LoadPlacer) release(sent *sending, result Result) {
	p.mu.Lock()
	now := p.clock.Now()
	p.add(sent.demand.Model, sent.engine, placement.Negate(sent.work), now)
	whole := !result.Failed && result.Usage.Output > 0
	if whole {
		p.lengths.Observe(sent.workspace, sent.demand.Model, result.Usage.Output)
		p.cache.ObserveCached(sent.engine, sent.demand.Hashes, result.Usage.Cached)
	}
	changed := p.observe(sent, result, whole, now)
	var out time.Duration
	if changed {
		out = p.detector.Ejected(now)[sent.engine]
	}
	p.mu.Unlock()
	if changed {
		p.recordStanding(sent, out)
	}
}

// observe judges the engine by a request's result. A request that its caller
// ended says nothing of the engine. The lock is held.
func (p *LoadPlacer) observe(sent *sending, result Result, whole bool, now time.Time) bool {
	cancelled := sent.ctx.Err() == context.Canceled
	if cancelled || !whole && !result.Failed {
		return false
	}
	taken := result.Waited
	if taken == 0 {
		taken = now.Sub(sent.at)
	}
	predicted := sent.choice.FirstToken + time.Duration(result.Usage.Output)*sent.choice.Step
	if sent.choice.Step == 0 {
		predicted = 0 // a probe has no forecast: an answer is enough
	}
	return p.detector.Observe(sent.engine, outlier.Observation{
		Failed:    result.Failed,
		Predicted: predicted,
		Taken:     taken,
	}, now)
}

func (p *LoadPlacer) recordStanding(sent *sending, out time.Duration) {
	what, why := "engine let in again", "it answered a probe"
	if out > 0 {
		what = "engine taken out for " + out.Round(time.Second).String()
		why = "its requests failed, or took much longer than predicted"
	}
	p.timeline.Record(models.Event{
		Kind:   models.EventPlacement,
		Engine: sent.engine,
		What:   what,
		Why:    why,
	})
}
