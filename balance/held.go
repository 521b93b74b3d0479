package balance

import (
	"math"
	"slices"
	"time"

	"quincewinch/models"
	"quincewinch/relay"
)

const (
	// blockTokens is the size of the blocks in which engines give memory to requests.
	blockTokens = 16
	// heldShare is the share of an engine's memory that requests may hold at their
	// longest. The rest is for more of those that this daemon does not know of yet than
	// are expected.
	heldShare = 0.85
	// heldWeight is the weight of the latest request in what requests typically hold.
	heldWeight = 0.05
	// unseenFactor is how many times the requests that are expected to be unknown there
	// must be room for: they are not spread evenly.
	unseenFactor = 3.0
	// minAmple is the number of requests beside the expected ones for which an engine must
	// have room to be chosen by its load.
	minAmple = 3
	// heldRetryAfter is the Retry-After of a refusal because no engine has the memory for
	// a request: some requests end within that time.
	heldRetryAfter = 250 * time.Millisecond
)

// heldTokens returns the memory that an engine has to have for a request at its longest:
// its prompt and as much output as it may have, in whole blocks.
func heldTokens(prompt models.Prompt) int {
	tokens := promptTokens(prompt) + prompt.MaxOutput
	return (tokens + blockTokens - 1) / blockTokens * blockTokens
}

// memoryRoom is the room that the engines of a service have for requests like one.
type memoryRoom struct {
	requests []int // by engine: how many fit
	total    int
}

// memoryRoom returns the room for a request that holds some tokens. The caller must hold
// b.mu.
func (b *Balancer) memoryRoom(service models.RoutedService, held int, candidates []*serverState) memoryRoom {
	typical := b.typicalHeld[service.Name]
	room := memoryRoom{requests: make([]int, len(candidates))}
	capacity := int(heldShare * float64(service.Engine.Capacity))
	for i, s := range candidates {
		free := capacity - s.heldTokens - b.remoteLoads[s.upstream.ID].HeldTokens
		if free < held {
			continue
		}
		room.requests[i] = 1 + (free-held)/max(int(typical), 1)
		room.total += room.requests[i]
	}
	return room
}

// withMemory returns the engines among which a request is placed so that they have the
// memory for it: beside what is known to be held there, and what other daemons are
// expected to have sent that is not known yet. All daemons see the same room and would
// take it at once; where that matters each takes its part of it by chance. It returns
// none if there is no engine. The caller must hold b.mu.
func (b *Balancer) withMemory(e *relay.Exchange, candidates []*serverState, now time.Time) []*serverState {
	service := e.Service
	if !b.settings.KeepMemory || service.Engine.Capacity <= 0 {
		return candidates
	}
	held := heldTokens(e.Prompt)
	prefillers, targets := splitByRole(candidates)
	if e.Sends > 0 || e.Origin != nil {
		return slices.Concat(prefillers, b.roomiest(service, held, targets))
	}
	fitting := b.drawByMemory(service, held, targets, now)
	if len(fitting) == 0 {
		return nil
	}
	return slices.Concat(prefillers, fitting)
}

// splitByRole returns the engines that only prefill prompts, and the others.
func splitByRole(candidates []*serverState) (prefillers, targets []*serverState) {
	for _, s := range candidates {
		if s.upstream.Role == models.RolePrefill {
			prefillers = append(prefillers, s)
		} else {
			targets = append(targets, s)
		}
	}
	return prefillers, targets
}

// roomiest returns the engines with room for a request that was sent before, which is not
// refused for lack of it; all of them if none has room. The caller must hold b.mu.
func (b *Balancer) roomiest(service models.RoutedService, held int, targets []*serverState) []*serverState {
	room := b.memoryRoom(service, held, targets)
	if room.total == 0 {
		return targets
	}
	var fitting []*serverState
	for i, s := range targets {
		if room.requests[i] > 0 {
			fitting = append(fitting, s)
		}
	}
	return fitting
}

// drawByMemory implements withMemory for a request that was not sent before. The caller
// must hold b.mu.
func (b *Balancer) drawByMemory(service models.RoutedService, held int, candidates []*serverState, now time.Time) []*serverState {
	typical, ok := b.typicalHeld[service.Name]
	if !ok {
		typical = float64(held)
	}
	b.typicalHeld[service.Name] = typical + heldWeight*(float64(held)-typical)
	room := b.memoryRoom(service, held, candidates)
	others := b.othersOf(service.Name)
	others.asked.add(1, askedMemory, now)
	unseen := max(others.unseen(now), others.unseenAsked(b.daemons-1, now))
	if float64(room.total) < unseenFactor*unseen && b.random.Float64()*unseenFactor*unseen >= float64(room.total) {
		return nil
	}
	ample := minAmple + int(math.Ceil(unseenFactor*unseen/float64(max(len(candidates), 1))))
	var fitting []*serverState
	for i, s := range candidates {
		if room.requests[i] > ample {
			fitting = append(fitting, s)
		}
	}
	if len(fitting) > len(candidates)/2 || room.total == 0 {
		return fitting
	}
	drawn := b.random.IntN(room.total)
	for i, s := range candidates {
		if drawn -= room.requests[i]; drawn < 0 {
			return []*serverState{s}
		}
	}
	return nil
}

// holdMemory counts what a request will hold at its target, and at its prefiller for the
// KV cache of its prompt. The caller must hold the balancer's lock.
func (p *placement) holdMemory(prompt models.Prompt) {
	if !p.balancer.settings.KeepMemory {
		return
	}
	p.held = heldTokens(prompt)
	p.target.heldTokens += p.held
	if p.prefiller != nil {
		p.prefiller.heldTokens += p.held
	}
}

// releaseMemory is the reverse of holdMemory. The caller must hold the balancer's lock.
func (p *placement) releaseMemory() {
	p.target.heldTokens -= p.held
	if p.prefiller != nil {
		p.prefiller.heldTokens -= p.held
	}
	p.held = 0
}

// memoryRefusal is the refusal of a request for which no engine has the memory.
func memoryRefusal() *models.Refusal {
	return &models.Refusal{
		Code:       models.RefusalOverload,
		Message:    "no engine has the memory for the prompt and the longest answer beside the requests that it holds",
		NotRun:     true,
		RetryAfter: heldRetryAfter,
	}
}
