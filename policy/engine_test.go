package policy_test

import (
	"container/list"
	"time"

	"quincewinch/lib/prefix"
	"quincewinch/models"
	"quincewinch/request"
	"quincewinch/standin/engine"
)

const (
	eventDelay     = time.Second // from a change of the cache until its event is visible
	eventLossOneIn = 20          // one in this many cache events is lost
)

// simEngine runs jobs in virtual time by the cost model of the stand-in engine.
// Prompts are prefilled one at a time; all requests in the batch decode together.
type simEngine struct {
	sim          *simulation
	server       models.BackendServer
	cost         engine.Cost
	slowdown     float64 // factor applied to all durations
	waiting      []*job
	batch        []*job
	usedPieces   int
	prefillEnd   time.Time // when all admitted prompts will be prefilled
	advancedTo   time.Time // time to which the batch has been advanced
	timerNumber  int       // number of the current timer; earlier ones are ignored
	blocks       map[uint64]*list.Element
	recency      *list.List
	events       []delayedEvent
	lastSequence uint64
	state        models.EngineState // as of the last measurement
}

type delayedEvent struct {
	at    time.Time
	event models.CacheEvent
}

// job is one request at an engine.
type job struct {
	arrival   *arrival
	pieces    int
	cached    int
	prefilled time.Time
	left      float64 // tokens still to decode
	first     time.Time
	placement request.Placement
}

func newSimEngine(s *simulation, server models.BackendServer) *simEngine {
	return &simEngine{
		sim:        s,
		server:     server,
		cost:       engine.DefaultCost(),
		slowdown:   1,
		blocks:     map[uint64]*list.Element{},
		recency:    list.New(),
		advancedTo: s.now,
		prefillEnd: s.now,
	}
}

func (e *simEngine) submit(j *job) {
	tokens := j.arrival.prompt + j.arrival.output
	j.pieces = (tokens + e.cost.PieceTokens - 1) / e.cost.PieceTokens
	j.left = float64(j.arrival.output)
	e.waiting = append(e.waiting, j)
	e.run()
}

// run advances the batch to now, admits waiting jobs while they fit, and sets the
// next timer.
func (e *simEngine) run() {
	e.advance()
	for len(e.waiting) > 0 && len(e.batch) < e.cost.BatchLimit && e.usedPieces+e.waiting[0].pieces <= e.cost.Pieces {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.usedPieces += j.pieces
		j.cached = e.lookUp(j.arrival.hashes)
		if e.prefillEnd.Before(e.sim.now) {
			e.prefillEnd = e.sim.now
		}
		seconds := float64(j.arrival.prompt-min(j.cached, j.arrival.prompt)) / e.cost.PrefillRate * e.slowdown
		e.prefillEnd = e.prefillEnd.Add(time.Duration(seconds * float64(time.Second)))
		j.prefilled = e.prefillEnd
		e.batch = append(e.batch, j)
	}
	e.setTimer()
}

func (e *simEngine) stepSeconds() float64 {
	one := e.cost.StepTime.Seconds() + float64(max(len(e.batch)-1, 0))*e.cost.StepGrowth.Seconds()
	return one * e.slowdown
}

func (e *simEngine) advance() {
	step := e.stepSeconds()
	kept := e.batch[:0]
	var ended []*job
	for _, j := range e.batch {
		from := e.advancedTo
		if j.prefilled.After(from) {
			from = j.prefilled
		}
		if passed := e.sim.now.Sub(from).Seconds(); passed > 0 {
			if j.first.IsZero() {
				j.first = from.Add(time.Duration(step * float64(time.Second)))
			}
			j.left -= passed / step
		}
		if j.left <= 1e-6 {
			ended = append(ended, j)
			e.usedPieces -= j.pieces
			continue
		}
		kept = append(kept, j)
	}
	e.batch = kept
	e.advancedTo = e.sim.now
	for _, j := range ended {
		e.sim.finish(j)
	}
}

func (e *simEngine) setTimer() {
	e.timerNumber++
	timer := e.timerNumber
	var next time.Time
	for _, j := range e.batch {
		from := e.advancedTo
		if j.prefilled.After(from) {
			from = j.prefilled
		}
		end := from.Add(time.Duration(j.left*e.stepSeconds()*float64(time.Second)) + time.Microsecond)
		if next.IsZero() || end.Before(next) {
			next = end
		}
	}
	if next.IsZero() {
		return
	}
	e.sim.at(next, func() {
		if e.timerNumber == timer {
			e.run()
		}
	})
}

// lookUp returns how many leading tokens of a prompt are cached, and caches the
// whole prompt.
func (e *simEngine) lookUp(hashes []uint64) int {
	hit := 0
	for hit < len(hashes) && e.blocks[hashes[hit]] != nil {
		hit++
	}
	for i, hash := range hashes {
		if known, ok := e.blocks[hash]; ok {
			e.recency.MoveToFront(known)
			continue
		}
		e.blocks[hash] = e.recency.PushFront(hash)
		e.publish(models.CacheEvent{Prefix: hash, Tokens: (i + 1) * prefix.BlockTokens})
	}
	for len(e.blocks) > e.cost.CacheBlocks {
		hash := e.recency.Remove(e.recency.Back()).(uint64)
		delete(e.blocks, hash)
		e.publish(models.CacheEvent{Prefix: hash, Evicted: true})
	}
	return hit * prefix.BlockTokens
}

func (e *simEngine) publish(event models.CacheEvent) {
	e.lastSequence++
	event.Sequence = e.lastSequence
	if e.sim.random.IntN(eventLossOneIn) > 0 {
		e.events = append(e.events, delayedEvent{at: e.sim.now, event: event})
	}
}

// eventsAfter returns the events after a sequence number that are visible by now.
func (e *simEngine) eventsAfter(sequence uint64) []models.CacheEvent {
	var events []models.CacheEvent
	for i := len(e.events) - 1; i >= 0 && e.events[i].event.Sequence > sequence; i-- {
		if e.sim.now.Sub(e.events[i].at) >= eventDelay {
			events = append(events, e.events[i].event)
		}
	}
	for i, j := 0, len(events)-1; i < j; i, j = i+1, j-1 {
		events[i], events[j] = events[j], events[i]
	}
	return events
}

// measure updates the state that the next reports will contain.
func (e *simEngine) measure() {
	queued := 0
	for _, j := range e.waiting {
		queued += j.arrival.prompt
	}
	for _, j := range e.batch {
		if j.prefilled.After(e.sim.now) {
			queued += j.arrival.prompt - min(j.cached, j.arrival.prompt)
		}
	}
	e.state = models.EngineState{
		Engine:        e.server.Engine,
		MeasuredAt:    e.sim.now,
		Role:          models.RoleBoth,
		Models:        []models.Model{model},
		Running:       len(e.batch),
		Queued:        len(e.waiting),
		QueuedTokens:  queued,
		FreePieces:    e.cost.Pieces - e.usedPieces,
		TotalPieces:   e.cost.Pieces,
		PieceTokens:   e.cost.PieceTokens,
		PrefillRate:   e.cost.PrefillRate,
		DecodeRate:    1 / e.cost.StepTime.Seconds(),
		CacheSequence: e.lastSequence,
	}
}
