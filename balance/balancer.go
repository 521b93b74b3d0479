// Package balance places requests on backend servers. It tracks the requests
// that this daemon and the others have in flight at each backend server.
// Requests with a prompt are placed by package serving, requests for plain
// services by least load.
package balance

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/policy/admission"
	"quincewinch/policy/fleet"
	"quincewinch/policy/retry"
	"quincewinch/relay"
	"quincewinch/routing"
)

const (
	// noBackendRetryAfter is the Retry-After of a refusal when a service has no
	// backend server left: a new one registers within one or two heartbeats.
	noBackendRetryAfter = time.Second
	// stateRetention is how long the state of a backend server is kept after
	// its registration disappears.
	stateRetention = 30 * time.Second
	// maxUrgency is the highest urgency value, the least urgent, that engines
	// accept.
	maxUrgency = 9
)

// FleetView provides the registered backend servers.
type FleetView interface {
	Snapshot() *routing.Snapshot
}

// Settings configures a Balancer.
type Settings struct {
	Self       models.DaemonID
	Zone       models.Zone
	Retries    retry.Settings // budget of all daemons together
	FirstStart bool           // no daemon has run before: none can have spent the budget
	Uses       LimitUses      // what daemons use of workspaces' limits; nil: not exchanged
	// KeepMemory refuses requests for which no engine has the memory at their longest:
	// engines crash if what they hold exceeds their memory.
	KeepMemory bool
	// WorkListener is told of each request of a service whose servers state a pace; nil: none.
	WorkListener WorkListener
	// AdmitByDemand admits requests for engines by the demand at all daemons, by rank
	// and workspace, instead of by the queue that this daemon sees.
	AdmitByDemand bool
}

// Balancer implements relay.Placer.
type Balancer struct {
	fleet    FleetView
	clock    peer.Clock
	settings Settings
	random   *rand.Rand

	mu      sync.Mutex
	states  map[models.EngineID]*serverState
	budgets map[models.ServiceName]*retryBudget
	timings timings
	daemons int // sharing the retry budget and the limits of servers, this one included

	startedAt  time.Time
	listedAt   time.Time        // since when all registered daemons are known; zero: they are not
	daemonPeak *fleet.WindowMax // of daemons, within a window of the retry budget
	// zonePeers is the number of other daemons of this zone whose load shares arrive;
	// zoneVersion rises with each change of these daemons.
	zonePeers   int
	zoneVersion uint64

	queues          map[models.ServiceName]*admission.Queue
	rooms           map[models.ServiceName]*serviceRoom // empty unless settings.AdmitByDemand
	capacity        map[models.ServiceName]int          // KV cache of one engine in tokens
	loadShares      map[models.DaemonID]receivedShare
	remoteLoads     map[models.EngineID]models.ServerLoad // sum of all load shares
	unsharedPrompts []models.CachedPrompt
	// zonePrompts are the prompts that the daemons of this zone had prefilled
	// since its last zone sum.
	zonePrompts    []models.CachedPrompt
	unsharedSpeeds map[models.EngineID]queuedSpeed
	zoneSpeeds     map[models.EngineID]queuedSpeed // observed in this zone since its last sum
	references     map[timingKey]speedReference
	lastings       map[timingKey]speedReference // of lasting differences
	works          map[models.ServiceName]*serviceWork
	others         map[models.ServiceName]*othersSeen
	typicalHeld    map[models.ServiceName]float64 // tokens that a request of this daemon holds
	prefilling     map[*placement]struct{}        // prompts that this daemon waits for

	relaying     relayMode
	changed      bool // the load has changed since the last share
	urgent       bool // a long prompt was sent since the last share
	zoneUrgent   bool // likewise by another daemon of this zone, since the last zone sum
	fetchRecords map[zonePair]fetchRecord
}

// zonePair identifies the zones between which KV cache is fetched.
type zonePair struct {
	from, to models.Zone
}

// New returns a balancer with no load recorded.
func New(view FleetView, clock peer.Clock, settings Settings, seed uint64) *Balancer {
	if settings.Uses == nil {
		settings.Uses = noUses{}
	}
	return &Balancer{
		fleet:        view,
		clock:        clock,
		settings:     settings,
		random:       rand.New(rand.NewPCG(seed, 0)),
		states:       map[models.EngineID]*serverState{},
		budgets:      map[models.ServiceName]*retryBudget{},
		timings:      newTimings(),
		daemons:      1,
		startedAt:    clock.Now(),
		daemonPeak:   fleet.NewWindowMax(settings.Retries.Window),
		zoneVersion:  1,
		queues:       map[models.ServiceName]*admission.Queue{},
		rooms:        map[models.ServiceName]*serviceRoom{},
		capacity:     map[models.ServiceName]int{},
		loadShares:   map[models.DaemonID]receivedShare{},
		remoteLoads:  map[models.EngineID]models.ServerLoad{},
		fetchRecords: map[zonePair]fetchRecord{},

		unsharedSpeeds: map[models.EngineID]queuedSpeed{},
		zoneSpeeds:     map[models.EngineID]queuedSpeed{},
		references:     map[timingKey]speedReference{},
		lastings:       map[timingKey]speedReference{},
		works:          map[models.ServiceName]*serviceWork{},
		others:         map[models.ServiceName]*othersSeen{},
		typicalHeld:    map[models.ServiceName]float64{},
		prefilling:     map[*placement]struct{}{},
	}
}

// Place implements relay.Placer.
func (b *Balancer) Place(e *relay.Exchange, tried map[models.EngineID]bool) (relay.Placement, error) {
	now := b.clock.Now()
	snapshot := b.fleet.Snapshot()
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(tried) == 0 {
		b.retryBudget(e.Service.Name, now).RecordRequest(now)
	}
	b.expireShares(now)
	candidates, room := b.candidates(snapshot, e, tried, now)
	if len(candidates) == 0 && !room.IsZero() {
		return nil, limitRefusal(room, now)
	}
	if len(candidates) == 0 {
		return nil, &models.Refusal{
			Code:       models.RefusalNoBackend,
			Message:    noBackendMessage(e.Origin),
			NotRun:     true,
			RetryAfter: noBackendRetryAfter,
		}
	}
	if e.Service.Engine != nil && len(e.Prompt.Parts) > 0 {
		return b.placePrompt(e, candidates, room, e.Sends > 0, now)
	}
	if service, ok := b.works[e.Service.Name]; ok {
		return b.placeWork(e, service, candidates, now), nil
	}
	p := b.placeCall(candidates, now)
	p.expected = b.timings.call(e.Service.Name).Duration()
	return p, nil
}

// noBackendMessage is the message of a refusal when no backend server is left
// for a request, or for a stream with an origin.
func noBackendMessage(origin *models.Software) string {
	if origin == nil {
		return "no backend server of the service is left to try"
	}
	return "no backend server of version " + strconv.Quote(origin.Version) + ", which began the stream, is left to try"
}

// candidates returns the states of the backend servers that may receive a request, and
// when the first of those that have reached their limit or rest may get one again; zero
// if there are none. Those in backoff are left out unless no other is available. The
// caller must hold b.mu.
func (b *Balancer) candidates(snapshot *routing.Snapshot, e *relay.Exchange, tried map[models.EngineID]bool, now time.Time) (list []*serverState, room time.Time) {
	if snapshot == nil {
		return nil, time.Time{}
	}
	var usable, backedOff []*serverState
	for _, upstream := range snapshot.ByService[e.Service.Name] {
		if tried[upstream.ID] || !e.MayUse(upstream) {
			continue
		}
		s := b.stateOf(upstream)
		if s.leaving {
			continue
		}
		if next := b.nextRequest(s, now); next.After(now) {
			if room.IsZero() || next.Before(room) {
				room = next
			}
			continue
		}
		if now.Before(s.backoffUntil) {
			backedOff = append(backedOff, s)
			continue
		}
		usable = append(usable, s)
	}
	if len(usable) == 0 {
		return backedOff, room
	}
	return usable, room
}

// stateOf returns the state of a backend server, a new one for a new
// incarnation. The caller must hold b.mu.
func (b *Balancer) stateOf(upstream models.Upstream) *serverState {
	s, ok := b.states[upstream.ID]
	if !ok || !s.upstream.SameIncarnation(upstream) {
		s = newServerState(upstream)
		b.states[upstream.ID] = s
	}
	s.upstream = upstream
	return s
}

// Step removes the state of backend servers that are no longer registered.
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
			s.forgetLifted(now)
			continue
		}
		if now.Sub(s.seenAt) > stateRetention && s.running == 0 {
			delete(b.states, id)
		}
	}
}

// queue returns the queue of a service's engines. The caller must hold b.mu.
func (b *Balancer) queue(service models.ServiceName) *admission.Queue {
	q, ok := b.queues[service]
	if !ok {
		q = &admission.Queue{}
		b.queues[service] = q
	}
	return q
}

// placeCall places a request for a plain service on the least loaded of
// callChoices backend servers drawn at random, so that daemons with the same
// view of the load do not all choose the same one. The caller must hold b.mu.
func (b *Balancer) placeCall(candidates []*serverState, now time.Time) *placement {
	chosen := candidates[b.random.IntN(len(candidates))]
	for range callChoices - 1 {
		other := candidates[b.random.IntN(len(candidates))]
		if b.callCost(other, now) < b.callCost(chosen, now) {
			chosen = other
		}
	}
	return b.reserve(chosen, now)
}

// reserve counts a request as in flight at a backend server. The caller must
// hold b.mu.
func (b *Balancer) reserve(s *serverState, now time.Time) *placement {
	s.running++
	b.changed = true
	s.takeRoom(now)
	return &placement{balancer: b, target: s, chosen: s.upstream, placedAt: now, tookRoom: s.limit != nil}
}

// callCost returns the placement cost of a plain service's backend server, in
// requests in flight at a typical one. The caller must hold b.mu.
func (b *Balancer) callCost(s *serverState, now time.Time) float64 {
	cost := float64(1+s.running+b.remoteLoads[s.upstream.ID].Running)*b.speedFactor(s, now) + failureCost*s.decayedFailures(now)
	if s.upstream.Zone != b.settings.Zone {
		cost += crossZoneCost
	}
	return cost
}
