package balance_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"quincewinch/balance"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/system"
	"quincewinch/policy/retry"
	"quincewinch/relay"
)

// network delivers load shares between the daemons of a test.
type network struct {
	t         *testing.T
	mu        sync.Mutex
	daemons   map[netip.AddrPort]*balance.Balancer
	members   map[models.DaemonID]models.Peer
	down      map[netip.AddrPort]bool
	messages  map[models.DaemonID]int // sent by each daemon
	addresses []netip.AddrPort
}

// Share implements balance.ShareClient.
func (n *network) Share(_ context.Context, to netip.AddrPort, share models.LoadShare) error {
	n.mu.Lock()
	from := share.Address
	down := n.down[to] || n.down[from]
	n.messages[models.DaemonID(from.String())]++
	target := n.daemons[to]
	n.mu.Unlock()
	if down {
		return peer.NewFailure(peer.OutcomeUnknown, "no answer", nil)
	}
	target.ReceiveShare(share)
	return nil
}

// Drop implements balance.ShareClient.
func (n *network) Drop(netip.AddrPort) {}

// others are all members but one.
type others struct {
	network *network
	self    models.DaemonID
}

// Others implements balance.Members.
func (o others) Others() map[models.DaemonID]models.Peer {
	list := map[models.DaemonID]models.Peer{}
	for id, member := range o.network.members {
		if id != o.self {
			list[id] = member
		}
	}
	return list
}

// networkEngines is the number of engines of a network.
const networkEngines = 6

// newNetwork starts daemons spread over zones, all with the same engines.
func newNetwork(t *testing.T, daemons, zones int) *network {
	n := &network{
		t: t, daemons: map[netip.AddrPort]*balance.Balancer{}, members: map[models.DaemonID]models.Peer{},
		down: map[netip.AddrPort]bool{}, messages: map[models.DaemonID]int{},
	}
	f := newFleet(engines(networkEngines, models.RoleDecode)...)
	clock := system.NewClock()
	type start struct {
		id     models.DaemonID
		member models.Peer
	}
	var starts []start
	for i := range daemons {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 1)
		s := start{models.DaemonID(fmt.Sprintf("vm-%03d", i)), models.Peer{Address: address, Zone: models.Zone(fmt.Sprintf("z%d", i%zones))}}
		starts = append(starts, s)
		n.members[s.id] = s.member
		n.addresses = append(n.addresses, address)
	}
	for _, s := range starts {
		n.daemons[s.member.Address] = balance.New(f, clock, balance.Settings{
			Zone: s.member.Zone, Retries: retry.Settings{Ratio: 0.2, Window: 10 * time.Second},
		}, 1)
	}
	for _, s := range starts {
		b := n.daemons[s.member.Address]
		self := models.LoadShare{From: s.id, Zone: s.member.Zone, Address: s.member.Address}
		sharer := balance.NewSharer(self, b, others{n, s.id}, n, clock, zap.NewNop())
		go func() {
			for clock.Sleep(t.Context(), 25*time.Millisecond) == nil {
				sharer.Step(t.Context())
			}
		}()
	}
	return n
}

// daemon returns a daemon by its number.
func (n *network) daemon(i int) *balance.Balancer {
	return n.daemons[n.addresses[i]]
}

// knowsSharedPart reports whether a daemon expects that only the own part of a
// prompt has to be prefilled, after another daemon has sent the shared part.
func (n *network) knowsSharedPart(i int, shared string, own int) bool {
	n.t.Helper()
	p := place(n.t, n.daemon(i), promptExchange(shared, own))
	defer p.End(relay.ResultServed)
	return p.PrefillTokens() == own
}

func TestSharesReachAllDaemons(t *testing.T) {
	for _, size := range []struct{ daemons, zones int }{{7, 4}, {20, 4}, {72, 5}} {
		t.Run(fmt.Sprintf("%d daemons in %d zones", size.daemons, size.zones), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t, size.daemons, size.zones)
				advance(t, 2*time.Second)
				p := place(t, n.daemon(size.daemons-1), promptExchange("catalogue", 100))
				p.ResponseStarted(nil)
				advance(t, 2*time.Second)
				for i := range size.daemons {
					if !n.knowsSharedPart(i, "catalogue", 200+i) {
						t.Errorf("daemon %d does not know which engine caches the shared part", i)
					}
				}
			})
		})
	}
}

// Another daemon learns of a long prompt at an engine well before it has been
// prefilled, which takes 300 ms, and that it is cached soon after it has been.
func TestLongPromptsAreSharedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 7, 4)
		advance(t, 2*time.Second)
		unloaded := place(t, n.daemon(1), promptExchange("none", 100))
		unloaded.End(relay.ResultCancelled)
		var prompts []relay.Placement
		for i := range networkEngines {
			prompts = append(prompts, place(t, n.daemon(0), promptExchange(fmt.Sprintf("p%d", i), 100)))
			advance(t, 30*time.Millisecond)
		}
		advance(t, 50*time.Millisecond)
		loaded := place(t, n.daemon(1), promptExchange("none", 100))
		loaded.End(relay.ResultCancelled)
		is.True(loaded.Predicted() > unloaded.Predicted()+300*time.Millisecond)
		is.True(!n.knowsSharedPart(1, "p0", 200))
		prompts[0].ResponseStarted(nil)
		advance(t, 80*time.Millisecond)
		is.True(n.knowsSharedPart(1, "p0", 200))
	})
}

// A caller that leaves before its prompt was prefilled leaves nothing cached.
func TestCancelledPromptIsNotCached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 7, 4)
		advance(t, 2*time.Second)
		place(t, n.daemon(0), promptExchange("catalogue", 100)).End(relay.ResultCancelled)
		advance(t, 2*time.Second)
		is.True(!n.knowsSharedPart(0, "catalogue", 200))
		is.True(!n.knowsSharedPart(1, "catalogue", 200))
	})
}

// The messages that one daemon sends depend on the number of daemons in its
// zone and of zones, not on the total number of daemons.
func TestMessagesPerDaemonAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const zones, perZone, seconds = 4, 16, 10
		n := newNetwork(t, zones*perZone, zones)
		// With 15 others in the zone, load shares are at least 150 ms apart. One
		// daemon per zone also sends zone sums to three others.
		const most = (seconds*1000/150 + 1) * (perZone - 1 + zones - 1)
		for range seconds * 10 {
			for i := range zones * perZone {
				p := place(t, n.daemon(i), promptExchange("p", 100))
				p.ResponseStarted(nil)
				p.End(relay.ResultServed)
			}
			advance(t, 100*time.Millisecond)
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		for id, messages := range n.messages {
			if messages > most {
				t.Errorf("%s sent %d messages in %d s, at most %d are allowed", id, messages, seconds, most)
			}
		}
	})
}

// If the leader of a zone is unreachable, the next daemon of the zone relays
// load shares.
func TestZoneLeaderFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 20, 4)
		n.mu.Lock()
		n.down[n.addresses[0]] = true // the leader of zone z0
		n.mu.Unlock()
		advance(t, 5*time.Second)
		place(t, n.daemon(1), promptExchange("catalogue", 100)).ResponseStarted(nil)
		advance(t, 3*time.Second)
		is.True(n.knowsSharedPart(4, "catalogue", 200)) // of zone z0
	})
}

// A daemon that stops says so while a share may be on its way.
func TestLeaveDuringStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 3, 1)
		self := models.LoadShare{From: "vm-000", Zone: "z0", Address: n.addresses[0]}
		sharer := balance.NewSharer(self, n.daemon(0), others{n, "vm-000"}, n, system.NewClock(), zap.NewNop())
		var steps sync.WaitGroup
		steps.Go(func() {
			for range 100 {
				sharer.Step(t.Context())
				_ = system.NewClock().Sleep(t.Context(), 100*time.Millisecond) // ends with the test
			}
		})
		advance(t, 3*time.Second)
		sharer.Leave(t.Context())
		steps.Wait()
	})
}
