package placement

import (
	"math"
	"time"

	"quincewinch/models"
)

const (
	// crossZoneCost accounts for the latency to another availability zone and
	// for the risk of a partition between the zones.
	crossZoneCost = 0.004 // seconds
	// roleMismatchFactor multiplies the total score of an engine whose role does
	// not suit the request.
	roleMismatchFactor = 1.5
	// firstTokenWeight weights the time to the first token relative to the time
	// of the rest of the answer.
	firstTokenWeight = 2
	// prefillWeight weights the prefill's own time, which delays the requests
	// behind it and evicts other prefixes from the cache.
	prefillWeight = 2
)

// Demand is what a request requires of an engine.
type Demand struct {
	Model      models.Model
	Prompt     int // tokens
	Output     int // expected tokens
	Hashes     []uint64
	Repeatable bool
	Excluded   []models.EngineID
	CheapBias  time.Duration // added for cheap backend servers; negative favours them
}

func (d *Demand) tokens() int {
	return d.Prompt + d.Output
}

// score is the prediction for a candidate, in seconds except for cached.
type score struct {
	total  float64 // weighted; the lowest wins
	wait   float64 // until prefill starts
	first  float64 // until the first token
	step   float64 // between two tokens
	cached float64 // prompt tokens expected in the prefix cache
}

// assess scores a candidate, and reports false if the request can never fit.
func (s *Snapshot) assess(c *Candidate, d *Demand, cached float64, now time.Time) (score, bool) {
	state := &c.Load.State
	pieces := math.Ceil(float64(d.tokens()) / float64(max(state.PieceTokens, 1)))
	if int(pieces) > state.TotalPieces {
		return score{}, false
	}
	age := max(now.Sub(c.Load.MeasuredAt), 0)
	load := c.estimate(d, age, s)
	limit := c.batchLimit()
	batch := min(load.requests+1, limit)
	decode := float64(d.Output) * c.decodeStep(batch)
	wait := load.backlog / max(state.PrefillRate, 1)
	wait += max(load.requests+1-limit, 0) / limit * decode
	if missing := pieces - load.free; missing > 0 {
		wait += missing / max(float64(state.TotalPieces), 1) * decode
	}
	prefill := (float64(d.Prompt) - cached) / max(state.PrefillRate, 1)
	first := wait + prefill + c.decodeStep(batch)
	if c.Server.Zone != s.Zone {
		first += crossZoneCost
	}
	if c.Slowness > 1 {
		first *= c.Slowness
		decode *= c.Slowness
	}
	total := firstTokenWeight*first + prefillWeight*prefill + decode
	if mismatched(state.Role, decode, float64(d.Prompt)/max(state.PrefillRate, 1)) {
		total *= roleMismatchFactor
	}
	if c.Server.Cheap {
		total += d.CheapBias.Seconds()
	}
	return score{total: total, wait: wait, first: first, step: c.decodeStep(batch), cached: cached}, true
}

// mismatched reports whether an engine's role does not suit a request: a
// prefill engine for a request dominated by decoding, or the reverse.
func mismatched(role models.Role, decode, prefill float64) bool {
	switch role {
	case models.RolePrefill:
		return decode > prefill
	case models.RoleDecode:
		return prefill > decode
	}
	return false
}
