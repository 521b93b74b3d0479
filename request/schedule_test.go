package request_test

import (
	"context"
	"flag"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/invariant"
	"quincewinch/models"
	"quincewinch/standin/engine"
	"quincewinch/standin/platform"
)

var (
	schedules = flag.Int("schedules", 10000, "number of seeded fault schedules to run")
	firstSeed = flag.Uint64("seed", 1, "seed of the first schedule")
)

const (
	shards     = 4
	faultKinds = 12 // kinds of fault in injectFault
)

// TestSchedules runs seeded schedules of requests and faults, and checks the
// invariants on the history of each.
func TestSchedules(t *testing.T) {
	var outcomes [3]atomic.Int64 // whole answers, refusals with NotRun, others
	t.Run("shards", func(t *testing.T) {
		for shard := range shards {
			t.Run(strconv.Itoa(shard), func(t *testing.T) {
				t.Parallel()
				for i := shard; i < *schedules && !t.Failed(); i += shards {
					seed := *firstSeed + uint64(i)
					synctest.Test(t, func(t *testing.T) { runSchedule(t, seed, &outcomes) })
					if t.Failed() {
						t.Logf("seed %d: go test ./request -run TestSchedules -schedules 1 -seed %d", seed, seed)
					}
				}
			})
		}
	})
	is := is.New(t)
	t.Logf("%d whole answers, %d refused without a run, %d other outcomes", outcomes[0].Load(), outcomes[1].Load(), outcomes[2].Load())
	for i := range outcomes {
		is.True(outcomes[i].Load() > 0) // each kind of outcome occurred
	}
}

// runSchedule runs a few requests, some with the same idempotency key, while
// faults are injected and cleared.
func runSchedule(t *testing.T, seed uint64, outcomes *[3]atomic.Int64) {
	r := rand.New(rand.NewPCG(seed, 0))
	f := newFleet(2, 3)
	f.service.delay = time.Duration(r.IntN(3)) * 400 * time.Millisecond
	var group sync.WaitGroup
	for i := range 2 + r.IntN(5) {
		at := time.Duration(r.IntN(4000)) * time.Millisecond
		daemon, route, key := r.IntN(2), "catalogue", ""
		leavesEarly, disconnected := r.IntN(6) == 0, r.IntN(2) == 0
		if r.IntN(4) == 0 {
			at += requestTimeout + 10*time.Second // after the deadline of a holder without a store connection
		}
		if r.IntN(2) == 0 {
			route = []string{"reservations", "reservations", "flitches"}[r.IntN(3)]
		}
		if route != "flitches" && r.IntN(3) > 0 {
			key = route + strconv.Itoa(r.IntN(2))
		}
		group.Go(func() {
			pause(at)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			sink := &answerSink{}
			if leavesEarly {
				ctx, cancel = context.WithTimeout(ctx, 100*time.Millisecond)
				defer cancel()
				sink.disconnected = disconnected
			}
			id := "r" + strconv.Itoa(i)
			if key != "" {
				id += ":" + key
			} else if route == "reservations" {
				id += ":" + id
			}
			countOutcome(outcomes, f.ask(ctx, daemon, id, route, key, route+key, sink))
		})
	}
	for range r.IntN(6) {
		at, fault, duration := time.Duration(r.IntN(4000))*time.Millisecond, r.IntN(faultKinds), time.Duration(100+r.IntN(3000))*time.Millisecond
		which := r.IntN(len(f.engineIDs))
		group.Go(func() {
			pause(at)
			f.injectFault(fault, which)
			pause(duration)
			f.clearFault(fault, which)
		})
	}
	group.Wait()
	pause(time.Hour)
	assertInvariants(t, f)
}

func countOutcome(outcomes *[3]atomic.Int64, refusal *models.Refusal) {
	switch {
	case refusal == nil:
		outcomes[0].Add(1)
	case refusal.NotRun:
		outcomes[1].Add(1)
	default:
		outcomes[2].Add(1)
	}
}

// injectFault causes one kind of fault. which selects the engine, link or
// service address that it affects, or its degree.
func (f *fleet) injectFault(fault, which int) {
	e := f.engines[f.engineIDs[which]]
	switch fault {
	case 0:
		e.Crash()
	case 1:
		e.SetFaults(engine.Faults{Hang: true})
	case 2:
		e.SetFaults(engine.Faults{BreakAfter: 1 + which})
	case 3:
		e.setAnswerFaults(true, false)
	case 4:
		e.setAnswerFaults(false, true)
	case 5:
		f.store.SetFaults(platform.Faults{Down: true})
	case 6:
		f.store.SetFaults(platform.Faults{
			Delay:      time.Duration(which*600) * time.Millisecond,
			LoseAnswer: func(models.Transaction) bool { return true },
		})
	case 7:
		f.links[which%2].unreachable.Store(true)
	case 8:
		f.service.setFault(func(url string) (bool, bool) { return which > 0 || url == "b", which != 1 })
	case 9:
		e.Evict(context.Background(), time.Second)
		f.history.Leaving(invariant.Leaving{At: f.clock.Now(), Backend: string(e.id), Bound: time.Second})
	case 10:
		_ = e.Order(context.Background(), models.Order{ID: strconv.Itoa(which), Kind: models.OrderDrain})
	case 11:
		f.history.Withdrawal(invariant.Withdrawal{At: f.clock.Now(), Key: "k1", Secret: secret})
		f.edit(func(config *models.Config) {
			config.Keys = map[[32]byte]models.Key{keyHash: {ID: "k1", Workspace: "sales", Withdrawn: true}}
		})
	}
}

// clearFault ends a fault that injectFault caused with the same arguments. An
// eviction and the withdrawal of the key are not undone.
func (f *fleet) clearFault(fault, which int) {
	e := f.engines[f.engineIDs[which]]
	switch fault {
	case 0:
		e.Restart()
	case 1, 2:
		e.SetFaults(engine.Faults{})
	case 3, 4:
		e.setAnswerFaults(false, false)
	case 5, 6:
		f.store.SetFaults(platform.Faults{})
	case 7:
		f.links[which%2].unreachable.Store(which == 2) // a link cut with which 2 is never restored
	case 8:
		f.service.setFault(nil)
	case 10:
		_ = e.Order(context.Background(), models.Order{ID: "resume", Kind: models.OrderResume})
	}
}
