package placement

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"quincewinch/models"
)

const (
	// maxSampled is how many engines a decision compares while reports are
	// fresh, minSampled how many it compares however stale they are.
	maxSampled = 16
	minSampled = 2
)

// Snapshot holds the engines that can run a model, as a daemon knows them. Only
// the work of its candidates changes after it is built.
type Snapshot struct {
	Zone        models.Zone
	Candidates  []Candidate
	index       map[models.EngineID]int
	reserved    []int   // indexes of candidates that aren't cheap
	peerRate    float64 // requests per second that other daemons send to one engine, on average
	peerRatio   float64 // requests of the other daemons over those of this one
	meanLoadAge float64 // in seconds, when the snapshot was built
	all         []int
}

// Choice is the chosen engine, with the predictions for it.
type Choice struct {
	Server        models.BackendServer
	Wait          time.Duration // predicted, before prefill starts
	MissedPrefill time.Duration // prefill time that the longest cached prefix among the compared would save
	FirstToken    time.Duration // predicted time to the first token
	Step          time.Duration // predicted time between two tokens
	Cached        int           // prompt tokens expected in its prefix cache
	Compared      int
	LastResort    bool // taken only because no better suited engine was left
}

// Rates are the requests per second sent to all engines of a model.
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
			s.reserved = append(s.reserved, i)
		}
		s.meanLoadAge += max(now.Sub(c.Load.MeasuredAt), 0).Seconds()
	}
	if len(candidates) > 0 {
		s.peerRate = rates.Others / float64(len(candidates))
		s.meanLoadAge /= float64(len(candidates))
	}
	if rates.Own > 0 {
		s.peerRatio = rates.Others / rates.Own
	}
	return s
}

// Usable reports whether an engine may get new requests for a model.
func Usable(server models.BackendServer, state *models.EngineState, model models.Model) bool {
	return !server.Leaving && !state.Draining && !state.Changing && state.EvictionAt.IsZero() &&
		slices.Contains(state.Models, model)
}

// Candidate returns the candidate of an engine, or nil if there is none.
func (s *Snapshot) Candidate(engine models.EngineID) *Candidate {
	if i, ok := s.index[engine]; ok {
		return &s.Candidates[i]
	}
	return nil
}

// Choose returns the engine for a request. It compares a random sample and the
// engines that hold the longest cached prefix of the prompt. The more requests
// other daemons send between two reports, the smaller the sample, so that
// daemons with the same stale reports don't all choose the same engine. If none
// of these can run the request, all candidates are compared, cheap ones
// included.
func (s *Snapshot) Choose(d *Demand, cache *CacheIndex, random *rand.Rand, now time.Time) (Choice, bool) {
	pool := s.all
	if !d.Repeatable {
		pool = s.reserved
	}
	if choice, ok := s.chooseFrom(pool, d, cache, random, now); ok {
		return choice, true
	}
	choice, ok := s.chooseFromAll(d, cache, now)
	choice.LastResort = ok
	return choice, ok
}

func (s *Snapshot) chooseFrom(pool []int, d *Demand, cache *CacheIndex, random *rand.Rand, now time.Time) (Choice, bool) {
	best := selection{snapshot: s, demand: d, cache: cache, now: now, bestIndex: -1}
	sample := s.sampleSize()
	if len(pool) <= sample {
		for _, i := range pool {
			best.consider(i)
		}
		return best.choice()
	}
	for range sample {
		best.consider(pool[random.IntN(len(pool))])
	}
	for _, engine := range cache.Holders(d.Hashes) {
		if i, ok := s.index[engine]; ok && (d.Repeatable || !s.Candidates[i].Server.Cheap) {
			best.consider(i)
		}
	}
	return best.choice()
}

// chooseFromAll compares all candidates.
func (s *Snapshot) chooseFromAll(d *Demand, cache *CacheIndex, now time.Time) (Choice, bool) {
	best := selection{snapshot: s, demand: d, cache: cache, now: now, bestIndex: -1}
	for _, i := range s.all {
		best.consider(i)
	}
	return best.choice()
}

func (s *Snapshot) sampleSize() int {
	arrivals := s.peerRate * s.meanLoadAge
	return max(minSampled, int(maxSampled/(1+arrivals)))
}

// selection keeps the best of the candidates compared so far.
type selection struct {
	snapshot  *Snapshot
	demand    *Demand
	cache     *CacheIndex
	now       time.Time
	bestIndex int
	bestScore score
	maxCached float64 // largest of all compared, in prompt tokens
	compared  int
}

func (s *selection) consider(i int) {
	candidate := &s.snapshot.Candidates[i]
	if i == s.bestIndex || slices.Contains(s.demand.Excluded, candidate.Server.Engine) {
		return
	}
	cached := s.cache.CachedTokens(candidate.Server.Engine, s.demand.Hashes)
	scored, ok := s.snapshot.assess(candidate, s.demand, min(cached, float64(s.demand.Prompt)), s.now)
	if !ok {
		return
	}
	s.compared++
	s.maxCached = max(s.maxCached, scored.cached)
	if s.bestIndex < 0 || scored.total < s.bestScore.total {
		s.bestIndex = i
		s.bestScore = scored
	}
}

func (s *selection) choice() (Choice, bool) {
	if s.bestIndex < 0 {
		return Choice{}, false
	}
	chosen := &s.snapshot.Candidates[s.bestIndex]
	missed := (s.maxCached - s.bestScore.cached) / max(chosen.Load.State.PrefillRate, 1)
	return Choice{
		Server:        chosen.Server,
		MissedPrefill: time.Duration(missed * float64(time.Second)),
		Wait:          time.Duration(s.bestScore.wait * float64(time.Second)),
		FirstToken:    time.Duration(s.bestScore.first * float64(time.Second)),
		Step:          time.Duration(s.bestScore.step * float64(time.Second)),
		Cached:        int(s.bestScore.cached),
		Compared:      s.compared,
	}, true
}

// Why returns the reason of the choice, for operators.
func (c Choice) Why() string {
	text := make([]byte, 0, 128)
	text = append(text, "least time expected of "...)
	text = strconv.AppendInt(text, int64(c.Compared), 10)
	text = append(text, " engines compared: first token in "...)
	text = strconv.AppendInt(text, c.FirstToken.Milliseconds(), 10)
	text = append(text, " ms, "...)
	text = strconv.AppendInt(text, int64(c.Cached), 10)
	text = append(text, " prompt tokens cached"...)
	if c.LastResort {
		text = append(text, "; no dependable engine was free"...)
	}
	return string(text)
}
