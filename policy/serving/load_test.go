package serving_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"quincewinch/models"
	"quincewinch/policy/serving"
)

// The load: prompts with a long part shared by many and a short part of their
// own, in bursts, on a fleet without the capacity to prefill the shared part of
// every prompt.
const (
	sharedTokens = 13300
	ownTokens    = 3700
	sharedParts  = 85                     // number of different shared parts
	objective    = 800 * time.Millisecond // for the first token
	loadDuration = 60 * time.Second
	perSecond    = 12.6  // requests
	fetchRate    = 1.3e6 // tokens of KV cache per second between engines
	burst        = 2.0   // factor on perSecond in one of every three periods of 5 s
)

// simEngine is a simulated engine that prefills prompts one after another.
type simEngine struct {
	role        models.Role
	rate        float64
	freeAt      time.Duration // when the prefill of all its prompts is done
	cachedParts map[int]bool  // shared parts in the cache
	prefilled   int           // tokens
}

// fleet is the engines of one simulation.
type fleet []*simEngine

func newFleet() fleet {
	var f fleet
	for range 5 {
		f = append(f, &simEngine{role: models.RoleDecode, rate: rate, cachedParts: map[int]bool{}})
	}
	for range 4 {
		f = append(f, &simEngine{role: models.RolePrefill, rate: 2.5 * rate, cachedParts: map[int]bool{}})
	}
	return f
}

// prefill queues the prefill of a prompt and returns when it is done. If copied
// is set, the shared part is copied from another engine instead of computed.
func (e *simEngine) prefill(shared int, copied bool, now time.Duration) time.Duration {
	tokens := ownTokens
	if !e.cachedParts[shared] && !copied {
		tokens += sharedTokens
	}
	e.cachedParts[shared] = true
	e.prefilled += tokens
	e.freeAt = max(e.freeAt, now) + time.Duration(float64(tokens)/e.rate*float64(time.Second))
	return e.freeAt
}

// placer places a prompt and returns the time of its first token.
type placer func(f fleet, shared int, now time.Duration) time.Duration

// byPolicy places prompts with serving.Choose.
func byPolicy(f fleet, shared int, now time.Duration) time.Duration {
	return place(f, f.views(shared, now), shared, now)
}

// byPolicyWithoutCopies places prompts with serving.Choose where each engine has
// failed lately, so that cached parts are copied from none.
func byPolicyWithoutCopies(f fleet, shared int, now time.Duration) time.Duration {
	views := f.views(shared, now)
	for i := range views {
		views[i].Penalty = time.Nanosecond
	}
	return place(f, views, shared, now)
}

// views returns the engines as a placement of a prompt sees them.
func (f fleet) views(shared int, now time.Duration) []serving.Engine {
	engines := make([]serving.Engine, len(f))
	for i, e := range f {
		engines[i] = serving.Engine{Role: e.role, Slots: 64, Rate: e.rate, Backlog: max(e.freeAt-now, 0)}
		if e.cachedParts[shared] {
			engines[i].Cached = sharedTokens
		}
	}
	return engines
}

func place(f fleet, engines []serving.Engine, shared int, now time.Duration) time.Duration {
	c, ok := serving.Choose(serving.Request{Tokens: sharedTokens + ownTokens, FetchRate: fetchRate}, engines)
	if !ok {
		return loadDuration
	}
	prefiller := f[c.Target]
	if c.Prefiller >= 0 {
		prefiller = f[c.Prefiller]
		f[c.Target].cachedParts[shared] = true
	}
	return prefiller.prefill(shared, c.Source >= 0, now) + 100*time.Millisecond
}

// byBacklog places each prompt on the decode engine with the shortest backlog.
func byBacklog(f fleet, shared int, now time.Duration) time.Duration {
	var shortest *simEngine
	for _, e := range f {
		if e.role == models.RoleDecode && (shortest == nil || e.freeAt < shortest.freeAt) {
			shortest = e
		}
	}
	return shortest.prefill(shared, false, now) + 100*time.Millisecond
}

// simulate returns the share of requests whose first token came within the
// objective, and the number of tokens prefilled.
func simulate(seed uint64, choose placer) (onTime float64, prefilled int) {
	random := rand.New(rand.NewPCG(seed, 0))
	f := newFleet()
	offered, served := 0, 0
	for now := time.Duration(0); now < loadDuration; {
		arrivalRate := perSecond
		if now/(5*time.Second)%3 == 0 {
			arrivalRate *= burst
		}
		now += time.Duration(random.ExpFloat64() / arrivalRate * float64(time.Second))
		offered++
		if choose(f, random.IntN(sharedParts), now)-now <= objective {
			served++
		}
	}
	for _, e := range f {
		prefilled += e.prefilled
	}
	return float64(served) / float64(offered), prefilled
}

func TestChooseBeatsBacklogOnly(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			served, prefilled := simulate(seed, byPolicy)
			baseline, baselinePrefilled := simulate(seed, byBacklog)
			if served <= baseline {
				t.Errorf("share of requests in time: %.3f by policy, want more than %.3f by backlog", served, baseline)
			}
			if prefilled >= baselinePrefilled {
				t.Errorf("prefilled tokens: %d by policy, want fewer than %d by backlog", prefilled, baselinePrefilled)
			}
		})
	}
}

// A shared part that some engine has cached is copied, not computed again.
func TestCopiesSharedParts(t *testing.T) {
	var served, without float64
	var prefilled, prefilledWithout int
	for seed := range uint64(10) {
		onTime, tokens := simulate(seed, byPolicy)
		served += onTime
		prefilled += tokens
		onTime, tokens = simulate(seed, byPolicyWithoutCopies)
		without += onTime
		prefilledWithout += tokens
	}
	if served <= without {
		t.Errorf("shares of requests in time: %.3f in sum, want more than %.3f without copies", served, without)
	}
	if prefilled >= prefilledWithout {
		t.Errorf("prefilled tokens: %d, want fewer than %d without copies", prefilled, prefilledWithout)
	}
}

func BenchmarkChoose(b *testing.B) {
	engines := make([]serving.Engine, 120)
	for i := range engines {
		engines[i] = decode()
		if i%3 == 0 {
			engines[i] = prefill()
		}
		engines[i].Order = i
	}
	request := serving.Request{Zone: "z", Tokens: sharedTokens + ownTokens, FetchRate: fetchRate}
	for b.Loop() {
		serving.Choose(request, engines)
	}
}

func BenchmarkServedInTime(b *testing.B) {
	for name, choose := range map[string]placer{"policy": byPolicy, "backlog": byBacklog} {
		b.Run(name, func(b *testing.B) {
			var served float64
			for b.Loop() {
				served, _ = simulate(1, choose)
			}
			b.ReportMetric(served, "in-time")
		})
	}
}
