package balance_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/relay"
	"quincewinch/resume"
)

const (
	// loadTick is the time between two requests of each daemon under load.
	loadTick = 5 * time.Millisecond
	// warmUp is the time under load after which load shares are regular.
	warmUp = 300 * time.Millisecond
)

// see sets the versions that all daemons have seen.
func (n *network) see(versions ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.versions = versions
}

// load lets the load of each daemon change, and streams of v1 begin at each, for
// some time.
func (n *network) load(d time.Duration) {
	n.t.Helper()
	for range d / loadTick {
		for i := range n.addresses {
			e := promptExchange("none", 0)
			e.Prompt = models.Prompt{Tokens: 10}
			place(n.t, n.daemon(i), e).End(relay.ResultServed)
			n.streams++
			n.begin(i, models.RequestID(fmt.Sprintf("load-%d", n.streams)), streamOrigin, 1)
		}
		advance(n.t, loadTick)
	}
}

// sent returns the number of load shares sent so far.
func (n *network) sent() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := 0
	for _, messages := range n.messages {
		sum += messages
	}
	return sum
}

// Guards against streams whose origin dies with a loaded daemon during a release.
func TestOriginsReachAllDaemonsUnderLoad(t *testing.T) {
	for _, size := range []struct {
		daemons, zones int
		within         time.Duration
		phases         int
	}{{7, 4, 75 * time.Millisecond, 20}, {83, 5, 800 * time.Millisecond, 1}} {
		for phase := range size.phases {
			t.Run(fmt.Sprintf("%d daemons, phase %d", size.daemons, phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := newNetwork(t, size.daemons, size.zones)
					n.load(warmUp + time.Duration(phase)*loadTick)
					last := size.daemons - 1
					n.begin(last, "r", streamOrigin, 1)
					n.load(size.within)
					n.kill(last)
					n.expectOrigin("r", streamOrigin, last)
				})
			})
		}
	}
}

// Guards against origins that wait for a regular load share although a second
// version has appeared since they were recorded.
func TestOriginsAreUrgentOnceASecondVersionAppears(t *testing.T) {
	for phase := range 20 {
		t.Run(fmt.Sprintf("phase %d", phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t, 7, 4)
				n.see("v1")
				n.load(warmUp + time.Duration(phase)*loadTick)
				n.begin(6, "r", streamOrigin, 1)
				n.load(loadTick)
				n.see("v1", "v2")
				n.load(75 * time.Millisecond)
				n.kill(6)
				n.expectOrigin("r", streamOrigin, 6)
			})
		})
	}
}

// Guards against a daemon that lags behind in reading registrations, and so sends
// origins late while other daemons serve a second version.
func TestOriginsAreUrgentAtADaemonThatLagsBehind(t *testing.T) {
	for phase := range 20 {
		t.Run(fmt.Sprintf("phase %d", phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t, 7, 4)
				n.see("v1")
				n.load(warmUp + time.Duration(phase)*loadTick)
				n.begin(0, "other", models.Software{Service: "llm", Version: "v2"}, 1)
				n.load(200 * time.Millisecond)
				n.begin(6, "r", streamOrigin, 1)
				n.load(75 * time.Millisecond)
				n.kill(6)
				n.expectOrigin("r", streamOrigin, 6)
			})
		})
	}
}

// Guards against load shares at the urgent interval, whenever streams begin, while
// one version serves.
func TestStreamsOfOneVersionDoNotHastenShares(t *testing.T) {
	for _, size := range []struct{ daemons, zones, most int }{{7, 4, 10}, {83, 5, 7}} {
		t.Run(fmt.Sprintf("%d daemons", size.daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t, size.daemons, size.zones)
				n.see("v1")
				n.load(warmUp)
				before := n.sent()
				n.load(time.Second)
				peers := size.daemons - 1
				if size.daemons > 13 { // zones that exchange sums
					peers = (size.daemons+size.zones-1)/size.zones - 1 + size.zones - 1
				}
				is.New(t).True(n.sent()-before <= size.daemons*peers*size.most)
			})
		})
	}
}

// Guards against idle daemons that send load shares because of the streams of others.
func TestStreamsOfOthersDoNotCauseShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 7, 4)
		advance(t, time.Second)
		before := n.sentBy(6)
		for i := range 50 {
			n.begin(0, models.RequestID(fmt.Sprintf("r%d", i)), streamOrigin, 1)
			advance(t, 20*time.Millisecond)
		}
		is.New(t).True(n.sentBy(6)-before <= 6*3) // every 500 ms to 6 others
	})
}

// sentBy returns the number of load shares that a daemon has sent so far.
func (n *network) sentBy(i int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.messages[models.DaemonID(n.addresses[i].String())]
}

// Guards against streams of daemons that do not write origins to the store, or do not
// reach it, which none could take up after the loss of all daemons.
func TestFirstDaemonsWriteTheOriginsOfAll(t *testing.T) {
	for name, size := range map[string]struct{ daemons, zones, own, zone, all int }{
		"all direct peers":        {daemons: 7, zones: 4, own: 5, all: 2},
		"above the direct limit":  {daemons: 20, zones: 4, zone: 3, all: 1},
		"a daemon alone":          {daemons: 1, zones: 1, all: 1},
		"two daemons in one zone": {daemons: 2, zones: 1, all: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork(t, size.daemons, size.zones)
				n.load(4 * warmUp)
				counts := map[resume.Scope]int{}
				for _, sharer := range n.sharers {
					if scope, ok := sharer.OriginDuty(); ok {
						counts[scope]++
					}
				}
				is.Equal(counts[resume.ScopeOwn], size.own)
				is.Equal(counts[resume.ScopeOwn|resume.ScopeZone], size.zone)
				is.Equal(counts[resume.ScopeAll], size.all)
			})
		})
	}
}
