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
	eventLag  = time.Second // of cache events
	eventLoss = 20          // one event in so many is lost
)

// simEngine runs jobs by the cost model of the stand-in engine, in virtual
// time. Prompts are prefilled one at a time; the batch decodes together.
type simEngine struct {
	world   *world
	server  models.BackendServer
	cost    engine.Cost
	slow    float64 // factor on all times
	waiting []*job
	batch   []*job
	used    int
	prefill time.Time // when the prefills under way will be done
	at      time.Time // to which the batch has been advanced
	timer   int       // number of the timer in force
	blocks  map[uint64]*list.Element
	recency *list.List
	events  []laggingEvent
	last    uint64
	state   models.EngineState // last measured
}

type laggingEvent struct {
	at    time.Time
	event models.CacheEvent
}

// job is one request at an engine.
type job struct {
	arrival   *arrival
	pieces    int
	cached    int
	prefilled time.Time
	left      float64 // tokens to decode
	first     time.Time
	placement request.Placement
}

func newSimEngine(w *world, server models.BackendServer) *simEngine {
	return &simEngine{
		world:   w,
		server:  server,
		cost:    engine.DefaultCost(),
		slow:    1,
		blocks:  map[uint64]*list.Element{},
		recency: list.New(),
		at:      w.now,
		prefill: w.now,
	}
}

func (e *simEngine) submit(j *job) {
	tokens := j.arrival.prompt + j.arrival.output
	j.pieces = (tokens + e.cost.PieceTokens - 1) / e.cost.PieceTokens
	j.left = float64(j.arrival.output)
	e.waiting = append(e.waiting, j)
	e.run()
}

// run advances the batch to now, admits what fits and sets the next timer.
func (e *simEngine) run() {
	e.advance()
	for len(e.waiting) > 0 && len(e.batch) < e.cost.BatchLimit && e.used+e.waiting[0].pieces <= e.cost.Pieces {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.used += j.pieces
		j.cached = e.lookUp(j.arrival.hashes)
		if e.prefill.Before(e.world.now) {
			e.prefill = e.world.now
		}
		seconds := float64(j.arrival.prompt-min(j.cached, j.arrival.prompt)) / e.cost.PrefillRate * e.slow
		e.prefill = e.prefill.Add(time.Duration(seconds * float64(time.Second)))
		j.prefilled = e.prefill
		e.batch = append(e.batch, j)
	}
	e.setTimer()
}

func (e *simEngine) step() float64 {
	one := e.cost.StepTime.Seconds() + float64(max(len(e.batch)-1, 0))*e.cost.StepGrowth.Seconds()
	return one * e.slow
}

func (e *simEngine) advance() {
	step := e.step()
	kept := e.batch[:0]
	var ended []*job
	for _, j := range e.batch {
		from := e.at
		if j.prefilled.After(from) {
			from = j.prefilled
		}
		if passed := e.world.now.Sub(from).Seconds(); passed > 0 {
			if j.first.IsZero() {
				j.first = from.Add(time.Duration(step * float64(time.Second)))
			}
			j.left -= passed / step
		}
		if j.left <= 1e-6 {
			ended = append(ended, j)
			e.used -= j.pieces
			continue
		}
		kept = append(kept, j)
	}
	e.batch = kept
	e.at = e.world.now
	for _, j := range ended {
		e.world.finished(j)
	}
}

func (e *simEngine) setTimer() {
	e.timer++
	timer := e.timer
	var next time.Time
	for _, j := range e.batch {
		from := e.at
		if j.prefilled.After(from) {
			from = j.prefilled
		}
		end := from.Add(time.Duration(j.left*e.step()*float64(time.Second)) + time.Microsecond)
		if next.IsZero() || end.Before(next) {
			next = end
		}
	}
	if next.IsZero() {
		return
	}
	e.world.at(next, func() {
		if e.timer == timer {
			e.run()
		}
	})
}

// lookUp returns how many tokens of a prompt are cached, and caches it.
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
	e.last++
	event.Sequence = e.last
	if e.world.random.IntN(eventLoss) > 0 {
		e.events = append(e.events, laggingEvent{at: e.world.now, event: event})
	}
}

// eventsAfter returns the events that have come out by now.
func (e *simEngine) eventsAfter(sequence uint64) []models.CacheEvent {
	var events []models.CacheEvent
	for i := len(e.events) - 1; i >= 0 && e.events[i].event.Sequence > sequence; i-- {
		if e.world.now.Sub(e.events[i].at) >= eventLag {
			events = append(events, e.events[i].event)
		}
	}
	for i, j := 0, len(events)-1; i < j; i, j = i+1, j-1 {
		events[i], events[j] = events[j], events[i]
	}
	return events
}

// measure takes the figures of the next reports.
func (e *simEngine) measure() {
	queued := 0
	for _, j := range e.waiting {
		queued += j.arrival.prompt
	}
	for _, j := range e.batch {
		if j.prefilled.After(e.world.now) {
			queued += j.arrival.prompt - min(j.cached, j.arrival.prompt)
		}
	}
	e.state = models.EngineState{
		Engine:        e.server.Engine,
		MeasuredAt:    e.world.now,
		Role:          models.RoleBoth,
		Models:        []models.Model{model},
		Running:       len(e.batch),
		Queued:        len(e.waiting),
		QueuedTokens:  queued,
		FreePieces:    e.cost.Pieces - e.used,
		TotalPieces:   e.cost.Pieces,
		PieceTokens:   e.cost.PieceTokens,
		PrefillRate:   e.cost.PrefillRate,
		DecodeRate:    1 / e.cost.StepTime.Seconds(),
		CacheSequence: e.last,
	}
}
