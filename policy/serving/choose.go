// Package serving decides which model engine runs the prefill of a prompt and
// which one generates the answer. It is made for loads whose prompts share long
// prefixes and whose ratio of prompt to output tokens changes within seconds:
// the cost of a prompt depends on how much of it an engine still has cached.
package serving

import (
	"time"

	"quincewinch/models"
)

const (
	// fetchLatency is the time until the first byte when an engine fetches KV
	// cache from another one.
	fetchLatency = 10 * time.Millisecond
	// crossZonePenalty is added for an engine in another availability zone:
	// traffic between zones is charged for.
	crossZonePenalty = 10 * time.Millisecond
	// prefillWeight is the share of the prefill time that is added to the cost
	// again, because it delays the requests that come after.
	prefillWeight = 0.5
	// orderPenalty breaks ties between engines: it is added for each place in
	// the prompt's rendezvous order of engines.
	orderPenalty = 3 * time.Millisecond
)

// Engine is the state of a model engine as known to a daemon that places a
// request.
type Engine struct {
	Zone    models.Zone
	Role    models.Role
	Slots   int           // batch capacity in requests; 0: unlimited
	Running int           // requests in flight there
	Backlog time.Duration // time until the prefill of the prompts sent there is done
	Rate    float64       // prompt tokens per second in prefill
	Setup   time.Duration // for an empty prompt
	Cached  int           // leading tokens of the prompt in its cache
	Order   int           // place in the prompt's rendezvous order of engines, from 0
	Penalty time.Duration // for recent failures
	// Work is the time for which the requests in flight still occupy a slot there, one
	// after the other; 0: not known.
	Work time.Duration
}

// Request is a request to be placed.
type Request struct {
	Zone      models.Zone // of the daemon
	Tokens    int         // in its prompt
	FetchRate float64     // KV cache tokens per second between engines; 0: engines do not fetch
	// Start is the time from the fetch of the whole KV cache to the first token.
	Start time.Duration
	// RunTime is how long a request occupies a slot of the engine that generates.
	RunTime time.Duration
}

// Choice is the engines chosen for a request, given by index.
type Choice struct {
	Target    int
	Prefiller int           // runs the prefill for the target; -1: the target does
	Source    int           // the engine that does the prefill copies cached KV from it first; -1: none
	Predicted time.Duration // from now to the first token
	Unloaded  time.Duration // likewise if the engines had nothing else to do
	Uncached  int           // prompt tokens that need prefill
	Copying   time.Duration // of cached KV from Source, before the prefill
	Fetching  time.Duration // of the whole KV cache from Prefiller by Target
}

// prefill is how an engine gets the KV cache of a prompt: it copies what another
// engine has cached beyond its own, and computes the rest.
type prefill struct {
	source   int // -1: nothing is copied
	copied   int // tokens
	uncached int // tokens to compute
	copying  time.Duration
	reading  time.Duration
}

// duration returns the time from the end of the backlog to the end of the
// prefill.
func (p prefill) duration() time.Duration {
	return p.copying + p.reading
}

// Choose returns the choice of least cost, and reports false if no engine can
// run the request. The cost is the predicted time to the first token plus
// penalties, for example for the delay to other requests.
func Choose(r Request, engines []Engine) (Choice, bool) {
	sources := findSources(r, engines)
	best := Choice{Target: -1, Prefiller: -1, Source: -1}
	var bestCost time.Duration
	prefiller, plan := bestPrefiller(r, engines, sources)
	for i, e := range engines {
		if e.Role == models.RolePrefill {
			continue
		}
		choice, cost := directChoice(r, e, i, sources)
		if best.Target < 0 || cost < bestCost {
			best, bestCost = choice, cost
		}
		if prefiller < 0 || r.FetchRate <= 0 {
			continue
		}
		choice, cost = splitChoice(r, e, i, engines[prefiller], plan)
		choice.Prefiller = prefiller
		if cost < bestCost {
			best, bestCost = choice, cost
		}
	}
	return best, best.Target >= 0
}

// directChoice returns the choice and cost of an engine that runs the prefill
// itself.
func directChoice(r Request, e Engine, index int, s sources) (Choice, time.Duration) {
	plan := s.plan(r, e)
	unloaded := plan.duration() + e.Setup
	predicted := max(e.Backlog, slotWait(r, e)) + unloaded
	cost := predicted + occupancy(plan) + penalties(r, e)
	return Choice{Target: index, Prefiller: -1, Source: plan.source, Predicted: predicted, Unloaded: unloaded, Uncached: plan.uncached, Copying: plan.copying}, cost
}

// splitChoice returns the choice and cost of an engine that fetches the KV
// cache after the prefill on another one. The prefill of its own backlog comes
// before the fetch.
func splitChoice(r Request, e Engine, index int, prefiller Engine, plan prefill) (Choice, time.Duration) {
	fetch := fetchLatency + tokenTime(r.Tokens, r.FetchRate)
	unloaded := plan.duration() + prefiller.Setup + fetch + r.Start
	prefilled := prefiller.Backlog + plan.duration() + prefiller.Setup
	predicted := max(prefilled, e.Backlog, slotWait(r, e)) + fetch + r.Start
	cost := predicted + fetch + penalties(r, e)
	return Choice{Target: index, Source: plan.source, Predicted: predicted, Unloaded: unloaded, Uncached: plan.uncached, Copying: plan.copying, Fetching: fetch}, cost
}

// bestPrefiller returns the index of the prefill engine of least cost, -1 if
// there is none, and how it prefills the prompt.
func bestPrefiller(r Request, engines []Engine, s sources) (index int, plan prefill) {
	index = -1
	var bestCost time.Duration
	for i, e := range engines {
		if e.Role != models.RolePrefill {
			continue
		}
		candidate := s.plan(r, e)
		cost := e.Backlog + candidate.duration() + occupancy(candidate) + penalties(r, e)
		if index < 0 || cost < bestCost {
			index, plan, bestCost = i, candidate, cost
		}
	}
	return index, plan
}

// occupancy returns the cost of a prefill to other requests: it delays those
// that come after it.
func occupancy(p prefill) time.Duration {
	return time.Duration(prefillWeight * float64(p.reading))
}

func penalties(r Request, e Engine) time.Duration {
	cost := e.Penalty + time.Duration(e.Order)*orderPenalty
	if e.Zone != r.Zone {
		cost += crossZonePenalty
	}
	return cost
}

// slotWait returns the time until an engine's batch has a free slot, with the
// requests that wait for one already before this one.
func slotWait(r Request, e Engine) time.Duration {
	if e.Slots <= 0 || e.Running < e.Slots {
		return 0
	}
	run := r.RunTime
	if e.Work > 0 {
		run = e.Work / time.Duration(e.Running)
	}
	return run * time.Duration(e.Running-e.Slots+1) / time.Duration(e.Slots)
}

func tokenTime(tokens int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}
