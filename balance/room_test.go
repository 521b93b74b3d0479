package balance_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"quincewinch/balance"
	"quincewinch/models"
	"quincewinch/peer/system"
	"quincewinch/policy/room"
	"quincewinch/relay"
)

// offeredExchange returns the n-th request of a load of three ranks. Each fifth has come
// back after a refusal.
func offeredExchange(n int, now time.Time) *relay.Exchange {
	e := promptExchange(fmt.Sprintf("p%d", n%7), 100+n*37%3000)
	e.Rank = n % 3
	e.Workspace = models.Workspace(fmt.Sprintf("w%d", n%4))
	e.Route = models.PathRoute{Name: fmt.Sprintf("r%d", n%3), Rank: n % 3, LatencyTarget: 300 * time.Millisecond, Timeout: 5 * time.Second}
	e.CallerTimeout = 5 * time.Second
	if n%5 == 4 {
		e.CallerTimeout = 3 * time.Second
	}
	e.Received, e.Deadline = now, now.Add(e.CallerTimeout)
	return e
}

// offer offers requests faster than the engines serve them, and returns what became of
// each.
func offer(t *testing.T, b *balance.Balancer, requests int) (outcomes []string) {
	t.Helper()
	var placed []relay.Placement
	for n := range requests {
		p, err := b.Place(offeredExchange(n, system.NewClock().Now()), nil)
		if err != nil {
			outcomes = append(outcomes, fmt.Sprintf("%d %d", n, relay.RefusalOf(err).RetryAfter/(10*time.Millisecond)))
		} else {
			outcomes = append(outcomes, fmt.Sprintf("%d %s %d %d", n, p.Target().ID, p.Urgency(), p.Predicted()/(10*time.Millisecond)))
			placed = append(placed, p)
		}
		if len(placed) > 12 {
			placed[0].ResponseStarted(nil)
			placed[0].End(relay.ResultServed)
			placed = placed[1:]
		}
		advance(t, 20*time.Millisecond)
	}
	return outcomes
}

// outcomesByQueue is the hash of the outcomes of 300 requests as the daemon decided
// before requests could be admitted by demand.
const outcomesByQueue = 10105446427166814998

// A deployment that does not ask for it is served as before, and its daemons say nothing
// of their demand.
func TestAdmissionByQueueIsUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBalancer(newFleet(engines(3, models.RoleDecode)...))
		digest := xxhash.New()
		refused := 0
		for _, outcome := range offer(t, b, 300) {
			if strings.Count(outcome, " ") == 1 {
				refused++
			}
			_, err := fmt.Fprintln(digest, outcome)
			is.NoErr(err)
		}
		is.True(refused > 30)
		is.Equal(digest.Sum64(), uint64(outcomesByQueue))
		is.Equal(len(b.NextShare().Demand), 0)
		is.Equal(len(b.RoomStates()), 0)
	})
}

// Callers have come back if they give a request less time than others of its route do,
// whatever the route allows.
func TestCallersThatComeBack(t *testing.T) {
	for _, test := range []struct {
		name    string
		timeout time.Duration // of the routes; callers state 5 s, each fifth 3 s
		back    bool
	}{{"at the route's timeout", 5 * time.Second, true}, {"far below the route's timeout", time.Minute, true}, {"all alike", 3 * time.Second, false}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newNetworkBy(t, 1, 1, true).daemon(0)
				returned := 0
				for i := range 400 {
					e := offeredExchange(i, system.NewClock().Now())
					e.Route.Timeout = test.timeout
					_, err := b.Place(e, nil)
					if err != nil && strings.Contains(err.Error(), string(room.ReasonLeft)) {
						returned++
					}
				}
				for _, s := range b.RoomStates()[0].Stats {
					returned += s.Behind
				}
				is.New(t).Equal(returned > 0, test.back)
			})
		})
	}
}

// hold places prompts that wait at engines, one at each daemon of some zones.
func (n *network) hold(inZone func(zone int) bool, zones int) (placed []relay.Placement, tokens int) {
	for i := range n.addresses {
		if inZone(i % zones) {
			e := offeredExchange(0, system.NewClock().Now())
			e.Route.LatencyTarget = time.Minute // none is refused, whatever is known of the others
			p := place(n.t, n.daemon(i), e)
			placed = append(placed, p)
			tokens += p.PrefillTokens()
		}
	}
	return placed, tokens
}

// expectQueued checks what the daemons of some zones know to wait at engines.
func (n *network) expectQueued(inZone func(zone int) bool, zones, tokens int) {
	n.t.Helper()
	for i := range n.addresses {
		if !inZone(i % zones) {
			continue
		}
		if queued := n.daemon(i).RoomStates()[0].Queued; queued != tokens {
			n.t.Errorf("daemon %d knows of %d tokens, want %d", i, queued, tokens)
		}
	}
}

// During a cut each side divides the room by the demand that it sees and goes on serving;
// afterwards all know all again.
func TestDemandThroughCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const daemons, zones = 21, 3
		all := func(int) bool { return true }
		inside := func(zone int) bool { return zone == 0 }
		outside := func(zone int) bool { return zone != 0 }
		n := newNetworkBy(t, daemons, zones, true)
		advance(t, 2*time.Second)
		within, ownTokens := n.hold(inside, zones)
		beyond, otherTokens := n.hold(outside, zones)
		advance(t, time.Second)
		n.expectQueued(all, zones, ownTokens+otherTokens)
		n.cutOff(inside, zones, true)
		advance(t, 4*time.Second)
		n.expectQueued(inside, zones, ownTokens)
		n.expectQueued(outside, zones, otherTokens)
		is.True(len(offer(t, n.daemon(0), 20)) == 20)
		n.cutOff(inside, zones, false)
		advance(t, 6*time.Second)
		for _, p := range within {
			p.End(relay.ResultCancelled)
		}
		advance(t, time.Second)
		states := n.daemon(daemons - 1).RoomStates()
		is.True(states[0].Served["r0"] < 1) // what was given up in the other zone counts here
		for _, p := range beyond {
			p.End(relay.ResultCancelled)
		}
	})
}

// cutOff separates some zones from the others, or heals the cut.
func (n *network) cutOff(inZone func(zone int) bool, zones int, cut bool) {
	n.set(func() {
		for i, a := range n.addresses {
			for j, b := range n.addresses {
				if inZone(i%zones) != inZone(j%zones) {
					n.cut[[2]netip.AddrPort{a, b}] = cut
				}
			}
		}
	})
}
