// Package serving decides which model engine reads a prompt and which one
// generates the answer. It answers a load whose prompts share long beginnings
// and whose mix of prompt and output swings within seconds: what a prompt
// costs depends on how much of it an engine still keeps.
package serving

import (
	"time"

	"quincewinch/models"
)

const (
	// setupTime is what an engine needs for a prompt before it reads the first
	// token, and for the first token after the last one.
	setupTime = 100 * time.Millisecond
	// fetchTime is what an engine needs to fetch KV cache before its first
	// byte.
	fetchTime = 10 * time.Millisecond
	// otherZone is how much longer a prompt is taken to need in another
	// availability zone: bytes between zones are paid for.
	otherZone = 4 * time.Millisecond
	// fullPenalty is how much longer a prompt is taken to need at an engine
	// that has no free place in its batch.
	fullPenalty = 2 * time.Second
	// readingWeight is how much of the time that an engine spends reading a
	// prompt counts again, for the requests that come after it.
	readingWeight = 1.0
	// copyPenalty is how much longer a prompt is taken to need for each
	// thousand tokens that another engine keeps already.
	copyPenalty = 8 * time.Millisecond
	// orderStep sets apart engines that are equal: the one that comes first in
	// the prompt's own order of engines is better by this much than the next.
	orderStep = 3 * time.Millisecond
)

// Engine is a model engine as a daemon sees it when it places a request.
type Engine struct {
	Zone    models.Zone
	Role    models.Role
	Slots   int           // requests in its batch
	Running int           // requests sent there that have not ended
	Backlog time.Duration // until the prompts sent there have been read
	Rate    float64       // prompt tokens read a second
	Cached  int           // leading tokens of the prompt that it keeps
	Order   int           // place in the prompt's own order of engines
	Penalty time.Duration // for failures of late
}

// Request is a request to be placed.
type Request struct {
	Zone   models.Zone // of the daemon
	Tokens int         // of its prompt
	Fetch  float64     // KV cache tokens a second between engines; 0: there is no fetching
}

// Choice is where a request goes. Engines are given by index.
type Choice struct {
	Target    int
	Prefiller int           // reads the prompt for the target; -1: the target does
	Predicted time.Duration // from now to the first token
	Reading   int           // tokens that have to be read
}

// Choose returns the place of least cost; false where no engine may run the
// request. The cost is the predicted time to the first token, and what the
// request takes from others.
func Choose(r Request, engines []Engine) (Choice, bool) {
	most := 0
	for _, e := range engines {
		most = max(most, min(e.Cached, r.Tokens))
	}
	best := Choice{Target: -1, Prefiller: -1}
	var bestCost time.Duration
	prefiller, reading, read := bestPrefiller(r, engines, most)
	for i, e := range engines {
		if e.Role == models.RolePrefill {
			continue
		}
		choice, cost := direct(r, e, i, most)
		if best.Target < 0 || cost < bestCost {
			best, bestCost = choice, cost
		}
		if prefiller < 0 || r.Fetch <= 0 {
			continue
		}
		choice, cost = split(r, e, i, prefiller, reading, read)
		if cost < bestCost {
			best, bestCost = choice, cost
		}
	}
	return best, best.Target >= 0
}

// direct is the choice of an engine that reads the prompt itself.
func direct(r Request, e Engine, index, most int) (Choice, time.Duration) {
	reading := unread(r, e)
	read := readTime(reading, e.Rate)
	predicted := e.Backlog + read + setupTime
	cost := predicted + time.Duration(readingWeight*float64(read)) + offset(r, e) + copyCost(most-min(e.Cached, r.Tokens))
	return Choice{Target: index, Prefiller: -1, Predicted: predicted, Reading: reading}, cost
}

// split is the choice of an engine that fetches the KV cache which another one
// has filled. The prompts that it reads itself come before that.
func split(r Request, e Engine, index, prefiller, reading int, read time.Duration) (Choice, time.Duration) {
	fetch := fetchTime + readTime(r.Tokens, r.Fetch)
	predicted := max(read, e.Backlog) + fetch + setupTime
	cost := predicted + fetch + offset(r, e)
	return Choice{Target: index, Prefiller: prefiller, Predicted: predicted, Reading: reading}, cost
}

// bestPrefiller returns the engine that reads prompts for others and would
// have read this one first, -1 if there is none, the tokens that it has to read
// and how long it takes, with the cost to those that come after.
func bestPrefiller(r Request, engines []Engine, most int) (index, reading int, read time.Duration) {
	index = -1
	var bestCost time.Duration
	for i, e := range engines {
		if e.Role != models.RolePrefill {
			continue
		}
		tokens := unread(r, e)
		own := readTime(tokens, e.Rate)
		cost := e.Backlog + own + time.Duration(readingWeight*float64(own)) + offset(r, e) + copyCost(most-min(e.Cached, r.Tokens))
		if index < 0 || cost < bestCost {
			index, reading, read, bestCost = i, tokens, e.Backlog+own, cost
		}
	}
	return index, reading, read
}

func unread(r Request, e Engine) int {
	return max(r.Tokens-e.Cached, 1)
}

func offset(r Request, e Engine) time.Duration {
	cost := e.Penalty + time.Duration(e.Order)*orderStep
	if e.Zone != r.Zone {
		cost += otherZone
	}
	if e.Slots > 0 && e.Running >= e.Slots {
		cost += fullPenalty
	}
	return cost
}

func copyCost(tokens int) time.Duration {
	const thousand = 1000
	return time.Duration(float64(tokens) / thousand * float64(copyPenalty))
}

func readTime(tokens int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}
