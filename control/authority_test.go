package control_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/control"
	"quincewinch/invariant"
	"quincewinch/models"
)

const (
	settleTime   = 3 * time.Second  // before trouble begins, at the most
	runTime      = 12 * time.Second // of one schedule
	troubleTime  = 7 * time.Second
	takeoverTime = 8 * time.Second // a lease of 4 s is taken over in this time
)

// kept asserts that no promise was broken.
func kept(t *testing.T, history *invariant.History) {
	t.Helper()
	for _, violation := range invariant.Check(history) {
		t.Errorf("%s: %s", violation.Promise, violation.Detail)
	}
}

// orders asserts that the engine still gets orders.
func (d *deployment) ordersFlow(t *testing.T) {
	t.Helper()
	before := d.engine.orderCount()
	is.New(t).NoErr(clock.Sleep(t.Context(), takeoverTime))
	if d.engine.orderCount() == before {
		t.Error("nobody gives orders")
	}
}

// takeover waits until another machine than the first has authority, and
// returns how long after the first one's trouble that was.
func (d *deployment) takeover(t *testing.T) time.Duration {
	t.Helper()
	first := d.machines[0]
	for start := clock.Now(); clock.Now().Sub(start) < runTime; {
		is.New(t).NoErr(clock.Sleep(t.Context(), 50*time.Millisecond))
		for _, l := range d.leases[1:] {
			_, struck := first.progress()
			if l.Authority(zoneLease).Fence > 0 && !struck.IsZero() {
				return clock.Now().Sub(struck)
			}
		}
	}
	return 0
}

// stepsOfHolder counts the steps of an undisturbed holder.
func stepsOfHolder(t *testing.T) int {
	t.Helper()
	steps := 0
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, true, newMachine(), newMachine())
		is.New(t).NoErr(clock.Sleep(t.Context(), settleTime))
		steps, _ = d.machines[0].progress()
		d.finish()
		is.New(t).Equal(holder(d.store, zoneLease), models.DaemonID("d0"))
		kept(t, d.history)
	})
	return steps
}

func TestTroubleAtEachStepOfTheHolder(t *testing.T) {
	steps := stepsOfHolder(t)
	for _, what := range faults {
		t.Run(string(what), func(t *testing.T) {
			t.Parallel()
			var times []time.Duration
			for step := 1; step <= steps; step++ {
				synctest.Test(t, func(t *testing.T) {
					holder := newMachine(scheduledFault{step: step, kind: what, duration: troubleTime})
					d := deploy(t, step%2 == 0, holder, newMachine(), newMachine())
					if what == faultSlow {
						is.New(t).NoErr(clock.Sleep(t.Context(), runTime))
					} else if taken := d.takeover(t); taken > 0 {
						times = append(times, taken)
					}
					d.ordersFlow(t)
					d.finish()
					kept(t, d.history)
				})
			}
			if what != faultSlow { // a slow holder may stay in charge
				summary(t, steps, times)
			}
		})
	}
}

// summary logs the takeover times and asserts their bound.
func summary(t *testing.T, runs int, times []time.Duration) {
	t.Helper()
	if len(times) < runs {
		t.Errorf("%d takeovers in %d runs", len(times), runs)
		return
	}
	slices.Sort(times)
	worst := times[len(times)-1]
	t.Logf("%d runs, %d takeovers: p50 %s, worst %s", runs, len(times), times[len(times)/2], worst)
	is.New(t).True(worst <= takeoverTime) // in a few seconds
}

// draw returns trouble for one machine.
func draw(random *rand.Rand, steps int) []scheduledFault {
	var events []scheduledFault
	for range random.IntN(3) {
		events = append(events, scheduledFault{
			step:     1 + random.IntN(2*steps),
			kind:     faults[random.IntN(len(faults))],
			duration: time.Duration(random.Int64N(int64(troubleTime))),
		})
	}
	return events
}

func TestAuthorityInManySchedules(t *testing.T) {
	steps := stepsOfHolder(t)
	const workers = 8
	for worker := range workers {
		t.Run(strconv.Itoa(worker), func(t *testing.T) {
			t.Parallel()
			for seed := worker; seed < control.Schedules(); seed += workers {
				seeded(t, seed, func(t *testing.T) { schedule(t, uint64(seed), steps) })
			}
		})
	}
}

// seeded runs a test in a bubble and names its seed where it fails. A failure
// in a bubble ends the test around it, so that nothing after it would run.
func seeded(t *testing.T, seed int, test func(t *testing.T)) {
	t.Helper()
	defer func() {
		if t.Failed() {
			t.Logf("seed %d", seed)
		}
	}()
	synctest.Test(t, test)
}

// schedule runs one seeded schedule of troubles.
func schedule(t *testing.T, seed uint64, steps int) {
	random := rand.New(rand.NewPCG(seed, 0))
	d := deploy(t, seed%2 == 0, newMachine(draw(random, steps)...), newMachine(draw(random, steps)...))
	is.New(t).NoErr(clock.Sleep(t.Context(), runTime))
	d.finish()
	kept(t, d.history)
}
