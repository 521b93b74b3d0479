package admission_test

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"quincewinch/policy/admission"
)

// The load: short and long prompts at an engine that prefills one prompt at a
// time, twice as many as it can do for eight seconds, half as many afterwards.
// Callers leave after two seconds without a first token, and come back once when
// told to.
const (
	shortTime    = 10 * time.Millisecond // of a prefill
	longTime     = 80 * time.Millisecond
	shortShare   = 0.7 // of the requests
	meanTime     = 31 * time.Millisecond
	overload     = 2.0
	overloadEnd  = 8 * time.Second
	loadDuration = 20 * time.Second
	patience     = 2 * time.Second
	deadline     = 5 * time.Second
)

// caller is a request at one of its attempts.
type caller struct {
	firstAt  time.Duration // of the first attempt
	at       time.Duration // of this attempt
	prefill  time.Duration
	urgency  int
	returned bool
}

// arrivals is a heap of callers by time.
type arrivals []caller

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at < a[j].at }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(caller)) }
func (a *arrivals) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// result counts the requests of one simulation.
type result struct {
	offered, inTime, late, left, refused, refusedAgain int
}

// policy is which parts of the admission are in use.
type policy struct{ urgency, refusals bool }

// simulate plays the load at one engine.
func simulate(seed uint64, p policy) result {
	random := rand.New(rand.NewPCG(seed, 0))
	pending := offeredLoad(random)
	var r result
	r.offered = len(pending)
	var queue admission.Queue
	var waiting []caller
	freeAt := time.Duration(0)
	for len(pending) > 0 || len(waiting) > 0 {
		for len(pending) > 0 && (len(waiting) == 0 || pending[0].at <= freeAt) {
			c := heap.Pop(&pending).(caller)
			freeAt = max(freeAt, c.at)
			if len(waiting) > 0 {
				freeAt = max(freeAt, waiting[0].at)
			}
			request := admissionRequest(c, waiting, freeAt)
			if p.urgency {
				c.urgency = admission.Urgency(request)
			}
			standing := queue.Observe(request, time.Unix(0, 0).Add(c.at))
			if ok, retryAfter := admission.Admit(request, standing, random.Float64()); !ok && p.refusals {
				if c.returned {
					r.refusedAgain++
					continue
				}
				r.refused++
				c.returned = true
				c.at += retryAfter
				heap.Push(&pending, c)
				continue
			}
			waiting = append(waiting, c)
		}
		if len(waiting) == 0 {
			continue
		}
		slices.SortStableFunc(waiting, func(a, b caller) int { return cmp.Compare(a.urgency, b.urgency) })
		next := waiting[0]
		waiting = waiting[1:]
		if freeAt-next.at > patience {
			r.left++
			continue
		}
		freeAt += next.prefill
		switch {
		case freeAt-next.firstAt <= target:
			r.inTime++
		case freeAt-next.at <= patience:
			r.late++
		default:
			r.left++
		}
	}
	return r
}

// offeredLoad returns the first attempts of all callers.
func offeredLoad(random *rand.Rand) arrivals {
	var load arrivals
	for now := time.Duration(0); now < loadDuration; {
		rate := overload
		if now > overloadEnd {
			rate = 0.5
		}
		now += time.Duration(random.ExpFloat64() / rate * float64(meanTime))
		prefill := longTime
		if random.Float64() < shortShare {
			prefill = shortTime
		}
		load = append(load, caller{firstAt: now, at: now, prefill: prefill})
	}
	heap.Init(&load)
	return load
}

// admissionRequest predicts the time to the first token from what is queued at
// the same urgency or before.
func admissionRequest(c caller, waiting []caller, freeAt time.Duration) admission.Request {
	r := admission.Request{Unloaded: c.prefill, Predicted: c.prefill, Target: target, Left: deadline - (c.at - c.firstAt), Returned: c.returned}
	urgency := admission.Urgency(r)
	r.Predicted += max(freeAt-c.at, 0)
	for _, w := range waiting {
		if w.urgency <= urgency {
			r.Predicted += w.prefill
		}
	}
	return r
}

// TestOverload plays the load with and without the parts of the admission.
func TestOverload(t *testing.T) {
	sum := func(p policy) (total result) {
		for seed := range uint64(10) {
			r := simulate(seed, p)
			total.offered += r.offered
			total.inTime += r.inTime
			total.late += r.late
			total.left += r.left
			total.refused += r.refused
			total.refusedAgain += r.refusedAgain
		}
		return total
	}
	whole := sum(policy{urgency: true, refusals: true})
	withoutRefusals := sum(policy{urgency: true})
	withoutUrgency := sum(policy{refusals: true})
	neither := sum(policy{})
	t.Logf("whole %+v", whole)
	t.Logf("without refusals %+v", withoutRefusals)
	t.Logf("without urgency %+v", withoutUrgency)
	t.Logf("neither %+v", neither)
	if whole.inTime <= withoutRefusals.inTime || whole.inTime <= withoutUrgency.inTime || whole.inTime <= neither.inTime {
		t.Errorf("in time: %d, want more than %d without refusals, %d without urgency, %d with neither",
			whole.inTime, withoutRefusals.inTime, withoutUrgency.inTime, neither.inTime)
	}
	if whole.left >= withoutRefusals.left {
		t.Errorf("callers that left: %d, want fewer than %d without refusals", whole.left, withoutRefusals.left)
	}
}
