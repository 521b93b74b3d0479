package billing_test

import (
	"net/http"
	"net/netip"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"quincewinch/models"
	"quincewinch/platform"
	"quincewinch/platform/emulator"
)

// TestFrozenWindowsListedAfterRestore guards against a window that a new holder
// reports again since it listed the frozen windows in an older copy, before it
// knew that the store had returned.
func TestFrozenWindowsListedAfterRestore(t *testing.T) {
	tests := []struct {
		name string
		away time.Duration // before the store returns
	}{
		{"restore right after the takeover", 0},
		{"store is away for a moment", 600 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newRestoreCluster(1, 2)
				c.runUntil(func() bool { return c.holder() >= 0 })
				number := windowOf(c.clock.Now()) + 1
				middle := time.Unix(0, number*int64(window)).Add(window / 2)
				c.runUntil(func() bool { return !c.clock.Now().Before(middle) })
				c.runUntil(func() bool { return c.receiver.received(number) })
				first := c.holder()
				c.restart(first)
				for c.holder() < 0 {
					c.sleep(taskSpacing / 2)
				}
				c.emulated.SetFault(func(*http.Request) emulator.Fault { return emulator.FaultUnavailable })
				c.sleep(test.away)
				c.restore(c.clock.Now().Sub(middle))
				c.emulated.SetFault(func(*http.Request) emulator.Fault { return emulator.FaultNone })
				c.run(3*lease, false)
				violations, _ := c.finish()
				for _, violation := range violations {
					t.Error(violation)
				}
			})
		})
	}
}

// erasFromZero states eras that are one lower than the emulator's.
type erasFromZero struct {
	http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (e erasFromZero) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := e.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if era, err := strconv.ParseUint(response.Header.Get("Store-Era"), 10, 64); err == nil {
		response.Header = response.Header.Clone()
		response.Header.Set("Store-Era", strconv.FormatUint(era-1, 10))
	}
	return response, nil
}

// TestCountsWrittenAgainAfterRestore guards against counts that are missing from
// a report since their VM did not write them again.
func TestCountsWrittenAgainAfterRestore(t *testing.T) {
	tests := []struct {
		name     string
		fromZero bool // eras begin at 0
		idle     bool // the VM has no requests after the restore
	}{
		{"eras begin at 1", false, false},
		{"eras begin at 0", true, false},
		{"VM has no more requests", false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newRestoreCluster(1, 2)
				if test.fromZero {
					for i := range c.processes {
						c.processes[i].cancel()
						c.starts++
						first := 1 + 3*c.starts
						table := platform.NewStore(netip.MustParseAddrPort("10.0.0.1:1"), &http.Client{Transport: erasFromZero{c.connections[i]}}, 700*time.Millisecond)
						c.processes[i] = c.startOn(c.vmNames[i], table, func(task int) time.Duration { return time.Duration(first+task) * taskSpacing })
					}
				}
				for c.holder() < 0 {
					c.sleep(step)
				}
				number := windowOf(c.clock.Now()) + 2
				begin := time.Unix(0, number*int64(window))
				c.sleep(begin.Add(time.Second).Sub(c.clock.Now()))
				other := c.processes[1-c.holder()]
				c.counted[number] = map[models.Workspace]int64{"w0": 5}
				for range 5 {
					other.counter.Count("w0")
				}
				c.sleep(begin.Add(window + time.Second).Sub(c.clock.Now()))
				c.restore(window + time.Second/2)
				if !test.idle {
					other.counter.Count("w1")
				}
				c.sleep(3 * latest)
				c.stop()
				c.emulated.Close()
				synctest.Wait()
				for _, r := range c.receiver.reports {
					if r.window == number && r.counts["w0"] == 5 {
						return
					}
				}
				t.Errorf("window %d not reported in full: %v", number, c.receiver.reports)
			})
		})
	}
}
