package request_test

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/standin/platform"
)

const (
	// restoreRecordInterval is how often the schedules record a version to return
	// to.
	restoreRecordInterval = 250 * time.Millisecond
	// maxRestoredVersions bounds how many recorded versions a restore goes back.
	maxRestoredVersions = 20
	// restoredScheduleTime is the time in which requests are sent.
	restoredScheduleTime = 30 * time.Second
	// storeFaultTime bounds each fault of the store.
	storeFaultTime = 3 * time.Second
)

// TestRestoredClaimSchedules sends requests with few keys while the store has
// faults and returns from older copies. No key runs twice.
func TestRestoredClaimSchedules(t *testing.T) {
	var outcomes [3]atomic.Int64 // whole answers, refusals with NotRun, others
	t.Run("shards", func(t *testing.T) {
		for shard := range shards {
			t.Run(strconv.Itoa(shard), func(t *testing.T) {
				t.Parallel()
				for i := shard; i < *schedules/5 && !t.Failed(); i += shards {
					seed := *firstSeed + uint64(i)
					synctest.Test(t, func(t *testing.T) { runRestoredSchedule(t, seed, &outcomes) })
					if t.Failed() {
						t.Logf("seed %d", seed)
					}
				}
			})
		}
	})
	t.Logf("%d whole answers, %d refused without a run, %d other outcomes", outcomes[0].Load(), outcomes[1].Load(), outcomes[2].Load())
	is.New(t).True(outcomes[0].Load() > 0)
}

func runRestoredSchedule(t *testing.T, seed uint64, outcomes *[3]atomic.Int64) {
	r := rand.New(rand.NewPCG(seed, 1))
	f := newFleet(3, 1)
	f.service.delay = time.Duration(r.IntN(4)) * 400 * time.Millisecond
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	for _, claims := range f.claims {
		go func() {
			for ctx.Err() == nil {
				claims.Step(ctx)
				_ = f.clock.Sleep(ctx, time.Second)
			}
		}()
	}
	var group sync.WaitGroup
	for i := range 10 + r.IntN(20) {
		at := time.Duration(r.Int64N(int64(restoredScheduleTime)))
		daemon, key := r.IntN(3), "reservations"+strconv.Itoa(r.IntN(4))
		group.Go(func() {
			pause(at)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			countOutcome(outcomes, f.ask(ctx, daemon, "r"+strconv.Itoa(i)+":"+key, "reservations", key, key, &answerSink{}))
		})
	}
	for range r.IntN(4) {
		at, duration := time.Duration(r.Int64N(int64(restoredScheduleTime))), time.Duration(r.Int64N(int64(storeFaultTime)))
		fault, daemon := r.IntN(3), r.IntN(3)
		group.Go(func() {
			pause(at)
			switch fault {
			case 0:
				f.links[daemon].unreachable.Store(true)
			case 1:
				f.store.SetFaults(platform.Faults{Down: true})
			case 2:
				f.store.SetFaults(platform.Faults{LoseAnswer: func(models.Transaction) bool { return true }})
			}
			pause(duration)
			f.links[daemon].unreachable.Store(false)
			f.store.SetFaults(platform.Faults{})
		})
	}
	var versions []uint64
	for range 1 + r.IntN(2) {
		for range maxRestoredVersions + r.IntN(2*maxRestoredVersions) {
			versions = append(versions, f.store.Revision().Version())
			pause(restoreRecordInterval)
		}
		n := len(versions) - 1 - r.IntN(maxRestoredVersions)
		f.store.Restore(versions[n])
		versions = versions[:n+1]
	}
	group.Wait()
	pause(time.Minute)
	stop()
	pause(time.Hour)
	assertInvariants(t, f)
}
