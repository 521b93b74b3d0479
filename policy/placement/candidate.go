// Package placement chooses the engine that runs a request.
package placement

import (
	"time"

	"quincewinch/models"
)

const (
	// defaultBatchLimit is used until an engine's batch limit is observed.
	defaultBatchLimit = 64
	// batchStepGrowth is how much each further request in the batch lengthens a
	// decode step, as a share of the step of a batch of one.
	batchStepGrowth = 0.025
	// herdFactor scales the number of requests that the other daemons are
	// assumed to have sent to an engine since the report, in proportion to the
	// requests that this daemon has sent.
	herdFactor = 0.5
	// reportInterval is the approximate interval at which the other daemons
	// report their work.
	reportInterval = time.Second
)

// Load is an engine's state and the time of its measurement by this daemon's
// clock.
type Load struct {
	State      models.EngineState
	MeasuredAt time.Time
	BatchLimit int // largest batch observed while requests waited; 0: unknown
}

// Candidate is an engine that may run a model's requests, with what is known of
// its load.
type Candidate struct {
	Server     models.BackendServer
	Load       Load
	Own        models.InflightWork // in flight from this daemon
	Unreported models.InflightWork // sent by this daemon since the measurement, less what ended since
	Others     models.InflightWork // in flight from the other daemons, by their last reports
	Slowness   float64             // time observed over time predicted; 0: unknown
}

// Add adds work that was sent, or negative work for what has ended.
func (c *Candidate) Add(work models.InflightWork) {
	c.Own = Sum(c.Own, work)
	c.Unreported = Sum(c.Unreported, work)
}

// Sum returns the sum of two amounts of work.
func Sum(a, b models.InflightWork) models.InflightWork {
	return models.InflightWork{
		Requests:     a.Requests + b.Requests,
		PromptTokens: a.PromptTokens + b.PromptTokens,
		OutputTokens: a.OutputTokens + b.OutputTokens,
	}
}

// Negate returns work with the opposite sign.
func Negate(work models.InflightWork) models.InflightWork {
	return models.InflightWork{
		Requests:     -work.Requests,
		PromptTokens: -work.PromptTokens,
		OutputTokens: -work.OutputTokens,
	}
}

// estimatedLoad is an engine's estimated load at the time of a decision.
type estimatedLoad struct {
	requests float64 // in the batch and waiting
	backlog  float64 // prompt tokens waiting for prefill
	free     float64 // memory pieces
}

// estimate corrects the reported load for what has happened since. Other
// daemons act on the same report: if this daemon has sent more than has ended,
// they probably have too. Their other requests are assumed to replace requests
// that end, and so to add only prefill work.
func (c *Candidate) estimate(d *Demand, age time.Duration, s *Snapshot) estimatedLoad {
	state := &c.Load.State
	requests := float64(state.Running + state.Queued + c.Unreported.Requests)
	tracked := float64(c.Own.Requests)
	if age > reportInterval {
		tracked += float64(c.Others.Requests)
	}
	herd := herdFactor * s.peerRatio * float64(max(c.Unreported.Requests, 0))
	arrivals := s.peerRate*age.Seconds() + herd
	unreported := max(c.Unreported.PromptTokens, 0)
	prompts := float64(state.QueuedTokens+unreported) + arrivals*float64(d.Prompt)
	reserved := float64(c.Unreported.PromptTokens+c.Unreported.OutputTokens) + herd*float64(d.tokens())
	return estimatedLoad{
		requests: max(requests, tracked, 0) + herd,
		backlog:  max(prompts-state.PrefillRate*age.Seconds(), 0),
		free:     float64(state.FreePieces) - reserved/float64(max(state.PieceTokens, 1)),
	}
}

func (c *Candidate) batchLimit() float64 {
	if c.Load.BatchLimit > 0 {
		return float64(c.Load.BatchLimit)
	}
	return defaultBatchLimit
}

// decodeStep returns the duration of a decode step in a batch, in seconds.
func (c *Candidate) decodeStep(batch float64) float64 {
	single := 1 / max(c.Load.State.DecodeRate, 1)
	return single * (1 + batchStepGrowth*max(batch-1, 0))
}
