package balance_test

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"quincewinch/models"
)

const (
	// leaveTime is how long after an engine has said to a VM that it leaves the VM's
	// callers may still send requests that reach it.
	leaveTime = 2 * time.Second
	// restGrace is how long after a rejection that asks for a rest requests may still
	// arrive, and maxRestRequests how many from one VM in the rest of the time.
	restGrace       = 500 * time.Millisecond
	maxRestRequests = 2
	minRest         = 700 * time.Millisecond
	maxRest         = 6 * time.Second
)

// engineRequest is what an engine has asked a VM for.
type engineRequest struct {
	leavingAt time.Duration // when it first said that it leaves; 0: it has not
	rests     []rest
}

// rest is a time in which an engine wants no requests from a VM.
type rest struct {
	period
	arrived int
}

// saidTo returns what the engine has said to a VM. The caller must hold world.mu.
func (e *limitEngine) saidTo(vm *limitVM) *engineRequest {
	said, ok := e.said[vm.index]
	if !ok {
		said = &engineRequest{}
		e.said[vm.index] = said
	}
	return said
}

// saysLeaving reports whether the engine says in an answer to a VM that it leaves.
func (e *limitEngine) saysLeaving(vm *limitVM) bool {
	w := e.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.leavesAt == 0 || w.since() < e.leavesAt {
		return false
	}
	if said := e.saidTo(vm); said.leavingAt == 0 {
		said.leavingAt = w.since()
	}
	return true
}

// asksForRest returns how long the engine wants nothing from a VM after a rejection; 0
// if it does not say.
func (e *limitEngine) asksForRest(vm *limitVM, r *rand.Rand) time.Duration {
	w := e.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Float64() >= w.resting {
		return 0
	}
	lasting := between(r, minRest, maxRest)
	said := e.saidTo(vm)
	said.rests = append(said.rests, rest{period: period{from: w.since() + restGrace, until: w.since() + lasting}})
	return lasting
}

// checkEngineRequest checks a request that has reached an engine against what the engine
// has asked the VM for. The caller must hold w.mu.
func (w *limitWorld) checkEngineRequest(e *limitEngine, vm *limitVM, id models.RequestID) {
	said := e.saidTo(vm)
	id = models.RequestID(strings.TrimSuffix(string(id), prefillSuffix))
	if said.leavingAt > 0 && w.sentAt[id] > said.leavingAt+leaveTime {
		w.fault("DRAIN at %v: %s reached %s, which said that it leaves at %v", w.since(), id, e.upstream.ID, said.leavingAt)
	}
	for i := range said.rests {
		r := &said.rests[i]
		if !r.contains(w.since()) {
			continue
		}
		r.arrived++
		if r.arrived == maxRestRequests+1 {
			w.fault("BUDGET at %v: %d requests of %s reached %s, which wanted none until %v", w.since(), r.arrived, vm.id(), e.upstream.ID, r.until)
		}
	}
}

// Guards against requests to engines that have said in an answer that they leave, while
// their registration does not change.
func TestEnginesThatLeaveGetNoRequests(t *testing.T) {
	playRetries(t, period{from: 5 * time.Second, until: 20 * time.Second}, func(r *rand.Rand, settings *limitSettings) []time.Duration {
		settings.leaving = 0.6 * r.Float64()
		return nil
	})
}

// Guards against requests to engines that have asked for a rest.
func TestEnginesThatRestGetNoRequests(t *testing.T) {
	playRetries(t, period{from: 5 * time.Second, until: 20 * time.Second}, func(r *rand.Rand, settings *limitSettings) []time.Duration {
		settings.resting = r.Float64()
		return nil
	})
}
