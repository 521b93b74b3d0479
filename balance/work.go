package balance

import (
	"math"
	"time"

	"quincewinch/models"
	"quincewinch/policy/speed"
	"quincewinch/policy/work"
	"quincewinch/relay"
)

const (
	// minOccupied is the least share of the time to an answer for which a request is
	// assumed to have occupied the server rather than waited there.
	minOccupied = 0.2
	// minPaceFactor and maxPaceFactor bound how many times as long as at a typical server
	// requests are expected to take.
	minPaceFactor = 0.2
	maxPaceFactor = 16
	// reportedChange is the change of a lasting difference that is logged.
	reportedChange = 1.2
)

// serviceWork is what is known of a service whose servers state a pace. Its requests are
// placed by the expected end of the work, those of all others by counts.
type serviceWork struct {
	costs   *work.Costs // of the time in a slot, without waiting
	hold    *work.Hold
	typical time.Duration // expected for all requests
}

// serverWork is what is known of the work at a server of such a service.
type serverWork struct {
	service  *serviceWork
	pace     work.Pace
	lasting  work.Lasting // beyond the stated pace
	own      work.Ledger  // requests of this daemon
	unknown  int          // requests stated at statedAt beyond those known then; may be negative
	reported float64      // lasting difference that was logged last; 0: none
}

// WorkListener is told what a request was expected to occupy its server for, and for how
// long it did.
type WorkListener func(service models.ServiceName, estimated, taken time.Duration)

// workOf returns what is known of the work at a server; nil if its service states no
// pace. The caller must hold b.mu.
func (b *Balancer) workOf(s *serverState) *serverWork {
	if s.work == nil {
		if service, ok := b.works[s.upstream.Service]; ok {
			s.work = &serverWork{service: service}
		}
	}
	return s.work
}

// stateLoad applies the load that a server stated at a time. The caller must hold b.mu.
func (b *Balancer) stateLoad(s *serverState, load models.UpstreamLoad, at, now time.Time) {
	if load.Pace <= 0 {
		return
	}
	service := s.upstream.Service
	if _, ok := b.works[service]; !ok {
		initial := initialCall
		if s.upstream.Role != "" {
			initial = initialRunTime
		}
		b.works[service] = &serviceWork{costs: work.NewCosts(initial), hold: work.NewHold(), typical: initial}
	}
	w := b.workOf(s)
	if !w.pace.State(load.Pace, at, w.service.hold, now) {
		return
	}
	w.unknown = load.Running + load.Waiting - s.running - b.remoteLoads[s.upstream.ID].Running
	s.factor = 0
}

// paceFactor returns how many times as long as at a typical server requests take at one
// whose service states a pace. The caller must hold b.mu.
func (b *Balancer) paceFactor(s *serverState, now time.Time) float64 {
	w := s.work
	factor := w.pace.Expect(w.service.hold, now) * b.lastingFactor(s, now) * b.shortFactor(s, now)
	return min(max(factor, minPaceFactor), maxPaceFactor)
}

// lastingFactor returns how many times as long as stated requests take at a server for
// good, beside the others of its kind. The caller must hold b.mu.
func (b *Balancer) lastingFactor(s *serverState, now time.Time) float64 {
	return s.work.lasting.Factor(b.lastingReference(keyOf(s.upstream), now), now)
}

// lastingReference returns what typical servers have. The caller must hold b.mu.
func (b *Balancer) lastingReference(key timingKey, now time.Time) float64 {
	reference, ok := b.lastings[key]
	if ok && now.Sub(reference.at) < referenceInterval {
		return reference.value
	}
	var raw []float64
	for _, s := range b.states {
		if s.work == nil || keyOf(s.upstream) != key {
			continue
		}
		if ratio, known := s.work.lasting.Raw(now); known {
			raw = append(raw, ratio)
		}
	}
	reference = speedReference{value: speed.Reference(raw), at: now}
	b.lastings[key] = reference
	return reference.value
}

// workLeft returns the time for which the requests at a server still occupy a slot of a
// typical one, one after the other: those of this daemon, those that the others have
// told of, and those that the server knew of beyond them, as far as they have not ended
// since. The caller must hold b.mu.
func (b *Balancer) workLeft(s *serverState, now time.Time) time.Duration {
	w := s.work
	own := w.own.Left(now)
	known := own + b.remoteLoads[s.upstream.ID].Work
	_, at := w.pace.Stated()
	if w.unknown == 0 || at.IsZero() {
		return known
	}
	typical := max(w.service.typical, time.Millisecond)
	still := math.Exp(-now.Sub(at).Seconds() / typical.Seconds())
	return max(known+time.Duration(still*float64(w.unknown)*float64(typical)), own)
}

// slotWait returns the time until a server has a slot for a request, as a typical one
// would take, given what is left to do there. The caller must hold b.mu.
func (b *Balancer) slotWait(s *serverState, left time.Duration) time.Duration {
	running := s.running + b.remoteLoads[s.upstream.ID].Running
	slots := s.upstream.Slots
	if slots <= 0 || running < slots {
		return 0
	}
	return left / time.Duration(running) * time.Duration(running-slots+1) / time.Duration(slots)
}

// callEnd returns the cost of a call of a plain service at a server, as the time to its
// end. The caller must hold b.mu.
func (b *Balancer) callEnd(s *serverState, own work.Estimate, now time.Time) time.Duration {
	left := b.workLeft(s, now)
	slots := float64(max(s.upstream.Slots, 1))
	end := float64(own.Mean) + float64(left)/slots + float64(b.slotWait(s, left))
	end *= b.speedFactor(s, now)
	end += failureCost * s.decayedFailures(now) * float64(own.Mean)
	if s.upstream.Zone != b.settings.Zone {
		end += crossZoneCost * float64(own.Mean) / slots
	}
	return time.Duration(end)
}

// placeWork places a request for a plain service whose servers state a pace, like
// placeCall does for others. The caller must hold b.mu.
func (b *Balancer) placeWork(e *relay.Exchange, service *serviceWork, candidates []*serverState, now time.Time) *placement {
	for _, s := range candidates {
		b.workOf(s)
	}
	kind := kindOf(e)
	own := service.costs.Expect(kind)
	chosen := candidates[b.random.IntN(len(candidates))]
	least := b.callEnd(chosen, own, now)
	for range callChoices - 1 {
		other := candidates[b.random.IntN(len(candidates))]
		if end := b.callEnd(other, own, now); end < least {
			chosen, least = other, end
		}
	}
	wait := b.slotWait(chosen, b.workLeft(chosen, now))
	p := b.reserve(chosen, now)
	p.beginWork(kind, own, wait, now)
	p.expected = wait + own.Mean
	return p
}

func kindOf(e *relay.Exchange) work.Kind {
	return work.Kind{Service: e.Service.Name, Route: e.Route.Name, Workspace: e.Workspace}
}

// placedWork is the work of a request at its target. The zero value stands for that of a
// service that states no pace.
type placedWork struct {
	kind work.Kind
	item work.Item
	wait time.Duration // for a slot at a typical server, as predicted
	open bool          // counted at the target
}

// beginWork counts the work of a request at its target, for a slot of which it waits. The
// caller must hold the balancer's lock.
func (p *placement) beginWork(kind work.Kind, estimate work.Estimate, wait time.Duration, now time.Time) {
	p.work = placedWork{kind: kind, wait: wait, open: true, item: p.target.work.own.Begin(estimate, now.Add(wait))}
}

// runWork notes that the request has begun to run. The caller must hold the balancer's
// lock.
func (p *placement) runWork(now time.Time) {
	if !p.work.open || p.prefillServer == nil {
		return
	}
	ledger := &p.target.work.own
	ledger.End(p.work.item)
	p.work.item = ledger.Begin(p.work.item.Estimate(), now)
}

// endWork takes the work of a request off its target, and learns from a request that was
// served how long it occupied it. The caller must hold the balancer's lock.
func (p *placement) endWork(result relay.Result, now time.Time) {
	if !p.work.open {
		return
	}
	p.work.open = false
	b, w := p.balancer, p.target.work
	w.own.End(p.work.item)
	if result != relay.ResultServed || p.startedAt.IsZero() {
		return
	}
	factor := b.speedFactor(p.target, now)
	taken := dividedBy(now.Sub(p.startedAt), factor)
	if p.prefillServer == nil {
		answered := dividedBy(p.startedAt.Sub(p.placedAt), factor)
		taken = max(answered-p.work.wait, time.Duration(minOccupied*float64(answered)))
		b.observeSpeed(p.target, p.startedAt.Sub(p.placedAt), p.expected, now)
	}
	w.service.costs.Observe(p.work.kind, taken)
	w.service.typical = w.service.costs.Expect(work.Kind{Service: p.work.kind.Service}).Mean
	if b.settings.WorkListener != nil {
		b.settings.WorkListener(p.work.kind.Service, p.work.item.Estimate().Mean, taken)
	}
}

// LastingDifference is a server that is found to be faster or slower than others for good.
type LastingDifference struct {
	Server models.Upstream
	Factor float64 // how many times as long requests take there
	Before float64 // the same, as was found before
}

// LastingDifferences returns the servers of which something else was found since the last
// call.
func (b *Balancer) LastingDifferences() []LastingDifference {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var changes []LastingDifference
	for _, s := range b.states {
		if s.work == nil {
			continue
		}
		w := s.work
		before := w.reported
		if before == 0 {
			before = 1
		}
		factor := w.pace.Level() * b.lastingFactor(s, now)
		if factor < before*reportedChange && before < factor*reportedChange {
			continue
		}
		w.reported = factor
		changes = append(changes, LastingDifference{Server: s.upstream, Factor: factor, Before: before})
	}
	return changes
}
