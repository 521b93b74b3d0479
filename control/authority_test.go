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
	warmUpTime      = 3 * time.Second  // TestFaultAtEachHolderStep injects faults within it
	scheduleTime    = 12 * time.Second // length of one schedule
	maxFaultTime    = 7 * time.Second
	maxTakeoverTime = 8 * time.Second // for leases with a duration of 4 s
)

// checkInvariants asserts that the history violates no invariant.
func checkInvariants(t *testing.T, history *invariant.History) {
	t.Helper()
	for _, violation := range invariant.Check(history) {
		t.Errorf("%s: %s", violation.Invariant, violation.Detail)
	}
}

// checkOrdersContinue asserts that the engine receives orders again within
// maxTakeoverTime.
func (d *deployment) checkOrdersContinue(t *testing.T) {
	t.Helper()
	before := d.engine.orderCount()
	is.New(t).NoErr(clock.Sleep(t.Context(), maxTakeoverTime))
	if d.engine.orderCount() == before {
		t.Error("engine received no orders within the takeover time")
	}
}

// awaitTakeover waits until a machine other than the first has authority. It
// returns the time since the fault of the first machine, or 0 if there was no
// takeover within scheduleTime.
func (d *deployment) awaitTakeover(t *testing.T) time.Duration {
	t.Helper()
	first := d.machines[0]
	for start := clock.Now(); clock.Now().Sub(start) < scheduleTime; {
		is.New(t).NoErr(clock.Sleep(t.Context(), 50*time.Millisecond))
		for _, l := range d.leases[1:] {
			_, faultAt := first.progress()
			if l.Authority(zoneLease).Fence > 0 && !faultAt.IsZero() {
				return clock.Now().Sub(faultAt)
			}
		}
	}
	return 0
}

// holderSteps returns the number of steps that a holder takes within warmUpTime
// without faults.
func holderSteps(t *testing.T) int {
	t.Helper()
	steps := 0
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, true, newMachine(), newMachine())
		is.New(t).NoErr(clock.Sleep(t.Context(), warmUpTime))
		steps, _ = d.machines[0].progress()
		d.finish()
		is.New(t).Equal(holder(d.store, zoneLease), models.DaemonID("d0"))
		checkInvariants(t, d.history)
	})
	return steps
}

// TestFaultAtEachHolderStep injects each kind of fault at each step of the lease
// holder. Another machine must take over in time and the invariants must hold.
func TestFaultAtEachHolderStep(t *testing.T) {
	steps := holderSteps(t)
	for _, what := range faults {
		t.Run(string(what), func(t *testing.T) {
			t.Parallel()
			var times []time.Duration
			for step := 1; step <= steps; step++ {
				synctest.Test(t, func(t *testing.T) {
					holder := newMachine(scheduledFault{step: step, kind: what, duration: maxFaultTime})
					d := deploy(t, step%2 == 0, holder, newMachine(), newMachine())
					if what == faultSlow {
						is.New(t).NoErr(clock.Sleep(t.Context(), scheduleTime))
					} else if elapsed := d.awaitTakeover(t); elapsed > 0 {
						times = append(times, elapsed)
					}
					d.checkOrdersContinue(t)
					d.finish()
					checkInvariants(t, d.history)
				})
			}
			if what != faultSlow { // a slow holder may keep the lease
				checkTakeoverTimes(t, steps, times)
			}
		})
	}
}

// checkTakeoverTimes logs the takeover times and asserts that every run had a
// takeover within maxTakeoverTime.
func checkTakeoverTimes(t *testing.T, runs int, times []time.Duration) {
	t.Helper()
	if len(times) < runs {
		t.Errorf("%d takeovers in %d runs", len(times), runs)
		return
	}
	slices.Sort(times)
	worst := times[len(times)-1]
	t.Logf("%d runs, %d takeovers: p50 %s, worst %s", runs, len(times), times[len(times)/2], worst)
	is.New(t).True(worst <= maxTakeoverTime)
}

// randomEvents returns up to two random faults for one machine.
func randomEvents(random *rand.Rand, steps int) []scheduledFault {
	var events []scheduledFault
	for range random.IntN(3) {
		events = append(events, scheduledFault{
			step:     1 + random.IntN(2*steps),
			kind:     faults[random.IntN(len(faults))],
			duration: time.Duration(random.Int64N(int64(maxFaultTime))),
		})
	}
	return events
}

// TestAuthorityUnderRandomFaults checks the invariants under seeded random
// faults.
func TestAuthorityUnderRandomFaults(t *testing.T) {
	steps := holderSteps(t)
	const workers = 8
	for worker := range workers {
		t.Run(strconv.Itoa(worker), func(t *testing.T) {
			t.Parallel()
			for seed := worker; seed < control.Schedules(); seed += workers {
				runSeeded(t, seed, func(t *testing.T) { runFaultSchedule(t, uint64(seed), steps) })
			}
		})
	}
}

// runSeeded runs a test in a synctest bubble and logs its seed if it fails. A
// failure in a bubble ends the enclosing test as well, so the seed is logged in
// a deferred call.
func runSeeded(t *testing.T, seed int, test func(t *testing.T)) {
	t.Helper()
	defer func() {
		if t.Failed() {
			t.Logf("seed %d", seed)
		}
	}()
	synctest.Test(t, test)
}

// runFaultSchedule runs two machines with random faults derived from the seed and
// checks the invariants.
func runFaultSchedule(t *testing.T, seed uint64, steps int) {
	random := rand.New(rand.NewPCG(seed, 0))
	d := deploy(t, seed%2 == 0, newMachine(randomEvents(random, steps)...), newMachine(randomEvents(random, steps)...))
	is.New(t).NoErr(clock.Sleep(t.Context(), scheduleTime))
	d.finish()
	checkInvariants(t, d.history)
}
