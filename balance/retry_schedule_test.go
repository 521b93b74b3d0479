package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quincewinch/models"
)

const (
	// retryRatio, retryReserve and retryWindow are the users' bound of retries at a
	// service: so many for each request in any window, and some more.
	retryRatio   = 0.2
	retryReserve = 50
	retryWindow  = 10 * time.Second
	// rejectingShare is the share of the requests that engines reject while they
	// reject most.
	rejectingShare = 0.9
	prefillSuffix  = "-prefill"
)

// period is a part of a schedule.
type period struct {
	from, until time.Duration
}

func (p period) contains(at time.Duration) bool {
	return at >= p.from && at < p.until
}

// arrivalLog records the requests of callers and their arrivals at engines.
type arrivalLog struct {
	mu       sync.Mutex
	asked    map[models.ServiceName][]time.Duration
	arrivals map[models.ServiceName]map[models.RequestID][]*arrival
}

// arrival is a call that has reached an engine.
type arrival struct {
	at       time.Duration
	prefill  bool
	rejected bool
}

func (l *arrivalLog) ask(service models.ServiceName, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.asked == nil {
		l.asked = map[models.ServiceName][]time.Duration{}
		l.arrivals = map[models.ServiceName]map[models.RequestID][]*arrival{}
	}
	l.asked[service] = append(l.asked[service], at)
}

func (l *arrivalLog) add(id models.RequestID, service models.ServiceName, at time.Duration) *arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	name, prefill := strings.CutSuffix(string(id), prefillSuffix)
	a := &arrival{at: at, prefill: prefill}
	if l.arrivals[service] == nil {
		l.arrivals[service] = map[models.RequestID][]*arrival{}
	}
	l.arrivals[service][models.RequestID(name)] = append(l.arrivals[service][models.RequestID(name)], a)
	return a
}

// extra returns when requests arrived again at the engines of a service. The first
// prefill call that an engine accepts does not count.
func (l *arrivalLog) extra(service models.ServiceName) []time.Duration {
	var extra []time.Duration
	for _, arrivals := range l.arrivals[service] {
		first, prefilled := true, false
		for _, a := range arrivals {
			switch {
			case a.prefill && !a.rejected && !prefilled:
				prefilled = true
			case first:
				first = false
			default:
				extra = append(extra, a.at)
			}
		}
	}
	slices.Sort(extra)
	return extra
}

// askedIn returns how many requests for a service callers have sent in a window. The
// requests are in order of time.
func (l *arrivalLog) askedIn(service models.ServiceName, from time.Duration) int {
	asked := l.asked[service]
	first, _ := slices.BinarySearch(asked, from)
	last, _ := slices.BinarySearch(asked, from+retryWindow)
	return last - first
}

// checkRetries checks that no service got more retries than its budget in any window.
func (w *limitWorld) checkRetries() {
	for service, asked := range w.arrivals.asked {
		slices.Sort(asked)
		extra := w.arrivals.extra(service)
		last := 0
		for first, from := range extra {
			for last < len(extra) && extra[last] <= from+retryWindow {
				last++
			}
			requests := max(w.arrivals.askedIn(service, from), w.arrivals.askedIn(service, from-retryWindow), w.arrivals.askedIn(service, from-retryWindow/2))
			if allowed := int(retryRatio*float64(requests) + retryReserve); last-first > allowed {
				w.fault("BUDGET at %v: %s got %d retries in %v for %d requests, allowed %d", from, service, last-first, retryWindow, requests, allowed)
				break
			}
		}
	}
}

// rejectedShare returns the share of the requests that engines reject now.
func (w *limitWorld) rejectedShare() float64 {
	if w.rejecting.contains(w.since()) {
		return rejectingShare
	}
	return usuallyRejected
}

// ignorant reports whether the VM has read no registrations of others since its start.
func (vm *limitVM) ignorant() bool {
	vm.world.mu.Lock()
	defer vm.world.mu.Unlock()
	return vm.world.clock.Now().Sub(vm.startedAt) < vm.world.ignorance
}

// runRetries plays a schedule: engines reject most requests for a time, and all VMs are
// killed at the given times.
func (w *limitWorld) runRetries(lasting time.Duration, kills []time.Duration) {
	for i, e := range w.engines {
		if r := w.draw("leaving", i); r.Float64() < w.leaving {
			e.leavesAt = between(r, time.Second, lasting)
		}
	}
	for _, vm := range w.vms {
		w.callers.Add(1)
		go vm.ask()
	}
	r := w.draw("kills", 0)
	for _, at := range kills {
		for _, vm := range w.vms {
			down := between(r, 200*time.Millisecond, 900*time.Millisecond)
			w.after(at, func() { vm.restart(down) })
		}
	}
	w.sleep(lasting)
	w.mu.Lock()
	w.ended = true
	w.mu.Unlock()
	w.callers.Wait()
	for _, vm := range w.vms {
		vm.stop()
	}
}

// playRetries runs seeded schedules and reports the promises that they broke.
func playRetries(t *testing.T, rejecting period, draw func(r *rand.Rand, settings *limitSettings) (kills []time.Duration)) {
	for i := range *schedules {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(seed, 1))
				settings := limitSettings{
					vms: 2 + r.IntN(9), zones: 4, decoders: 9, prefillers: 3, desks: 2,
					rate: 20 + 130*r.Float64(), rejecting: rejecting,
				}
				kills := draw(r, &settings)
				w := newLimitWorld(t, seed, settings)
				w.runRetries(rejecting.until+time.Second, kills)
				w.checkRetries()
				t.Logf("seed %d: %+v, kills at %v: %d requests, %d served", seed, settings, kills, w.requests, w.served)
				for _, fault := range w.faults {
					t.Error(fault)
				}
			})
		})
	}
}

// drawKills returns up to three times at which all VMs are killed.
func drawKills(r *rand.Rand, within period) []time.Duration {
	var kills []time.Duration
	for range 1 + r.IntN(3) {
		kills = append(kills, between(r, within.from, within.until))
	}
	slices.Sort(kills)
	return kills
}

// Guards against prompts that prefillers reject beyond the retry budget.
func TestRejectedPrefillsStayWithinTheRetryBudget(t *testing.T) {
	playRetries(t, period{from: 12 * time.Second, until: 26 * time.Second}, func(*rand.Rand, *limitSettings) []time.Duration { return nil })
}

// Guards against VMs that spend what they had spent before they were killed.
func TestRestartedVMsStayWithinTheRetryBudget(t *testing.T) {
	rejecting := period{from: 12 * time.Second, until: 26 * time.Second}
	playRetries(t, rejecting, func(r *rand.Rand, _ *limitSettings) []time.Duration { return drawKills(r, rejecting) })
}

// Guards against VMs that were killed right after they had spent the ratio of a whole
// window, and spend that of the next one at once.
func TestVMsKilledAfterABurstStayWithinTheRetryBudget(t *testing.T) {
	rejecting := period{from: 12 * time.Second, until: 26 * time.Second}
	playRetries(t, rejecting, func(r *rand.Rand, settings *limitSettings) []time.Duration {
		settings.rate = 150 + 100*r.Float64()
		return []time.Duration{between(r, 15*time.Second, 17*time.Second)}
	})
}

// Guards against VMs that know no others and take the budget of all of them.
func TestVMsThatKnowNoOthersStayWithinTheRetryBudget(t *testing.T) {
	rejecting := period{from: 12 * time.Second, until: 34 * time.Second}
	playRetries(t, rejecting, func(r *rand.Rand, settings *limitSettings) []time.Duration {
		settings.ignorance = between(r, 2*time.Second, 20*time.Second)
		return drawKills(r, period{from: 10 * time.Second, until: 14 * time.Second})
	})
}
