// Package placement chooses the engine that runs a request.
package placement

import (
	"time"

	"quincewinch/models"
)

const (
	// defaultBatchLimit stands for an engine's batch limit until it is seen.
	defaultBatchLimit = 64
	// stepGrowth is how much longer a decode step is for each further request
	// in the batch, as a share of the step of a batch of one.
	stepGrowth = 0.025
	// herding is how much the other daemons are expected to do likewise.
	herding = 0.5
	// reportInterval is about how often the other daemons tell of their work.
	reportInterval = time.Second
)

// Load is an engine's state and when it was measured, by this daemon's clock.
type Load struct {
	State      models.EngineState
	MeasuredAt time.Time
	BatchLimit int // largest batch seen while requests waited; 0: not seen
}

// Candidate is an engine that may run a model's requests, with all that is
// known of its load.
type Candidate struct {
	Server    models.BackendServer
	Load      Load
	Own       models.InflightWork // what this daemon has under way there
	Unseen    models.InflightWork // what this daemon has sent since the measurement, less what ended since
	Elsewhere models.InflightWork // what the other daemons last said they have under way there
	Slowness  float64             // time observed against time predicted; 0: unknown
}

// Add counts work that was sent or, negative, has ended.
func (c *Candidate) Add(work models.InflightWork) {
	c.Own = Sum(c.Own, work)
	c.Unseen = Sum(c.Unseen, work)
}

// Sum returns the sum of both.
func Sum(a, b models.InflightWork) models.InflightWork {
	return models.InflightWork{
		Requests:     a.Requests + b.Requests,
		PromptTokens: a.PromptTokens + b.PromptTokens,
		OutputTokens: a.OutputTokens + b.OutputTokens,
	}
}

// Negative returns work with the opposite sign.
func Negative(work models.InflightWork) models.InflightWork {
	return models.InflightWork{
		Requests:     -work.Requests,
		PromptTokens: -work.PromptTokens,
		OutputTokens: -work.OutputTokens,
	}
}

// load is the estimate of an engine's load at the moment of a decision.
type load struct {
	requests float64 // in the batch and waiting
	backlog  float64 // prompt tokens that wait for prefill
	free     float64 // pieces of memory
}

// estimate corrects the reported load by what has happened since. Other
// daemons see the same report: where this one has sent more than has ended,
// they probably have as well. What they send besides is made up for by what
// ends, but for its prefill.
func (c *Candidate) estimate(d *Demand, age time.Duration, s *Snapshot) load {
	state := &c.Load.State
	requests := float64(state.Running + state.Queued + c.Unseen.Requests)
	known := float64(c.Own.Requests)
	if age > reportInterval {
		known += float64(c.Elsewhere.Requests)
	}
	likewise := herding * s.ratio * float64(max(c.Unseen.Requests, 0))
	arrived := s.others*age.Seconds() + likewise
	unseen := max(c.Unseen.PromptTokens, 0)
	prompts := float64(state.QueuedTokens+unseen) + arrived*float64(d.Prompt)
	taken := float64(c.Unseen.PromptTokens+c.Unseen.OutputTokens) + likewise*float64(d.tokens())
	return load{
		requests: max(requests, known, 0) + likewise,
		backlog:  max(prompts-state.PrefillRate*age.Seconds(), 0),
		free:     float64(state.FreePieces) - taken/float64(max(state.PieceTokens, 1)),
	}
}

func (c *Candidate) batchLimit() float64 {
	if c.Load.BatchLimit > 0 {
		return float64(c.Load.BatchLimit)
	}
	return defaultBatchLimit
}

// step returns the time of a decode step in a batch, in seconds.
func (c *Candidate) step(batch float64) float64 {
	one := 1 / max(c.Load.State.DecodeRate, 1)
	return one * (1 + stepGrowth*max(batch-1, 0))
}
