package placement

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"quincewinch/models"
)

const (
	// mostSampled is how many engines a decision compares while reports are
	// fresh, leastSampled however stale they are.
	mostSampled  = 16
	leastSampled = 2
)

// Snapshot is what a daemon knows of the engines that can run a model. Only
// the work of its candidates changes after it is built.
type Snapshot struct {
	Zone       models.Zone
	Candidates []Candidate
	index      map[models.EngineID]int
	dependable []int   // candidates that aren't cheap
	others     float64 // requests a second that other daemons send to one engine
	ratio      float64 // of what they send to what this daemon sends
	lag        float64 // mean age of the loads when it was built, in seconds
	all        []int
}

// Choice is the engine chosen.
type Choice struct {
	Server     models.BackendServer
	Wait       time.Duration // predicted wait before its prefill
	Missed     time.Duration // prefill that the engine with the longest cached prefix would save
	FirstToken time.Duration // predicted time to the first token
	Step       time.Duration // predicted time between two tokens
	Cached     int           // prompt tokens expected in its prefix cache
	Compared   int
	Last       bool // only taken because nothing better suited was left
}

// Rates are how many requests a second are sent to all engines of a model.
type Rates struct {
	Own    float64 // by this daemon
	Others float64 // by the other daemons
}

// NewSnapshot builds a snapshot of usable candidates.
func NewSnapshot(zone models.Zone, candidates []Candidate, rates Rates, now time.Time) *Snapshot {
	s := &Snapshot{Zone: zone, Candidates: candidates, index: make(map[models.EngineID]int, len(candidates))}
	for i := range candidates {
		c := &candidates[i]
		s.index[c.Server.Engine] = i
		s.all = append(s.all, i)
		if !c.Server.Cheap {
			s.dependable = append(s.dependable, i)
		}
		s.lag += max(now.Sub(c.Load.MeasuredAt), 0).Seconds()
	}
	if len(candidates) > 0 {
		s.others = rates.Others / float64(len(candidates))
		s.lag /= float64(len(candidates))
	}
	if rates.Own > 0 {
		s.ratio = rates.Others / rates.Own
	}
	return s
}

// Usable reports whether an engine may get new requests for a model.
func Usable(server models.BackendServer, state *models.EngineState, model models.Model) bool {
	return !server.Leaving && !state.Draining && !state.Changing && state.EvictionAt.IsZero() &&
		slices.Contains(state.Models, model)
}

// Candidate returns the candidate of an engine, nil if there is none.
func (s *Snapshot) Candidate(engine models.EngineID) *Candidate {
	if i, ok := s.index[engine]; ok {
		return &s.Candidates[i]
	}
	return nil
}

// Choose returns the engine for a request. It compares a random sample, the
// smaller the more requests others send between two reports, so that daemons
// that see the same stale reports don't all choose the same engine; engines
// that hold the longest prefix of the prompt are always compared.
func (s *Snapshot) Choose(d *Demand, cache *Cache, random *rand.Rand, now time.Time) (Choice, bool) {
	pool := s.all
	if !d.Repeatable {
		pool = s.dependable
	}
	if choice, ok := s.chooseFrom(pool, d, cache, random, now); ok {
		return choice, true
	}
	choice, ok := s.scan(d, cache, now)
	choice.Last = ok
	return choice, ok
}

func (s *Snapshot) chooseFrom(pool []int, d *Demand, cache *Cache, random *rand.Rand, now time.Time) (Choice, bool) {
	best := contest{snapshot: s, demand: d, cache: cache, now: now, at: -1}
	sample := s.sampleSize()
	if len(pool) <= sample {
		for _, i := range pool {
			best.enter(i)
		}
		return best.choice()
	}
	for range sample {
		best.enter(pool[random.IntN(len(pool))])
	}
	for _, engine := range cache.Holders(d.Hashes) {
		if i, ok := s.index[engine]; ok && (d.Repeatable || !s.Candidates[i].Server.Cheap) {
			best.enter(i)
		}
	}
	return best.choice()
}

// scan compares all candidates.
func (s *Snapshot) scan(d *Demand, cache *Cache, now time.Time) (Choice, bool) {
	best := contest{snapshot: s, demand: d, cache: cache, now: now, at: -1}
	for _, i := range s.all {
		best.enter(i)
	}
	return best.choice()
}

func (s *Snapshot) sampleSize() int {
	arrivals := s.others * s.lag
	return max(leastSampled, int(mostSampled/(1+arrivals)))
}

// contest keeps the best candidate so far.
type contest struct {
	snapshot *Snapshot
	demand   *Demand
	cache    *Cache
	now      time.Time
	at       int
	best     score
	cached   float64 // most of all compared
	compared int
}

func (c *contest) enter(i int) {
	candidate := &c.snapshot.Candidates[i]
	if i == c.at || slices.Contains(c.demand.Excluded, candidate.Server.Engine) {
		return
	}
	cached := c.cache.Credit(candidate.Server.Engine, c.demand.Hashes)
	scored, ok := c.snapshot.assess(candidate, c.demand, min(cached, float64(c.demand.Prompt)), c.now)
	if !ok {
		return
	}
	c.compared++
	c.cached = max(c.cached, scored.cached)
	if c.at < 0 || scored.total < c.best.total {
		c.at = i
		c.best = scored
	}
}

func (c *contest) choice() (Choice, bool) {
	if c.at < 0 {
		return Choice{}, false
	}
	chosen := &c.snapshot.Candidates[c.at]
	missed := (c.cached - c.best.cached) / max(chosen.Load.State.PrefillRate, 1)
	return Choice{
		Server:     chosen.Server,
		Missed:     time.Duration(missed * float64(time.Second)),
		Wait:       time.Duration(c.best.wait * float64(time.Second)),
		FirstToken: time.Duration(c.best.first * float64(time.Second)),
		Step:       time.Duration(c.best.step * float64(time.Second)),
		Cached:     int(c.best.cached),
		Compared:   c.compared,
	}, true
}

// Why tells operators why the engine was chosen.
func (c Choice) Why() string {
	text := make([]byte, 0, 128)
	text = append(text, "least time expected of "...)
	text = strconv.AppendInt(text, int64(c.Compared), 10)
	text = append(text, " engines compared: first token in "...)
	text = strconv.AppendInt(text, c.FirstToken.Milliseconds(), 10)
	text = append(text, " ms, "...)
	text = strconv.AppendInt(text, int64(c.Cached), 10)
	text = append(text, " prompt tokens cached"...)
	if c.Last {
		text = append(text, "; no dependable engine was free"...)
	}
	return string(text)
}
