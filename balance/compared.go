package balance

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"quincewinch/models"
	"quincewinch/relay"
)

const (
	// minChoices is the least number of engines of each role that are drawn at random for
	// one prompt, and choicesPerUnseen that number for one request to each engine that
	// other daemons have sent and this one does not know of yet.
	minChoices       = 2
	choicesPerUnseen = 3.0
)

// compared returns the engines that a prompt is placed among. Where the service's engines
// state a pace and loads are old, these are some of each role drawn at random, so that
// daemons with the same view of the load do not all choose the same one, the first in the
// prompt's rendezvous order, and in each zone the one with the longest cached prefix. The
// caller must hold b.mu.
func (b *Balancer) compared(e *relay.Exchange, candidates []*serverState, now time.Time) []*serverState {
	if _, ok := b.works[e.Service.Name]; !ok {
		return candidates
	}
	choices := b.othersOf(e.Service.Name).choices(len(candidates), now)
	if choices >= len(candidates) {
		return candidates
	}
	selection := newEngineSelection(choices)
	key := xxhash.Sum64String(sharedPartID(e.Prompt))
	for _, s := range candidates {
		selection.first(s, rendezvousWeight(key, s.idHash))
		selection.cached(s, s.cache.cachedPrefix(e.Prompt.Parts))
		selection.draw(s, b.random.IntN)
	}
	return selection.list()
}

// engineSelection collects engines in one pass.
type engineSelection struct {
	orders  map[models.Role]weighed
	longest map[models.Zone]weighed
	choices int // of each role
	drawn   map[models.Role][]*serverState
	seen    map[models.Role]int
}

// weighed is the engine of the largest weight so far.
type weighed struct {
	server *serverState
	weight uint64
}

func newEngineSelection(choices int) *engineSelection {
	return &engineSelection{
		choices: choices,
		orders:  map[models.Role]weighed{},
		longest: map[models.Zone]weighed{},
		drawn:   map[models.Role][]*serverState{},
		seen:    map[models.Role]int{},
	}
}

// first keeps the first engine of each role in the prompt's rendezvous order.
func (c *engineSelection) first(s *serverState, weight uint64) {
	if best, ok := c.orders[s.upstream.Role]; !ok || weight > best.weight {
		c.orders[s.upstream.Role] = weighed{server: s, weight: weight}
	}
}

// cached keeps the engine of each zone that has most of the prompt cached, of several the
// one with the fewest requests of this daemon.
func (c *engineSelection) cached(s *serverState, tokens int) {
	if tokens == 0 {
		return
	}
	best, ok := c.longest[s.upstream.Zone]
	if !ok || uint64(tokens) > best.weight || uint64(tokens) == best.weight && s.running < best.server.running {
		c.longest[s.upstream.Zone] = weighed{server: s, weight: uint64(tokens)}
	}
}

// draw draws the engines of each role, all with the same probability.
func (c *engineSelection) draw(s *serverState, random func(int) int) {
	role := s.upstream.Role
	c.seen[role]++
	if len(c.drawn[role]) < c.choices {
		c.drawn[role] = append(c.drawn[role], s)
		return
	}
	if i := random(c.seen[role]); i < c.choices {
		c.drawn[role][i] = s
	}
}

// list returns each engine once.
func (c *engineSelection) list() []*serverState {
	var list []*serverState
	added := map[*serverState]bool{}
	add := func(s *serverState) {
		if !added[s] {
			added[s] = true
			list = append(list, s)
		}
	}
	for _, role := range []models.Role{models.RoleDecode, models.RolePrefill} {
		if best, ok := c.orders[role]; ok {
			add(best.server)
		}
		for _, s := range c.drawn[role] {
			add(s)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(c.longest)) {
		add(c.longest[zone].server)
	}
	return list
}

const (
	// arrivalMemory is the time constant of the rate of requests of other daemons, and
	// ageWeight the weight of the latest report in the average age of reports.
	arrivalMemory = 2 * time.Second
	// minCounted is the least time over which a rate is computed.
	minCounted = 500 * time.Millisecond
	// askedMemory is the same of the requests to this daemon, which gets few of them.
	askedMemory = 10 * time.Second
	ageWeight   = 0.05
)

// othersSeen is how much the other daemons do, and how old what they say of it is.
type othersSeen struct {
	reported decayingRate  // observations of the others
	asked    decayingRate  // requests to this daemon
	age      time.Duration // average of reports when they arrive
}

// decayingRate counts events per second.
type decayingRate struct {
	value float64 // as of at
	at    time.Time
	since time.Time // of the first event
}

func (r *decayingRate) add(count float64, memory time.Duration, now time.Time) {
	if r.since.IsZero() {
		r.since = now
	}
	r.value = r.value*math.Exp(-now.Sub(r.at).Seconds()/memory.Seconds()) + count/memory.Seconds()
	r.at = now
}

func (r *decayingRate) current(memory time.Duration, now time.Time) float64 {
	if r.since.IsZero() {
		return 0
	}
	seen := 1 - math.Exp(-max(now.Sub(r.since), minCounted).Seconds()/memory.Seconds())
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/memory.Seconds()) / seen
}

// observe records a report of another daemon.
func (o *othersSeen) observe(report models.SpeedReport, now time.Time) {
	o.reported.add(report.Observations, arrivalMemory, now)
	o.age += time.Duration(ageWeight * float64(report.LoadAge-o.age))
}

// unseen returns how many requests the other daemons are expected to have sent that are
// not known yet.
func (o *othersSeen) unseen(now time.Time) float64 {
	return o.reported.current(arrivalMemory, now) * o.age.Seconds()
}

// unseenAsked returns how many requests some other daemons are expected to have got that
// are not known yet, if each gets as many as this one.
func (o *othersSeen) unseenAsked(others int, now time.Time) float64 {
	return o.asked.current(askedMemory, now) * float64(others) * o.age.Seconds()
}

// othersOf returns what is known of the other daemons' requests to a service. The caller
// must hold b.mu.
func (b *Balancer) othersOf(service models.ServiceName) *othersSeen {
	o, ok := b.others[service]
	if !ok {
		o = &othersSeen{}
		b.others[service] = o
	}
	return o
}

// choices returns how many of some engines a prompt is placed among: the fewer the more
// requests to each other daemons are expected to have sent that are not known yet.
func (o *othersSeen) choices(engines int, now time.Time) int {
	unseen := o.unseen(now) / float64(engines)
	if unseen*float64(engines) <= choicesPerUnseen {
		return engines
	}
	return max(int(choicesPerUnseen/unseen), minChoices)
}
