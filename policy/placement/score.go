package placement

import (
	"math"
	"time"

	"quincewinch/models"
)

const (
	// zoneCost stands for the distance to another availability zone, and for
	// the risk that a partition comes between.
	zoneCost = 0.004 // seconds
	// roleCost is the factor on the time at an engine of the other role.
	roleCost = 1.5
	// firstTokenWeight sets the time to the first token against that of the
	// rest of the answer.
	firstTokenWeight = 2
	// prefillWeight sets the prefill's own time, which holds up the requests
	// behind it and pushes other prefixes out of the cache.
	prefillWeight = 2
)

// Demand is what a request asks of an engine.
type Demand struct {
	Model      models.Model
	Prompt     int // tokens
	Output     int // tokens expected
	Hashes     []uint64
	Repeatable bool
	Excluded   []models.EngineID
	CheapBias  time.Duration // added for cheap backend servers; negative favours them
}

func (d *Demand) tokens() int {
	return d.Prompt + d.Output
}

// score is what a candidate promises, in seconds.
type score struct {
	total  float64 // to compare by
	wait   float64 // until prefill starts
	first  float64 // until the first token
	step   float64 // between two tokens
	cached float64 // prompt tokens expected in the prefix cache
}

// assess scores a candidate; false if the request can never fit.
func (s *Snapshot) assess(c *Candidate, d *Demand, cached float64, now time.Time) (score, bool) {
	state := &c.Load.State
	pieces := math.Ceil(float64(d.tokens()) / float64(max(state.PieceTokens, 1)))
	if int(pieces) > state.TotalPieces {
		return score{}, false
	}
	age := max(now.Sub(c.Load.MeasuredAt), 0)
	at := c.estimate(d, age, s)
	limit := c.batchLimit()
	batch := min(at.requests+1, limit)
	decode := float64(d.Output) * c.step(batch)
	wait := at.backlog / max(state.PrefillRate, 1)
	wait += max(at.requests+1-limit, 0) / limit * decode
	if short := pieces - at.free; short > 0 {
		wait += short / max(float64(state.TotalPieces), 1) * decode
	}
	prefill := (float64(d.Prompt) - cached) / max(state.PrefillRate, 1)
	first := wait + prefill + c.step(batch)
	if c.Server.Zone != s.Zone {
		first += zoneCost
	}
	if c.Slowness > 1 {
		first *= c.Slowness
		decode *= c.Slowness
	}
	total := firstTokenWeight*first + prefillWeight*prefill + decode
	if mismatched(state.Role, decode, float64(d.Prompt)/max(state.PrefillRate, 1)) {
		total *= roleCost
	}
	if c.Server.Cheap {
		total += d.CheapBias.Seconds()
	}
	return score{total: total, wait: wait, first: first, step: c.step(batch), cached: cached}, true
}

// mismatched reports whether an engine has the role for the other kind of
// work: prompts that outweigh their answers, or answers that outweigh their
// prompts.
func mismatched(role models.Role, decode, prefill float64) bool {
	switch role {
	case models.RolePrefill:
		return decode > prefill
	case models.RoleDecode:
		return prefill > decode
	}
	return false
}
