package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/system"
	"quincewinch/routing"
)

const (
	decodeEngines  = 12
	prefillEngines = 4
	// contact is how long a daemon has been undisturbed when it is in touch.
	contact = 3 * time.Second
	// settleTime is the time from the last deadly request until sound ones must
	// begin as usual.
	settleTime = 15 * time.Second
	calmTime   = 5 * time.Second // observed after settleTime
)

// disturbance is a kind of fault that a schedule has beside the deadly part.
type disturbance string

const (
	restarts      disturbance = "restarts"       // of daemons, one at a time
	cuts          disturbance = "cuts"           // between two daemons
	lostShares    disturbance = "lost shares"    // between all daemons
	groupCrashes  disturbance = "group crashes"  // of engines, for reasons of their own
	greyEngines   disturbance = "grey engines"   // alive, but reset some requests
	additions     disturbance = "additions"      // of daemons
	garbledAnswer disturbance = "garbled answer" // answers that end early
	massRestart   disturbance = "mass restart"   // of half of the daemons at once
)

var disturbances = []disturbance{restarts, cuts, lostShares, groupCrashes, greyEngines, garbledAnswer, massRestart}

// settings are the parameters of a schedule.
type settings struct {
	daemons      int
	spares       int // daemons that start only when they are added
	desks        int // servers of a plain service
	zones        int
	rate         float64 // requests per second
	repeats      float64 // share of the sound requests that come again unchanged
	disturbances []disturbance
	start        time.Duration // of the deadly part and the disturbances
	duration     time.Duration // of both
	deadly       deadlySettings
}

// deadlySettings are how requests with the deadly part come; zero: none do.
type deadlySettings struct {
	kind     int     // index of the kind of its requests
	share    float64 // of the requests of that kind
	position position
	subject  int // the deadly part is this subject of the kind; -1: a part of its own
	repeated repeatSettings
	bodies   int // with the part; 0: each of its requests has its own
}

// repeatSettings are how one deadly request comes again and again; zero: none does.
type repeatSettings struct {
	rate       float64       // per second
	everywhere bool          // at all daemons at once
	age        time.Duration // at which it crashes its engine; 0: at any
}

// schedule is a run of daemons, engines and callers. What happens in it beside
// requests and load shares happens in turn, under mu.
type schedule struct {
	t     *testing.T
	is    *is.I
	seed  uint64
	clock peer.Clock
	settings
	kinds      []*kind
	deadlyPart string

	mu       sync.Mutex
	origin   time.Time
	ended    bool // no further requests come
	daemons  []*daemon
	cut      map[[2]int]int // pairs of daemons that do not reach each other
	lost     bool           // a share of the load shares is lost
	engines  map[models.EngineID]*engine
	snapshot *routing.Snapshot
	started  int  // engines
	crashed  int  // engines, for any reason
	crashing bool // the deadly part crashes engines
	coming   bool // requests with the deadly part come
	requests map[models.RequestID]*request

	record
	callers sync.WaitGroup
}

func newSchedule(t *testing.T, seed uint64, settings settings) *schedule {
	s := &schedule{
		t: t, is: is.New(t), seed: seed, clock: system.NewClock(), settings: settings,
		cut: map[[2]int]int{}, engines: map[models.EngineID]*engine{}, requests: map[models.RequestID]*request{},
	}
	s.origin = s.clock.Now()
	s.kinds = newKinds(s.draw("kinds", 0), settings.rate, settings.desks > 0)
	s.deadlyPart = "deadly"
	if settings.deadly.subject >= 0 {
		s.deadlyPart = s.kinds[settings.deadly.kind].subjectID(settings.deadly.subject)
	}
	for i := range decodeEngines + prefillEngines {
		role := models.RoleDecode
		if i >= decodeEngines {
			role = models.RolePrefill
		}
		s.startEngine(i, role, "")
	}
	for i := range settings.desks {
		s.startEngine(decodeEngines+prefillEngines+i, "", "")
	}
	for i := range settings.daemons + settings.spares {
		s.daemons = append(s.daemons, &daemon{schedule: s, index: i})
	}
	for _, d := range s.daemons[:settings.daemons] {
		d.start()
	}
	return s
}

// draw returns random numbers for the nth use of a purpose: they do not depend on
// what happens at the same time.
func (s *schedule) draw(purpose string, n int) *rand.Rand {
	return rand.New(rand.NewPCG(s.seed, xxhash.Sum64String(fmt.Sprintf("%s %d", purpose, n))))
}

// between draws a duration.
func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

// run plays the whole schedule.
func (s *schedule) run() {
	s.begin()
	for _, d := range s.disturbances {
		s.disturb(d, s.start+s.duration)
	}
	s.sleep(s.start)
	crashing := s.deadly.share > 0 || s.deadly.repeated.rate > 0
	s.setDeadly(crashing, true)
	s.sleep(s.duration)
	s.setDeadly(crashing, false)
	s.sleep(settleTime + calmTime)
	s.end()
}

// begin lets requests come.
func (s *schedule) begin() {
	for i := range s.kinds {
		s.callers.Add(1)
		go s.ask(i)
	}
	if s.deadly.repeated.rate > 0 {
		s.callers.Add(1)
		go s.repeatDeadly()
	}
}

// end ends the schedule once all requests have ended.
func (s *schedule) end() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.callers.Wait()
	for _, d := range s.daemons {
		d.kill()
	}
}

// setDeadly sets whether the deadly part crashes engines and whether requests with
// it come.
func (s *schedule) setDeadly(crashing, coming bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashing, s.coming = crashing, coming
}

func (s *schedule) sleep(d time.Duration) {
	s.is.NoErr(s.clock.Sleep(s.t.Context(), d))
}

// after calls a function later, under s.mu.
func (s *schedule) after(d time.Duration, call func()) {
	go func() {
		if s.clock.Sleep(s.t.Context(), d) != nil {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		call()
	}()
}

// disturb injects a kind of fault at random moments up to a time.
func (s *schedule) disturb(kind disturbance, until time.Duration) {
	r := s.draw(string(kind), 0)
	repeat := func(low, high time.Duration, call func(r *rand.Rand)) {
		n := 0
		for at := between(r, 0, high); at < until; at += between(r, low, high) {
			n++
			draws := s.draw(string(kind), n)
			s.after(at, func() { call(draws) })
		}
	}
	switch kind {
	case restarts:
		repeat(2*time.Second, 6*time.Second, func(r *rand.Rand) { s.restart(r, 1) })
	case cuts:
		repeat(3*time.Second, 8*time.Second, s.cutPair)
	case lostShares:
		repeat(7*time.Second, 14*time.Second, s.loseShares)
	case groupCrashes:
		repeat(3*time.Second, 9*time.Second, func(r *rand.Rand) {
			for _, e := range s.group(r, 0.15, 0.3) {
				s.crash(e)
			}
		})
	case greyEngines:
		repeat(5*time.Second, 15*time.Second, func(r *rand.Rand) {
			for _, e := range s.group(r, 0.2, 0.4) {
				e.greyUntil = s.clock.Now().Add(between(r, 3*time.Second, 9*time.Second))
			}
		})
	case garbledAnswer:
		repeat(5*time.Second, 15*time.Second, func(r *rand.Rand) {
			for _, e := range s.group(r, 0.2, 0.5) {
				e.garbledUntil = s.clock.Now().Add(between(r, 3*time.Second, 9*time.Second))
			}
		})
	case additions:
		for _, d := range s.daemons[s.settings.daemons:] {
			s.after(between(r, 0, until), d.startLocked)
		}
	case massRestart:
		s.after(between(r, 0, until), func() { s.restart(r, s.settings.daemons/2) })
	}
}

// restart kills daemons and starts them again. The caller must hold s.mu.
func (s *schedule) restart(r *rand.Rand, count int) {
	for _, i := range r.Perm(len(s.daemons))[:count] {
		d := s.daemons[i]
		if !d.alive {
			continue
		}
		d.killLocked()
		s.after(between(r, 300*time.Millisecond, 2*time.Second), d.startLocked)
	}
}

// cutPair cuts two daemons off from each other. The caller must hold s.mu.
func (s *schedule) cutPair(r *rand.Rand) {
	pair := r.Perm(len(s.daemons))[:2]
	slices.Sort(pair)
	key := [2]int(pair)
	s.cut[key]++
	s.after(time.Second, func() {
		s.cut[key]--
		for _, i := range key {
			s.daemons[i].disturbedAt = s.clock.Now()
		}
	})
}

// loseShares loses a share of all load shares. The caller must hold s.mu.
func (s *schedule) loseShares(*rand.Rand) {
	s.lost = true
	s.after(time.Second, func() {
		s.lost = false
		for _, d := range s.daemons {
			d.disturbedAt = s.clock.Now()
		}
	})
}

// group draws a share of the engines that are alive. The caller must hold s.mu.
func (s *schedule) group(r *rand.Rand, low, high float64) []*engine {
	var alive []*engine
	for _, e := range s.engines {
		if e.alive {
			alive = append(alive, e)
		}
	}
	slices.SortFunc(alive, func(a, b *engine) int { return strings.Compare(string(a.upstream.ID), string(b.upstream.ID)) })
	r.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	share := low + (high-low)*r.Float64()
	return alive[:int(share*float64(len(alive))+0.5)]
}

// reaches reports whether load shares get from one daemon to another. The caller
// must hold s.mu.
func (s *schedule) reaches(from, to int) bool {
	return s.cut[[2]int{min(from, to), max(from, to)}] == 0
}

// inTouch reports whether a daemon has been undisturbed long enough to be judged.
// The caller must hold s.mu.
func (s *schedule) inTouch(d *daemon) bool {
	if !d.alive || s.lost {
		return false
	}
	for i := range s.daemons {
		if !s.reaches(d.index, i) {
			return false
		}
	}
	return s.clock.Now().Sub(d.disturbedAt) >= contact
}

// sinceBegin returns the time since the schedule began.
func (s *schedule) sinceBegin() time.Duration {
	return s.clock.Now().Sub(s.origin)
}
