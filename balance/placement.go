package balance

import (
	"time"

	"quincewinch/models"
	"quincewinch/relay"
)

// placement implements relay.Placement.
type placement struct {
	balancer          *Balancer
	target            *serverState
	chosen            models.Upstream     // registration of the target when it was chosen
	prefiller         *serverState        // nil if the target prefills the prompt itself
	source            *serverState        // its cached parts of the prompt are copied; nil if none
	prefillServer     *serverState        // prefiller or else target; nil for a plain service
	parts             []models.PromptPart // of the prompt; nil for a plain service
	prefillTokens     int                 // uncached prompt tokens that prefillServer has to prefill
	tokensAhead       int                 // tokens queued ahead of them at prefillServer at placement
	expected          time.Duration       // of the prefill or call at a typical server, with what was ahead
	overdueAfter      time.Duration       // since placedAt, when it counts as observed without an answer
	predicted         time.Duration
	copying           time.Duration // of cached parts by prefillServer, as predicted
	fetching          time.Duration // of the KV cache from the prefiller, as predicted
	prefilledAt       time.Time     // when the prefiller had answered
	startedAt         time.Time     // when the response started
	urgency           int
	ticket            *roomTicket // nil unless requests are admitted by demand
	placedAt          time.Time
	tookRoom          bool // of the target's limit, at placedAt
	prefillDone       bool
	prefillerReleased bool // the prefiller no longer counts the request as in flight
	work              placedWork
	held              int // tokens of KV cache at the target, and at the prefiller
	ended             bool
}

// Target implements relay.Placement.
func (p *placement) Target() models.Upstream {
	return p.chosen
}

// Prefiller implements relay.Placement.
func (p *placement) Prefiller() (models.Upstream, bool) {
	if p.prefiller == nil {
		return models.Upstream{}, false
	}
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	return p.prefiller.upstream, true
}

// CopyFrom implements relay.Placement.
func (p *placement) CopyFrom() (models.Upstream, bool) {
	if p.source == nil {
		return models.Upstream{}, false
	}
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	return p.source.upstream, true
}

// AcceptsWork implements relay.Placement.
func (p *placement) AcceptsWork() bool {
	return p.balancer.registered(p.chosen) && !p.targetLeaving()
}

func (p *placement) targetLeaving() bool {
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	return p.target.leaving
}

// Software implements relay.Placement. An engine that is no longer registered
// has not been replaced under its ID.
func (p *placement) Software() (software models.Software, certain bool) {
	software = p.chosen.Software()
	snapshot := p.balancer.fleet.Snapshot()
	if snapshot == nil {
		return software, true
	}
	now, ok := snapshot.ByID[p.chosen.ID]
	return software, !ok || now.Software() == software
}

// Predicted implements relay.Placement.
func (p *placement) Predicted() time.Duration {
	return p.predicted
}

// PrefillTokens implements relay.Placement.
func (p *placement) PrefillTokens() int {
	return p.prefillTokens
}

// Urgency implements relay.Placement.
func (p *placement) Urgency() int {
	return p.urgency
}

// PrefillEnded implements relay.Placement.
func (p *placement) PrefillEnded(result relay.Result) {
	now := p.balancer.clock.Now()
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	if p.prefiller == nil {
		return
	}
	if result == relay.ResultServed {
		p.observePrefill(now)
		p.prefilledAt = now
		p.recordCached(p.prefiller, now)
	}
	p.releasePrefill()
	if !p.prefillerReleased {
		p.prefiller.recordResult(result, now)
	}
	p.releasePrefiller()
}

// ResponseStarted implements relay.Placement.
func (p *placement) ResponseStarted(load *models.UpstreamLoad) {
	now := p.balancer.clock.Now()
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	p.target.unreachableCount = 0
	p.observeLoad(load, now)
	p.runWork(now)
	p.startedAt = now
	p.observePrefill(now)
	p.observeCall(now)
	p.recordCached(p.target, now)
	if p.ticket != nil {
		p.ticket.ended(p, relay.ResultServed, now)
	}
	if !p.prefilledAt.IsZero() {
		p.observeStart(now)
	}
}

// observeLoad applies the load that the target stated with its answer, if it states a
// pace. The caller must hold the balancer's lock.
func (p *placement) observeLoad(load *models.UpstreamLoad, now time.Time) {
	if load == nil || load.Pace <= 0 {
		return
	}
	p.balancer.stateLoad(p.target, *load, now, now)
	p.balancer.queueReport(models.SpeedReport{Server: p.target.upstream.ID, Started: p.target.upstream.Started, Load: *load}, now)
}

// recordCached records that an engine has the prompt in its KV cache. A request
// that ends before its prompt was prefilled leaves nothing there. The caller must
// hold the balancer's lock.
func (p *placement) recordCached(engine *serverState, now time.Time) {
	if len(p.parts) == 0 {
		return
	}
	b := p.balancer
	engine.cache.record(p.parts, cacheCapacity(b.capacity[engine.upstream.Service]), now)
	b.queueCachedPrompt(engine.upstream.ID, p.parts)
}

// observePrefill records that the prompt has been prefilled and updates the
// prefill rate estimate. The caller must hold the balancer's lock.
func (p *placement) observePrefill(now time.Time) {
	if p.prefillDone || p.prefillServer == nil {
		return
	}
	p.releasePrefill()
	b := p.balancer
	taken := now.Sub(p.placedAt) - p.copying
	factor := b.speedFactor(p.prefillServer, now)
	b.observeSpeed(p.prefillServer, taken, p.expected, now)
	b.timings.prefill(p.prefillServer.upstream).Observe(p.tokensAhead+p.prefillTokens, dividedBy(taken, factor))
}

// observeStart records the time from the end of the prefill elsewhere to the start of
// the response. The caller must hold the balancer's lock.
func (p *placement) observeStart(now time.Time) {
	b := p.balancer
	taken := now.Sub(p.prefilledAt) - p.fetching
	typical := b.timings.start(p.target.upstream.Service)
	factor := b.speedFactor(p.target, now)
	b.observeSpeed(p.target, taken, typical.Duration(), now)
	typical.Observe(dividedBy(taken, factor))
}

// observeCall records the time to the answer of a plain service. The caller must hold
// the balancer's lock.
func (p *placement) observeCall(now time.Time) {
	if p.prefillServer != nil || p.work.open {
		return // endWork observes what was served
	}
	b := p.balancer
	taken := now.Sub(p.placedAt)
	factor := b.speedFactor(p.target, now)
	b.observeSpeed(p.target, taken, p.expected, now)
	b.timings.call(p.target.upstream.Service).Observe(dividedBy(taken, factor))
}

// dividedBy returns the time that a typical server takes, given that of one that takes
// a factor as long.
func dividedBy(taken time.Duration, factor float64) time.Duration {
	return time.Duration(float64(taken) / factor)
}

// releasePrefill removes the prompt from the pending prefill tokens of
// prefillServer. The caller must hold the balancer's lock.
func (p *placement) releasePrefill() {
	if p.prefillDone || p.prefillServer == nil {
		return
	}
	p.prefillDone = true
	delete(p.balancer.prefilling, p)
	p.balancer.changed = true
	p.prefillServer.prefillTokens -= p.prefillTokens
	if p.ticket != nil {
		p.ticket.room.queue(p.urgency, -p.prefillTokens)
	}
}

// recordFetch records whether the target could fetch the KV cache from the
// prefiller: a target that rejects the request is taken to have failed to fetch
// it. The caller must hold the balancer's lock.
func (p *placement) recordFetch(result relay.Result, now time.Time) {
	if p.prefiller == nil {
		return
	}
	switch result {
	case relay.ResultServed:
		p.balancer.recordFetch(p.prefiller, p.target, false, now)
	case relay.ResultRejected:
		p.balancer.recordFetch(p.prefiller, p.target, true, now)
	case relay.ResultMoved, relay.ResultUnreachable, relay.ResultLeaving, relay.ResultLimited, relay.ResultFailed, relay.ResultCancelled:
	}
}

func (p *placement) releasePrefiller() {
	if p.prefiller == nil || p.prefillerReleased {
		return
	}
	p.prefillerReleased = true
	p.prefiller.running--
}

// End implements relay.Placement.
func (p *placement) End(result relay.Result) {
	now := p.balancer.clock.Now()
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	p.balancer.changed = true
	p.target.running--
	p.endWork(result, now)
	p.releaseMemory()
	p.releasePrefill()
	p.releasePrefiller()
	p.recordFetch(result, now)
	if p.ticket != nil && p.startedAt.IsZero() && result != relay.ResultServed {
		p.ticket.ended(p, result, now)
	}
	if result == relay.ResultServed && !p.startedAt.IsZero() {
		p.balancer.timings.run(p.target.upstream.Service).Observe(now.Sub(p.startedAt))
	}
	p.target.recordResult(result, now)
}
