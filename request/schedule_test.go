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
	schedules = flag.Int("schedules", 10000, "seeded schedules of faults to run")
	firstSeed = flag.Uint64("seed", 1, "seed of the first schedule")
)

const (
	shards = 4
	faults = 12 // kinds that disturb knows
)

// TestSchedules runs seeded schedules of requests and faults and checks every
// promise over each.
func TestSchedules(t *testing.T) {
	var ends [3]atomic.Int64 // whole answers, refusals that say not run, others
	t.Run("shards", func(t *testing.T) {
		for shard := range shards {
			t.Run(strconv.Itoa(shard), func(t *testing.T) {
				t.Parallel()
				for i := shard; i < *schedules && !t.Failed(); i += shards {
					seed := *firstSeed + uint64(i)
					synctest.Test(t, func(t *testing.T) { schedule(t, seed, &ends) })
					if t.Failed() {
						t.Logf("seed %d: go test ./request -run TestSchedules -schedules 1 -seed %d", seed, seed)
					}
				}
			})
		}
	})
	is := is.New(t)
	t.Logf("%d whole answers, %d not run, %d other ends", ends[0].Load(), ends[1].Load(), ends[2].Load())
	for i := range ends {
		is.True(ends[i].Load() > 0) // each kind of end was met
	}
}

// schedule runs a few requests, some under the same idempotency key, while
// faults come and go.
func schedule(t *testing.T, seed uint64, ends *[3]atomic.Int64) {
	r := rand.New(rand.NewPCG(seed, 0))
	f := newFleet(2, 3)
	f.service.delay = time.Duration(r.IntN(3)) * 400 * time.Millisecond
	var group sync.WaitGroup
	for i := range 2 + r.IntN(5) {
		at := time.Duration(r.IntN(4000)) * time.Millisecond
		daemon, route, key := r.IntN(2), "catalogue", ""
		hurries, gone := r.IntN(6) == 0, r.IntN(2) == 0
		if r.IntN(4) == 0 {
			at += requestTimeout + 10*time.Second // past the deadline of a holder that is cut off
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
			if hurries {
				ctx, cancel = context.WithTimeout(ctx, 100*time.Millisecond)
				defer cancel()
				sink.gone = gone
			}
			id := "r" + strconv.Itoa(i)
			if key != "" {
				id += ":" + key
			} else if route == "reservations" {
				id += ":" + id
			}
			count(ends, f.ask(ctx, daemon, id, route, key, route+key, sink))
		})
	}
	for range r.IntN(6) {
		at, fault, undo := time.Duration(r.IntN(4000))*time.Millisecond, r.IntN(faults), time.Duration(100+r.IntN(3000))*time.Millisecond
		which := r.IntN(len(f.engineIDs))
		group.Go(func() {
			pause(at)
			f.disturb(fault, which)
			pause(undo)
			f.repair(fault, which)
		})
	}
	group.Wait()
	pause(time.Hour)
	assertInvariants(t, f)
}

func count(ends *[3]atomic.Int64, refusal *models.Refusal) {
	switch {
	case refusal == nil:
		ends[0].Add(1)
	case refusal.NotRun:
		ends[1].Add(1)
	default:
		ends[2].Add(1)
	}
}

// disturb brings about one kind of fault.
func (f *fleet) disturb(fault, which int) {
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
		f.links[which%2].cut.Store(true)
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

func (f *fleet) repair(fault, which int) {
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
		f.links[which%2].cut.Store(which == 2) // that one never comes back
	case 8:
		f.service.setFault(nil)
	case 10:
		_ = e.Order(context.Background(), models.Order{ID: "resume", Kind: models.OrderResume})
	}
}
