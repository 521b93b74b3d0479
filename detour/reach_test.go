package detour_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"quincewinch/detour"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/system"
)

const (
	chat    = models.ServiceName("chat")
	booking = models.ServiceName("booking")
	// contactTime is how soon a daemon must serve again after it was cut off.
	contactTime = 3 * time.Second
)

// cutMode is how the paths to backend servers are cut off.
type cutMode int

const (
	whole     cutMode = iota
	hangs             // nothing arrives in either direction
	resets            // connections are reset, new ones refused
	newFail           // connections live on, new ones are refused
	newHang           // connections live on, new ones get no answer
	callsOnly         // calls get no answer, new connections are accepted
)

// network is the network between daemons and backend servers. It implements
// peer.Upstreams for the daemon in front.
type network struct {
	mu      sync.Mutex
	servers map[models.ServiceName][]models.Upstream
	cut     map[netip.AddrPort]cutMode
	lost    map[netip.AddrPort]bool // servers whose open connections have been reset
	dials   int
	open    bool // connections that live on are used
	sent    []models.UpstreamCall
}

func newNetwork(services map[models.ServiceName]int) *network {
	n := &network{servers: map[models.ServiceName][]models.Upstream{}, cut: map[netip.AddrPort]cutMode{}, lost: map[netip.AddrPort]bool{}}
	for service, count := range services {
		for i := range count {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(len(service)), 0, byte(i + 1)}), 8000)
			n.servers[service] = append(n.servers[service], models.Upstream{ID: models.EngineID(address.String()), Service: service, Address: address})
		}
	}
	return n
}

// set cuts off servers of a service, all if none are given.
func (n *network) set(mode cutMode, service models.ServiceName, indices ...int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, server := range n.servers[service] {
		chosen := len(indices) == 0
		for _, index := range indices {
			chosen = chosen || index == i
		}
		if chosen {
			n.cut[server.Address] = mode
		}
	}
}

func (n *network) mode(address netip.AddrPort) cutMode {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[address]
}

// loses reports whether a call is the first since connections to a server were reset.
func (n *network) loses(address netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	first := !n.lost[address]
	n.lost[address] = true
	return first
}

func (n *network) list(service models.ServiceName) []models.Upstream { return n.servers[service] }

// dial implements detour.DialFunc.
func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	n.dials++
	n.mu.Unlock()
	switch n.mode(netip.MustParseAddrPort(address)) {
	case hangs, newHang:
		sleep(250 * time.Millisecond)
		return nil, errors.New("timeout")
	case resets, newFail:
		return nil, errors.New("refused")
	}
	client, _ := net.Pipe()
	return client, nil
}

// Send implements peer.Upstreams, over connections that exist already.
func (n *network) Send(ctx context.Context, to models.Upstream, call models.UpstreamCall) (peer.UpstreamResponse, error) {
	switch n.mode(to.Address) {
	case hangs, callsOnly:
		<-ctx.Done()
		return peer.UpstreamResponse{}, peer.NewFailure(peer.OutcomeUnknown, "no answer", ctx.Err())
	case resets:
		if n.loses(to.Address) {
			return peer.UpstreamResponse{}, peer.NewFailure(peer.OutcomeUnknown, "reset", nil)
		}
		return peer.UpstreamResponse{}, peer.NewFailure(peer.OutcomeNotDone, "refused", nil)
	case newFail, newHang:
		if n.open {
			break
		}
		return peer.UpstreamResponse{}, peer.NewFailure(peer.OutcomeNotDone, "not connected", nil)
	}
	n.mu.Lock()
	n.sent = append(n.sent, call)
	n.mu.Unlock()
	return peer.UpstreamResponse{Status: 200, Body: io.NopCloser(strings.NewReader("answer"))}, nil
}

// Prefill implements peer.Upstreams.
func (n *network) Prefill(ctx context.Context, to models.Upstream, call models.UpstreamCall) (models.KVSource, peer.UpstreamResponse, error) {
	response, err := n.Send(ctx, to, call)
	return models.KVSource{Engine: to.Address, Handle: "h"}, response, err
}

// Free implements peer.Upstreams.
func (n *network) Free(ctx context.Context, to models.Upstream, _ models.KVSource) error {
	_, err := n.Send(ctx, to, models.UpstreamCall{})
	return err
}

// world is a daemon with callers of each service.
type world struct {
	t       *testing.T
	network *network
	reach   *detour.Reach
	direct  *detour.Upstreams
	cancel  context.CancelFunc
	ctx     context.Context
}

// newWorld returns a daemon that sends each service a request every 100 ms, in turn to its
// servers.
func newWorld(t *testing.T, services map[models.ServiceName]int) *world {
	n := newNetwork(services)
	reach := detour.NewReach(n.dial, n.list, system.Clock{}, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	w := &world{t: t, network: n, reach: reach, cancel: cancel, ctx: ctx}
	w.direct = detour.New(n, reach, noMembers{}, "a", func(netip.AddrPort) peer.Upstreams { return nil }, system.Clock{})
	go func() {
		for ctx.Err() == nil {
			reach.Step(ctx)
			sleep(detour.CheckInterval)
		}
	}()
	for service := range services {
		go w.send(service)
	}
	return w
}

func (w *world) send(service models.ServiceName) {
	servers := w.network.list(service)
	for i := 0; w.ctx.Err() == nil; i++ {
		go func() {
			ctx, cancel := context.WithTimeout(w.ctx, 2*time.Second)
			defer cancel()
			response, err := w.direct.Send(ctx, servers[i%len(servers)], models.UpstreamCall{})
			if err == nil {
				response.Body.Close()
			}
		}()
		sleep(100 * time.Millisecond)
	}
}

type noMembers struct{}

func (noMembers) Live() map[models.DaemonID]models.Peer { return nil }

// expectReached waits and checks which services are reached.
func (w *world) expectReached(after time.Duration, service models.ServiceName, reached bool) {
	w.t.Helper()
	sleep(after)
	is.New(w.t).Equal(w.reach.Reached(service), reached)
}

func inWorld(t *testing.T, services map[models.ServiceName]int, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, services)
		w.expectReached(time.Second, chat, true)
		test(w)
		w.cancel()
		sleep(contactTime) // until all goroutines have seen that
	})
}

func TestServiceIsNotReached(t *testing.T) {
	for name, mode := range map[string]cutMode{"hang": hangs, "reset": resets, "new connections refused": newFail, "new connections hang": newHang} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, map[models.ServiceName]int{chat: 5, booking: 3}, func(w *world) {
				w.network.set(mode, chat)
				w.expectReached(contactTime/2, chat, false)
				w.expectReached(0, booking, true)
				w.expectReached(20*time.Second, chat, false)
				w.network.set(whole, chat)
				w.expectReached(time.Second, chat, true)
			})
		})
	}
	t.Run("only server", func(t *testing.T) {
		inWorld(t, map[models.ServiceName]int{chat: 1}, func(w *world) {
			w.network.set(hangs, chat)
			w.expectReached(contactTime/2, chat, false)
		})
	})
}

func TestServersInTroubleAreNotTakenForAPartition(t *testing.T) {
	for name, trouble := range map[string]func(w *world){
		"one silent":             func(w *world) { w.network.set(hangs, chat, 0) },
		"all but one crashed":    func(w *world) { w.network.set(resets, chat, 0, 1, 2, 3) },
		"all but one dark":       func(w *world) { w.network.set(hangs, chat, 0, 1, 2, 3) },
		"all busy for some time": func(w *world) { w.network.set(callsOnly, chat) },
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, map[models.ServiceName]int{chat: 5}, func(w *world) {
				trouble(w)
				for range 50 {
					w.expectReached(100*time.Millisecond, chat, true)
				}
			})
		})
	}
}

func TestChecksOfABusyServiceAreFew(t *testing.T) {
	inWorld(t, map[models.ServiceName]int{chat: 5}, func(w *world) {
		w.network.set(callsOnly, chat)
		sleep(20 * time.Second)
		is.New(t).True(w.network.dials <= 20)
	})
}

func sleep(d time.Duration) {
	_ = system.Clock{}.Sleep(context.Background(), d)
}
