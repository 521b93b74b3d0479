package billing_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"quincewinch/models"
	"quincewinch/peer/system"
	"quincewinch/platform"
	"quincewinch/platform/emulator"
)

const (
	// restoreTime is the length of the part of a schedule that has faults.
	restoreTime = 40 * time.Second
	// recoveryTime is the time after the last fault from which every window must
	// be reported in full.
	recoveryTime = 2*lease + latest
	// taskSpacing separates the steps of all tasks, so that no two act at once.
	taskSpacing = 100 * time.Microsecond
)

// restoreCluster is a cluster whose store returns from older copies.
type restoreCluster struct {
	*cluster
	emulated    *emulator.Store
	connections []*emulator.Connection // of each process
	ends        []faultEnd
	disruptedAt time.Time // when the last fault ended
}

// faultEnd ends a fault at a time.
type faultEnd struct {
	at  time.Time
	end func()
}

func newRestoreCluster(seed uint64, daemons int) *restoreCluster {
	clock := system.NewClock()
	c := &restoreCluster{emulated: emulator.NewStore(), cluster: &cluster{
		clock:    clock,
		receiver: &reportReceiver{clock: clock},
		random:   &lockedRand{random: rand.New(rand.NewPCG(seed, 2))},
		counted:  map[int64]map[models.Workspace]int64{},
	}}
	for i := range daemons {
		c.vmNames = append(c.vmNames, fmt.Sprintf("vm-%d", i))
	}
	for i := range daemons {
		c.processes = append(c.processes, nil)
		c.connections = append(c.connections, nil)
		c.restart(i)
	}
	return c
}

// restart starts the process of a VM.
func (c *restoreCluster) restart(i int) {
	if c.processes[i] != nil {
		c.processes[i].cancel()
	}
	first := 1 + 3*c.starts
	delay := func(task int) time.Duration { return time.Duration(first+task) * taskSpacing }
	c.connections[i] = emulator.NewConnection(c.emulated)
	table := platform.NewStore(netip.MustParseAddrPort("10.0.0.1:1"), &http.Client{Transport: c.connections[i]}, 700*time.Millisecond)
	c.processes[i] = c.startOn(c.vmNames[i], table, delay)
}

// restore returns the store to a copy of some age.
func (c *restoreCluster) restore(age time.Duration) {
	c.disruptedAt = c.clock.Now()
	c.emulated.Restore(c.emulated.VersionAt(c.clock.Now().Add(-age)))
}

// injectFault injects one random fault, which ends by itself.
func (c *restoreCluster) injectFault() {
	i := c.faultTarget()
	p, connection := c.processes[i], c.connections[i]
	duration := c.tenths(2, 60)
	switch c.random.IntN(12) {
	case 0: // a daemon is killed and restarted
		p.cancel()
		c.after(c.tenths(0, 30), func() { c.restart(i) })
	case 1: // a daemon stops as planned and is restarted
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		p.leases.Release(ctx)
		p.counter.Flush(ctx)
		p.cancel()
		c.after(0, func() { c.restart(i) })
	case 2: // a daemon is paused
		p.paused.Store(true)
		c.after(duration, func() { p.paused.Store(false) })
	case 3: // a daemon gets no answers
		c.setFault(connection, emulator.FaultHang, 0, duration)
	case 4: // a daemon is refused
		c.setFault(connection, emulator.FaultUnavailable, 0, duration)
	case 5: // a daemon's calls take effect, but the answers are lost
		c.setFault(connection, emulator.FaultLoseAnswer, 0, duration)
	case 6: // a daemon's writes take effect late
		c.setFault(connection, emulator.FaultLate, c.tenths(10, 50), duration)
	case 7: // a daemon gets answers late
		c.setFault(connection, emulator.FaultNone, c.tenths(1, 5), duration)
	case 8: // answers to reports are lost
		c.receiver.setLoseAnswer(func() bool { return c.random.IntN(2) == 0 })
		c.after(duration, func() { c.receiver.setLoseAnswer(nil) })
	case 9, 10, 11: // the store returns older, perhaps twice
		c.emulated.SetFault(func(*http.Request) emulator.Fault { return emulator.FaultUnavailable })
		c.restore(c.tenths(1, 200))
		c.after(c.tenths(0, 10), func() {
			c.emulated.SetFault(func(*http.Request) emulator.Fault { return emulator.FaultNone })
		})
		if c.random.IntN(3) == 0 {
			c.after(c.tenths(1, 30), func() { c.restore(c.tenths(1, 200)) })
		}
	}
}

func (c *restoreCluster) setFault(connection *emulator.Connection, fault emulator.Fault, latency, duration time.Duration) {
	connection.Set(fault, latency)
	c.after(duration, func() { connection.Set(emulator.FaultNone, 0) })
}

// after ends a fault after a duration.
func (c *restoreCluster) after(d time.Duration, end func()) {
	c.ends = append(c.ends, faultEnd{c.clock.Now().Add(d), end})
}

// endFaults ends the faults that are due, or all of them.
func (c *restoreCluster) endFaults(all bool) {
	now := c.clock.Now()
	due := c.ends
	c.ends = nil
	for _, fault := range due {
		if !all && now.Before(fault.at) {
			c.ends = append(c.ends, fault)
			continue
		}
		fault.end()
		c.disruptedAt = now
	}
}

// tenths returns a random number of tenths of a second.
func (c *restoreCluster) tenths(least, most int) time.Duration {
	return time.Duration(least+c.random.IntN(most-least+1)) * time.Second / 10
}

// run lets time pass, with traffic and with writes of other rows.
func (c *restoreCluster) run(d time.Duration, faults bool) {
	for end := c.clock.Now().Add(d); c.clock.Now().Before(end); {
		c.endFaults(false)
		if faults && c.random.IntN(15) == 0 {
			c.injectFault()
		}
		c.traffic()
		for range c.random.IntN(3) {
			c.emulated.Put("other", "row", nil)
		}
		c.sleep(100 * time.Millisecond)
	}
}

// runUntil lets time pass until a condition holds.
func (c *restoreCluster) runUntil(condition func() bool) {
	for !condition() {
		c.run(step, false)
	}
}

// holder returns the index of the process that holds the lease, -1 if none does.
func (c *restoreCluster) holder() int {
	return slices.IndexFunc(c.processes, func(p *process) bool {
		return p.leases.Authority(models.LeaseUsage).Fence > 0
	})
}

func windowOf(at time.Time) int64 {
	return at.UnixNano() / int64(window)
}

// received reports whether a window was reported.
func (r *reportReceiver) received(number int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.reports, func(r report) bool { return r.window == number })
}

// finish lets the last windows be reported, and returns the violations and the
// fraction of the windows that were reported.
func (c *restoreCluster) finish() (violations []string, reported float64) {
	c.endFaults(true)
	c.run(recoveryTime+3*window, false)
	c.sleep(window + latest)
	c.stop()
	c.emulated.Close()
	synctest.Wait()
	violations = c.check(false)
	first := map[int64]map[models.Workspace]int64{}
	for _, r := range c.receiver.reports {
		first[r.window] = r.counts
	}
	for _, number := range slices.Sorted(maps.Keys(c.counted)) {
		counts := c.counted[number]
		begin := time.Unix(0, number*int64(window))
		if begin.Before(c.disruptedAt.Add(recoveryTime)) {
			continue
		}
		if !maps.Equal(first[number], counts) {
			violations = append(violations, fmt.Sprintf("window %d, which began %s after the last fault, reported as %v, want %v", number, begin.Sub(c.disruptedAt), first[number], counts))
		}
	}
	return violations, float64(len(first)) / float64(len(c.counted))
}

// expectNoViolationsAcrossRestores runs the schedule of a seed with two to four
// daemons. It returns the fraction of the windows that were reported.
func expectNoViolationsAcrossRestores(t *testing.T, seed uint64) (reported float64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newRestoreCluster(seed, 2+int(seed%3))
		c.run(restoreTime, true)
		var violations []string
		violations, reported = c.finish()
		for _, violation := range violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
	})
	return reported
}

// pastSeeds are seeds of schedules that once had a violation.
var pastSeeds = []uint64{1357}

// TestWindowsAcrossStoreRestores runs schedules with restores and other faults, a
// third of those of TestWindowsInSeededSchedules, or the one that the seed flag
// names.
func TestWindowsAcrossStoreRestores(t *testing.T) {
	if *seedFlag != 0 {
		t.Logf("%.2f of the windows reported", expectNoViolationsAcrossRestores(t, *seedFlag))
		return
	}
	for _, seed := range pastSeeds {
		expectNoViolationsAcrossRestores(t, seed)
	}
	var reported float64
	count := max(*schedules/3, 1)
	for seed := range uint64(count) {
		reported += expectNoViolationsAcrossRestores(t, seed+1)
		if t.Failed() {
			return
		}
	}
	t.Logf("%.2f of the windows reported", reported/float64(count))
}

// TestReportedWindowAcrossStoreRestore guards against a window that is reported
// with other counts after the store lost its frozen row.
func TestReportedWindowAcrossStoreRestore(t *testing.T) {
	tests := []struct {
		name       string
		loseAnswer bool // to the report before the restore
		// run is called after a window was reported, with the holder of the lease and
		// the age of a copy from the middle of that window.
		run func(c *restoreCluster, holder int, age time.Duration)
	}{
		{"holder remains", false, func(c *restoreCluster, _ int, age time.Duration) {
			c.restore(age)
		}},
		{"holder remains, but the answer to its report was lost", true, func(c *restoreCluster, _ int, age time.Duration) {
			c.restore(age)
		}},
		{"holder is restarted", false, func(c *restoreCluster, holder int, age time.Duration) {
			c.restore(age)
			c.processes[holder].cancel()
			c.after(lease, func() { c.restart(holder) })
		}},
		{"holder is cut off", false, func(c *restoreCluster, holder int, age time.Duration) {
			c.restore(age)
			c.setFault(c.connections[holder], emulator.FaultHang, 0, 2*lease)
		}},
		{"holder is paused", false, func(c *restoreCluster, holder int, age time.Duration) {
			c.processes[holder].paused.Store(true)
			c.restore(age)
			c.after(2*lease, func() { c.processes[holder].paused.Store(false) })
		}},
		{"all daemons are restarted", false, func(c *restoreCluster, _ int, age time.Duration) {
			c.restore(age)
			for i, p := range c.processes {
				p.cancel()
				c.restart(i)
			}
		}},
		{"all daemons are restarted, and the copy has no lease", false, func(c *restoreCluster, _ int, _ time.Duration) {
			c.emulated.Restore(0)
			c.disruptedAt = c.clock.Now()
			for i, p := range c.processes {
				p.cancel()
				c.restart(i)
			}
		}},
		{"two restores", false, func(c *restoreCluster, holder int, age time.Duration) {
			c.restore(age)
			c.run(lease, false)
			c.restore(lease + age)
			c.processes[holder].cancel()
			c.after(lease, func() { c.restart(holder) })
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newRestoreCluster(1, 2)
				c.runUntil(func() bool { return c.holder() >= 0 })
				number := windowOf(c.clock.Now()) + 1
				middle := time.Unix(0, number*int64(window)).Add(window / 2)
				c.runUntil(func() bool { return !c.clock.Now().Before(middle) })
				c.receiver.setLoseAnswer(func() bool { return test.loseAnswer })
				c.runUntil(func() bool { return c.receiver.received(number) })
				c.receiver.setLoseAnswer(nil)
				test.run(c, c.holder(), c.clock.Now().Sub(middle))
				c.run(3*lease, false)
				violations, _ := c.finish()
				for _, violation := range violations {
					t.Error(violation)
				}
			})
		})
	}
}
