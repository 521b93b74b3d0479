package balance_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
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
	"quincewinch/resume"
)

// network delivers load shares between the daemons of a test.
type network struct {
	t         *testing.T
	fleet     *fleet
	stop      map[netip.AddrPort]context.CancelFunc // ends the sharer of a daemon
	sharers   []*balance.Sharer                     // of all daemons, in order of their start
	mu        sync.Mutex
	daemons   map[netip.AddrPort]*balance.Balancer
	origins   map[netip.AddrPort]*resume.Origins
	evidence  map[netip.AddrPort]*evidenceLog
	uses      map[models.DaemonID]*usesLog
	lost      shareLoss
	delay     time.Duration // of each share
	members   map[models.DaemonID]models.Peer
	down      map[netip.AddrPort]bool
	cut       map[[2]netip.AddrPort]bool // from the first to the second, one way
	messages  map[models.DaemonID]int    // sent by each daemon
	addresses []netip.AddrPort
	versions  []string // that all daemons have seen
	streams   int      // that have begun under load
	byDemand  bool     // requests are admitted by demand

	evidenceSent int // shares with evidence that were sent
}

// Share implements balance.ShareClient.
func (n *network) Share(ctx context.Context, to netip.AddrPort, share models.LoadShare) (models.ShareReceipt, error) {
	if err := n.wait(ctx); err != nil {
		return models.ShareReceipt{}, err
	}
	n.mu.Lock()
	from := share.Address
	down := n.down[to] || n.down[from] || n.cut[[2]netip.AddrPort{from, to}]
	n.messages[models.DaemonID(from.String())]++
	target := n.daemons[to]
	origins := n.origins[to]
	evidence := n.evidence[to]
	if share.Evidence != nil {
		n.evidenceSent++
	}
	lost := n.lost.loses(share.Address, to, share.Sequence)
	n.mu.Unlock()
	if down || lost {
		return models.ShareReceipt{}, peer.NewFailure(peer.OutcomeUnknown, "no answer", nil)
	}
	origins.Learn(share.Origins, n.scope(share.Zone, to))
	share.Origins = nil
	evidence.learn(share.Evidence)
	share.Evidence = nil
	target.ReceiveShare(share)
	return models.ShareReceipt{Instance: origins.Instance()}, nil
}

// wait delays a load share.
func (n *network) wait(ctx context.Context) error {
	n.mu.Lock()
	delay := n.delay
	n.mu.Unlock()
	if delay == 0 {
		return nil
	}
	return system.NewClock().Sleep(ctx, delay)
}

// scope returns the scope of what a daemon learns from a zone.
func (n *network) scope(zone models.Zone, at netip.AddrPort) resume.Scope {
	for _, member := range n.members {
		if member.Address == at && member.Zone == zone {
			return resume.ScopeZone
		}
	}
	return resume.ScopeRemote
}

// Candidates implements resume.VersionSource.
func (n *network) Candidates(models.ServiceName) (versions []string, current bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.versions), true
}

// Began implements resume.VersionSource.
func (n *network) Began(models.ServiceName, time.Duration) {}

// Drop implements balance.ShareClient.
func (n *network) Drop(netip.AddrPort) {}

// others are all members but one.
type others struct {
	network *network
	self    models.DaemonID
}

// Listed implements balance.Members.
func (o others) Listed() bool { return true }

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
	return newNetworkBy(t, daemons, zones, false)
}

// newNetworkBy is newNetwork with requests admitted by demand or not.
func newNetworkBy(t *testing.T, daemons, zones int, demand bool) *network {
	n := &network{
		byDemand: demand,
		t:        t, fleet: newFleet(engines(networkEngines, models.RoleDecode)...), daemons: map[netip.AddrPort]*balance.Balancer{},
		origins: map[netip.AddrPort]*resume.Origins{}, evidence: map[netip.AddrPort]*evidenceLog{}, members: map[models.DaemonID]models.Peer{}, uses: map[models.DaemonID]*usesLog{},
		down: map[netip.AddrPort]bool{}, messages: map[models.DaemonID]int{}, stop: map[netip.AddrPort]context.CancelFunc{},
		versions: []string{"v1", "v2"}, cut: map[[2]netip.AddrPort]bool{},
	}
	for i := range daemons {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 1)
		n.members[daemonID(i)] = models.Peer{Address: address, Zone: models.Zone(fmt.Sprintf("z%d", i%zones))}
		n.addresses = append(n.addresses, address)
	}
	for i := range daemons {
		n.create(i)
	}
	for i := range daemons {
		n.run(i)
	}
	return n
}

func daemonID(i int) models.DaemonID {
	return models.DaemonID(fmt.Sprintf("vm-%03d", i))
}

// create creates the state of a daemon, which knows nothing.
func (n *network) create(i int) {
	member := n.members[daemonID(i)]
	clock := system.NewClock()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.origins[member.Address] = resume.NewOrigins(n, clock)
	n.evidence[member.Address] = newEvidenceLog()
	n.uses[daemonID(i)] = &usesLog{daemon: i}
	n.daemons[member.Address] = balance.New(n.fleet, clock, balance.Settings{
		Self: daemonID(i), Zone: member.Zone, Uses: n.uses[daemonID(i)], Retries: retry.Settings{Ratio: 0.2, Window: 10 * time.Second},
		AdmitByDemand: n.byDemand,
	}, 1)
}

// run starts the sharer of a daemon.
func (n *network) run(i int) {
	member := n.members[daemonID(i)]
	clock := system.NewClock()
	self := models.LoadShare{From: daemonID(i), Zone: member.Zone, Address: member.Address}
	sharer := balance.NewSharer(self, n.daemons[member.Address], others{n, daemonID(i)}, n, n.origins[member.Address], n.evidence[member.Address], clock, zap.NewNop())
	n.sharers = append(n.sharers, sharer)
	ctx, cancel := context.WithCancel(n.t.Context())
	n.stop[member.Address] = cancel
	go func() {
		for clock.Sleep(ctx, 25*time.Millisecond) == nil {
			sharer.Step(ctx)
		}
	}()
}

// kill ends a daemon without a message to the others.
func (n *network) kill(i int) {
	n.stop[n.addresses[i]]()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[n.addresses[i]] = true
}

// restart starts a daemon that was killed.
func (n *network) restart(i int) {
	n.create(i)
	n.mu.Lock()
	delete(n.down, n.addresses[i])
	n.mu.Unlock()
	n.run(i)
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

// The messages that a daemon sends and receives within its zone do not grow with the
// zone, but at its leader: 32 daemons that send to all others would exchange 200 a
// second each.
func TestFollowersSendToTheirLeaderOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const zones, perZone, seconds = 2, 32, 10
		n := newNetwork(t, zones*perZone, zones)
		advance(t, 2*time.Second)
		n.set(func() { clear(n.messages) })
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
		for i := zones; i < zones*perZone; i++ { // those before lead their zones
			if messages := n.messages[models.DaemonID(n.addresses[i].String())]; messages > seconds*10 {
				t.Errorf("daemon %d sent %d messages in %d s, at most 10 a second are allowed", i, messages, seconds)
			}
		}
	})
}

// A daemon that does not reach the leader of its zone is heard of by the others all
// the same: the next daemon of the zone passes its load on to the leader.
func TestLoadOfDaemonThatDoesNotReachItsLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 20, 4)
		n.set(func() { n.cut[[2]netip.AddrPort{n.addresses[8], n.addresses[0]}] = true })
		advance(t, 5*time.Second)
		place(t, n.daemon(8), promptExchange("catalogue", 100)).ResponseStarted(nil)
		advance(t, 3*time.Second)
		is.True(n.knowsSharedPart(12, "catalogue", 200)) // of the same zone
		is.True(n.knowsSharedPart(1, "catalogue", 300))  // of another zone
	})
}

// What a load share says once, such as which prompts are cached, reaches the leader of
// the zone also if it takes longer to answer than the time between two shares.
func TestSlowLeaderLearnsAllPrompts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 20, 4)
		advance(t, 2*time.Second)
		n.set(func() { n.delay = 300 * time.Millisecond })
		const prompts = 10
		for i := range prompts {
			p := place(t, n.daemon(8), promptExchange(fmt.Sprintf("p%d", i), 100))
			p.ResponseStarted(nil)
			p.End(relay.ResultServed)
			advance(t, 100*time.Millisecond)
		}
		advance(t, 2*time.Second)
		for i := range prompts {
			is.New(t).True(n.knowsSharedPart(0, fmt.Sprintf("p%d", i), 200)) // the leader of its zone
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
		sharer := balance.NewSharer(self, n.daemon(0), others{n, "vm-000"}, n, n.origins[n.addresses[0]], n.evidence[n.addresses[0]], system.NewClock(), zap.NewNop())
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

// streamOrigin is the origin that a daemon records for a stream of a test.
var streamOrigin = models.Software{Service: "llm", Version: "v1"}

// begin records at a daemon that the stream of a request begins.
func (n *network) begin(i int, id models.RequestID, software models.Software, revision int) {
	n.origins[n.addresses[i]].Record(id, software, revision, false, system.NewClock().Now().Add(10*time.Second))
}

// expectOrigin checks that all daemons but some know the origin of a stream.
func (n *network) expectOrigin(id models.RequestID, software models.Software, except ...int) {
	n.t.Helper()
	for i, address := range n.addresses {
		if got, ok := n.origins[address].Lookup(id); !slices.Contains(except, i) && (!ok || got != software) {
			n.t.Errorf("daemon %d: origin %v, %t", i, got, ok)
		}
	}
}

// Guards against streams whose origin dies with the daemon that began them.
func TestOriginsReachAllDaemons(t *testing.T) {
	for _, size := range []struct {
		daemons, zones int
		within         time.Duration
	}{{7, 4, 100 * time.Millisecond}, {20, 4, 400 * time.Millisecond}, {83, 5, 800 * time.Millisecond}} {
		t.Run(fmt.Sprintf("%d daemons in %d zones", size.daemons, size.zones), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t, size.daemons, size.zones)
				advance(t, 2*time.Second)
				last := size.daemons - 1
				n.begin(last, "r", streamOrigin, 1)
				advance(t, size.within)
				n.kill(last)
				n.expectOrigin("r", streamOrigin, last)
			})
		})
	}
}

func TestLaterOriginReplacesEarlier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 7, 4)
		advance(t, 2*time.Second)
		n.begin(0, "r", streamOrigin, 1)
		advance(t, time.Second)
		other := models.Software{Service: "llm", Version: "v2"}
		n.begin(0, "r", other, 2)
		advance(t, time.Second)
		n.expectOrigin("r", other)
	})
}

// Guards against a daemon that starts again and knows none of the streams that
// began before, some of them at daemons that are gone.
func TestRestartedDaemonLearnsOrigins(t *testing.T) {
	for _, test := range []struct{ daemons, first, restarted int }{{7, 1, 5}, {20, 5, 9}} {
		t.Run(fmt.Sprintf("%d daemons", test.daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t, test.daemons, 4)
				advance(t, 2*time.Second)
				n.begin(test.first, "r", streamOrigin, 1)
				advance(t, 2*time.Second)
				n.kill(test.first)
				n.kill(test.restarted)
				advance(t, time.Second)
				n.restart(test.restarted)
				advance(t, time.Second)
				n.expectOrigin("r", streamOrigin, test.first)
			})
		})
	}
}

// An origin that could not be sent to a daemon is sent when it is reachable
// again.
func TestOriginsArriveAfterCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 7, 4)
		advance(t, 2*time.Second)
		n.mu.Lock()
		n.down[n.addresses[3]] = true
		n.mu.Unlock()
		n.begin(0, "r", streamOrigin, 1)
		advance(t, 2*time.Second)
		n.mu.Lock()
		delete(n.down, n.addresses[3])
		n.mu.Unlock()
		advance(t, time.Second)
		n.expectOrigin("r", streamOrigin)
	})
}

// Guards against a zone that no longer learns of the others once its leader has
// been unreachable and is back.
func TestZoneLeaderFailback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 20, 4)
		advance(t, 2*time.Second)
		n.kill(1) // the leader of zone z1
		advance(t, 5*time.Second)
		n.restart(1)
		advance(t, 5*time.Second)
		place(t, n.daemon(0), promptExchange("catalogue", 100)).ResponseStarted(nil)
		n.begin(0, "r", streamOrigin, 1)
		advance(t, time.Second)
		is.True(n.knowsSharedPart(9, "catalogue", 200)) // of zone z1
		n.expectOrigin("r", streamOrigin)
	})
}
