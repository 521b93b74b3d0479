// Package balance chooses backend servers for requests. It keeps what this
// daemon and the others have under way at each one; the choice itself is made
// by package serving and, for plain services, by the least load.
package balance

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/policy/retry"
	"quincewinch/policy/serving"
	"quincewinch/relay"
	"quincewinch/routing"
)

const (
	// emptyRetryAfter is when a caller should come back where a service has no
	// backend server: registrations come within a heartbeat or two.
	emptyRetryAfter = time.Second
	// forgetAfter is how long the state of a backend server that is gone is
	// kept.
	forgetAfter = 30 * time.Second
	// ownShare is the part of the retry budget that is used: requests are seen
	// by the platform later than they are counted here.
	ownShare = 0.8
	// mostUrgency is the last urgency that engines know.
	mostUrgency = 9
)

// FleetView gives the backend servers that there are.
type FleetView interface {
	Snapshot() *routing.Snapshot
}

// Settings of a Balancer.
type Settings struct {
	Zone    models.Zone
	Retries retry.Settings // over all daemons
}

// Balancer implements relay.Placer.
type Balancer struct {
	fleet    FleetView
	clock    peer.Clock
	settings Settings
	random   *rand.Rand

	mu      sync.Mutex
	states  map[models.EngineID]*state
	budgets map[models.ServiceName]*retry.Budget
	rates   map[rateKey]*serving.PrefillRate
	daemons int // that share the retry budget, this one included

	capacity map[models.ServiceName]int // tokens of KV cache of one engine
	shares   map[models.DaemonID]received
	others   map[models.EngineID]models.ServerLoad // sum of all shares
	unshared []models.SentPrompt
	// zonePrompts are the prompts of this zone's daemons since its last sum.
	zonePrompts []models.SentPrompt
	changed     bool // since the last share
	urgent      bool // a long prompt was sent since the last share
	zoneUrgent  bool // by another daemon of this zone, since the last sum
	fetches     map[zonePair]fetchRecord
}

// zonePair is where KV cache is fetched from, and by whom.
type zonePair struct {
	from, to models.Zone
}

// rateKey names engines that read prompts equally fast, but for their own
// speed.
type rateKey struct {
	service models.ServiceName
	role    models.Role
}

// New returns a balancer that knows nothing of the load yet.
func New(fleet FleetView, clock peer.Clock, settings Settings, seed uint64) *Balancer {
	return &Balancer{
		fleet:    fleet,
		clock:    clock,
		settings: settings,
		random:   rand.New(rand.NewPCG(seed, 0)),
		states:   map[models.EngineID]*state{},
		budgets:  map[models.ServiceName]*retry.Budget{},
		rates:    map[rateKey]*serving.PrefillRate{},
		daemons:  1,
		capacity: map[models.ServiceName]int{},
		shares:   map[models.DaemonID]received{},
		others:   map[models.EngineID]models.ServerLoad{},
		fetches:  map[zonePair]fetchRecord{},
	}
}

// SetDaemons tells how many daemons share the retry budget.
func (b *Balancer) SetDaemons(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.daemons = max(n, 1)
}

// SetRetries changes the retry budget of all services.
func (b *Balancer) SetRetries(settings retry.Settings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settings.Retries = settings
}

// MayRepeat implements relay.Placer.
func (b *Balancer) MayRepeat(service models.ServiceName) bool {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service).AllowRetry(now)
}

// Repeated implements relay.Placer.
func (b *Balancer) Repeated(service models.ServiceName) {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).RecordRetry(now)
}

// budget returns this daemon's part of a service's retry budget. The lock is
// held.
func (b *Balancer) budget(service models.ServiceName) *retry.Budget {
	budget, ok := b.budgets[service]
	if !ok {
		budget = retry.NewBudget(retry.Settings{Window: b.settings.Retries.Window})
		b.budgets[service] = budget
	}
	budget.SetLimits(b.settings.Retries.Ratio*ownShare, b.settings.Retries.Reserve*ownShare/float64(b.daemons))
	return budget
}

// Place implements relay.Placer.
func (b *Balancer) Place(e *relay.Exchange, tried map[models.EngineID]bool) (relay.Placement, error) {
	now := b.clock.Now()
	snapshot := b.fleet.Snapshot()
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(tried) == 0 {
		b.budget(e.Service.Name).RecordRequest(now)
	}
	b.sumShares(now)
	candidates := b.candidates(snapshot, e.Service.Name, tried, now)
	if len(candidates) == 0 {
		return nil, &models.Refusal{
			Code:       models.RefusalNoBackend,
			Message:    "no backend server of the service is left to try",
			NotRun:     true,
			RetryAfter: emptyRetryAfter,
		}
	}
	if e.Service.Engine != nil && len(e.Prompt.Parts) > 0 {
		return b.placePrompt(e, candidates, e.Sends > 0, now)
	}
	return b.placeCall(candidates, now), nil
}

// candidates returns the states of the backend servers that may get a request.
// Those that could not be reached of late are left out, unless there is no
// other. The lock is held.
func (b *Balancer) candidates(snapshot *routing.Snapshot, service models.ServiceName, tried map[models.EngineID]bool, now time.Time) []*state {
	if snapshot == nil {
		return nil
	}
	var usable, held []*state
	for _, upstream := range snapshot.ByService[service] {
		if tried[upstream.ID] {
			continue
		}
		s := b.state(upstream)
		if now.Before(s.heldUntil) {
			held = append(held, s)
			continue
		}
		usable = append(usable, s)
	}
	if len(usable) == 0 {
		return held
	}
	return usable
}

// state returns what is known of a backend server. The lock is held.
func (b *Balancer) state(upstream models.Upstream) *state {
	s, ok := b.states[upstream.ID]
	if !ok || !s.upstream.SameIncarnation(upstream) {
		s = newState(upstream)
		b.states[upstream.ID] = s
	}
	s.upstream = upstream
	return s
}

// Step forgets backend servers that are gone.
func (b *Balancer) Step(context.Context) {
	now := b.clock.Now()
	snapshot := b.fleet.Snapshot()
	if snapshot == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.states {
		if _, ok := snapshot.ByID[id]; ok {
			s.seenAt = now
			continue
		}
		if now.Sub(s.seenAt) > forgetAfter && s.running == 0 {
			delete(b.states, id)
		}
	}
}

// rate returns how fast engines like one read prompts. The lock is held.
func (b *Balancer) rate(upstream models.Upstream) *serving.PrefillRate {
	key := rateKey{service: upstream.Service, role: upstream.Role}
	r, ok := b.rates[key]
	if !ok {
		r = serving.NewPrefillRate(upstream.Role == models.RolePrefill)
		b.rates[key] = r
	}
	return r
}

// placeCall chooses the less loaded of two backend servers of a plain service,
// drawn at random, so that daemons which see the same load do not all choose
// the same one. The lock is held.
func (b *Balancer) placeCall(candidates []*state, now time.Time) relay.Placement {
	chosen := candidates[b.random.IntN(len(candidates))]
	for range callChoices - 1 {
		other := candidates[b.random.IntN(len(candidates))]
		if b.callCost(other, now) < b.callCost(chosen, now) {
			chosen = other
		}
	}
	return b.hold(chosen, now)
}

// hold takes room at a backend server. The lock is held.
func (b *Balancer) hold(s *state, now time.Time) *placement {
	s.running++
	b.changed = true
	return &placement{balancer: b, target: s, placedAt: now}
}

// callCost is the load of a plain service's backend server. The lock is held.
func (b *Balancer) callCost(s *state, now time.Time) float64 {
	cost := float64(s.running+b.others[s.upstream.ID].Running) + failureCost*s.recentFailures(now)
	if s.upstream.Zone != b.settings.Zone {
		cost += zoneCost
	}
	return cost
}
