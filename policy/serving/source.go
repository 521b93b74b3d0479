package serving

import (
	"time"

	"quincewinch/models"
)

const (
	// crossZoneFetchFactor is how much longer a copy of KV cache takes between
	// availability zones.
	crossZoneFetchFactor = 2
	// minCopiedTokens is the smallest number of tokens that are copied rather
	// than computed again: a copy occupies the links of two engines.
	minCopiedTokens = 1000
)

// source is an engine whose cached prefix of a prompt others may copy.
type source struct {
	index  int
	engine Engine
}

// sources are the engines with the longest cached prefix of a prompt, in all
// and by availability zone.
type sources struct {
	longest source
	byZone  map[models.Zone]source
}

// findSources returns the engines to copy the cached prefix of a request's
// prompt from. It returns none if engines do not fetch.
func findSources(r Request, engines []Engine) sources {
	s := sources{longest: source{index: -1}, byZone: map[models.Zone]source{}}
	if r.FetchRate <= 0 {
		return s
	}
	for i, e := range engines {
		if e.Cached < minCopiedTokens || e.Penalty > 0 {
			continue
		}
		candidate := source{index: i, engine: e}
		if s.longest.index < 0 || candidate.better(s.longest) {
			s.longest = candidate
		}
		if other, ok := s.byZone[e.Zone]; !ok || candidate.better(other) {
			s.byZone[e.Zone] = candidate
		}
	}
	return s
}

// better reports whether a source has more of the prompt than another one, or
// as much and fewer requests in flight.
func (s source) better(other source) bool {
	if s.engine.Cached != other.engine.Cached {
		return s.engine.Cached > other.engine.Cached
	}
	return s.engine.Running < other.engine.Running
}

// plan returns the fastest way for an engine to get the KV cache of a prompt.
func (s sources) plan(r Request, e Engine) prefill {
	best := planFrom(r, e, source{index: -1})
	candidates := []source{s.longest}
	if inZone, ok := s.byZone[e.Zone]; ok {
		candidates = append(candidates, inZone)
	}
	for _, from := range candidates {
		if from.index < 0 || from.engine.Cached-e.Cached < minCopiedTokens {
			continue
		}
		if p := planFrom(r, e, from); p.duration() < best.duration() {
			best = p
		}
	}
	return best
}

// planFrom returns how an engine prefills a prompt with a copy from a source,
// or without one if the index of the source is -1.
func planFrom(r Request, e Engine, from source) prefill {
	available := min(e.Cached, r.Tokens)
	p := prefill{source: from.index}
	if from.index >= 0 {
		p.copied = min(from.engine.Cached, r.Tokens) - available
		p.copying = copyTime(p.copied, r.FetchRate, from.engine.Zone != e.Zone)
	}
	p.uncached = max(r.Tokens-available-p.copied, 1)
	p.reading = tokenTime(p.uncached, e.Rate)
	return p
}

// copyTime returns how long a copy of KV cache takes within a zone or between
// zones.
func copyTime(tokens int, fetchRate float64, crossZone bool) time.Duration {
	transfer := tokenTime(tokens, fetchRate)
	if crossZone {
		transfer *= crossZoneFetchFactor
	}
	return fetchLatency + transfer
}
