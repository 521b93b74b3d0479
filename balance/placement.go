package balance

import (
	"time"

	"quincewinch/models"
	"quincewinch/relay"
)

// placement implements relay.Placement.
type placement struct {
	balancer  *Balancer
	target    *state
	prefiller *state // nil: the target reads the prompt
	reader    *state // reads the prompt; nil for a plain service
	reading   int    // prompt tokens that the reader has to read
	ahead     int    // those ahead of them, at placement
	predicted time.Duration
	urgency   int
	placedAt  time.Time
	read      bool
	freed     bool // the prefiller is done
	ended     bool
}

// Target implements relay.Placement.
func (p *placement) Target() models.Upstream {
	return p.target.upstream
}

// Prefiller implements relay.Placement.
func (p *placement) Prefiller() (models.Upstream, bool) {
	if p.prefiller == nil {
		return models.Upstream{}, false
	}
	return p.prefiller.upstream, true
}

// AcceptsWork implements relay.Placement.
func (p *placement) AcceptsWork() bool {
	snapshot := p.balancer.fleet.Snapshot()
	if snapshot == nil {
		return false
	}
	now, ok := snapshot.ByID[p.target.upstream.ID]
	return ok && !now.Draining && now.SameIncarnation(p.target.upstream)
}

// Predicted implements relay.Placement.
func (p *placement) Predicted() time.Duration {
	return p.predicted
}

// PrefillTokens implements relay.Placement.
func (p *placement) PrefillTokens() int {
	return p.reading
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
	if result == relay.ResultServed {
		p.readDone(now)
	}
	p.dropReading()
	if p.prefiller != nil && !p.freed {
		p.prefiller.note(result, now)
	}
	p.freePrefiller()
}

// ResponseStarted implements relay.Placement.
func (p *placement) ResponseStarted(*models.UpstreamLoad) {
	now := p.balancer.clock.Now()
	p.balancer.mu.Lock()
	defer p.balancer.mu.Unlock()
	p.target.unanswered = 0
	p.readDone(now)
}

// readDone notes that the prompt has been read. The lock is held.
func (p *placement) readDone(now time.Time) {
	if p.read || p.reader == nil {
		return
	}
	p.dropReading()
	p.balancer.rate(p.reader.upstream).Observe(p.ahead+p.reading, now.Sub(p.placedAt))
}

// dropReading takes the prompt off those that its reader has to read. The lock
// is held.
func (p *placement) dropReading() {
	if p.read || p.reader == nil {
		return
	}
	p.read = true
	p.balancer.changed = true
	p.reader.reading -= p.reading
}

// noteFetch takes a target that turned a request away for one that could not
// fetch its KV cache. The lock is held.
func (p *placement) noteFetch(result relay.Result, now time.Time) {
	if p.prefiller == nil {
		return
	}
	switch result {
	case relay.ResultServed:
		p.balancer.noteFetch(p.prefiller, p.target, false, now)
	case relay.ResultRejected:
		p.balancer.noteFetch(p.prefiller, p.target, true, now)
	case relay.ResultMoved, relay.ResultUnreachable, relay.ResultLeaving, relay.ResultFailed, relay.ResultCancelled:
	}
}

func (p *placement) freePrefiller() {
	if p.prefiller == nil || p.freed {
		return
	}
	p.freed = true
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
	p.dropReading()
	p.freePrefiller()
	p.noteFetch(result, now)
	p.target.note(result, now)
}
