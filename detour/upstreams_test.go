package detour_test

import (
	"context"
	"net/netip"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"quincewinch/detour"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/system"
)

// otherDaemon is another daemon that makes calls.
type otherDaemon struct {
	*network
	err   error // of each call
	takes time.Duration
	asked int
}

// Send implements peer.Upstreams.
func (o *otherDaemon) Send(ctx context.Context, to models.Upstream, call models.UpstreamCall) (peer.UpstreamResponse, error) {
	o.asked++
	sleep(o.takes)
	if o.err != nil {
		return peer.UpstreamResponse{}, o.err
	}
	return o.network.Send(ctx, to, call)
}

// others are the other daemons. They implement detour.Members.
type others struct {
	peers   map[models.DaemonID]models.Peer
	daemons map[netip.AddrPort]*otherDaemon
}

func newOthers() *others {
	return &others{peers: map[models.DaemonID]models.Peer{}, daemons: map[netip.AddrPort]*otherDaemon{}}
}

func (o *others) add(zone models.Zone, err error) *otherDaemon {
	id := len(o.peers) + 1
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(id / 256), byte(id)}), 7000)
	o.peers[models.DaemonID("daemon-"+strconv.Itoa(id))] = models.Peer{Address: address, Zone: zone}
	o.daemons[address] = &otherDaemon{network: newNetwork(map[models.ServiceName]int{chat: 3}), err: err}
	return o.daemons[address]
}

func (o *others) Live() map[models.DaemonID]models.Peer        { return o.peers }
func (o *others) client(address netip.AddrPort) peer.Upstreams { return o.daemons[address] }

func (o *others) asked() int {
	sum := 0
	for _, daemon := range o.daemons {
		sum += daemon.asked
	}
	return sum
}

// cutOff returns a daemon of zone a that reaches no server of the service.
func cutOff(t *testing.T, others *others) (upstreams *detour.Upstreams, to models.Upstream) {
	n := newNetwork(map[models.ServiceName]int{chat: 3})
	n.set(newFail, chat)
	reach := detour.NewReach(n.dial, n.list, system.Clock{}, zap.NewNop())
	upstreams = detour.New(n, reach, others, "a", others.client, system.Clock{})
	for _, server := range n.list(chat) {
		if _, err := upstreams.Send(t.Context(), server, models.UpstreamCall{}); err == nil {
			t.Fatal("the servers are reached")
		}
	}
	reach.Step(t.Context())
	return upstreams, n.list(chat)[0]
}

var (
	errCutOff  = peer.NewFailure(peer.OutcomeNotDone, "not reached either", nil)
	errLeaving = peer.NewFailure(peer.OutcomeRefused, "the server leaves", nil)
	errLost    = peer.NewFailure(peer.OutcomeUnknown, "connection lost", nil)
)

func TestCallGoesByAnotherDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		others := newOthers()
		others.add("a", errCutOff).takes = 300 * time.Millisecond
		others.add("b", nil)
		upstreams, to := cutOff(t, others)
		for range 10 {
			response, err := upstreams.Send(t.Context(), to, models.UpstreamCall{TimeLeft: time.Second})
			is.NoErr(err)
			is.Equal(response.Via, models.DaemonID("daemon-2"))
			response.Body.Close()
		}
		sent := others.daemons[others.peers["daemon-2"].Address].sent
		is.Equal(len(sent), 10)
		for _, call := range sent {
			is.True(call.TimeLeft == time.Second || call.TimeLeft == 700*time.Millisecond) // less what the first daemon took
		}
		source, _, err := upstreams.Prefill(t.Context(), to, models.UpstreamCall{})
		is.NoErr(err)
		is.NoErr(upstreams.Free(t.Context(), to, source))
	})
}

func TestWholeZoneCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		others := newOthers()
		for range 100 {
			others.add("a", errCutOff)
		}
		for range 3 {
			others.add("b", nil)
		}
		upstreams, to := cutOff(t, others)
		for range 100 {
			_, err := upstreams.Send(t.Context(), to, models.UpstreamCall{TimeLeft: time.Second})
			is.NoErr(err)
		}
		is.True(others.asked() <= 110) // those that have made calls are asked first
	})
}

// Guards against daemons that refuse each other's calls while all of them have connections
// that live on, because servers accept no new ones for some time.
func TestOpenConnectionsAreUsedIfNoDaemonReachesTheService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		others := newOthers()
		others.add("b", errCutOff)
		n := newNetwork(map[models.ServiceName]int{chat: 3})
		n.set(newFail, chat)
		reach := detour.NewReach(n.dial, n.list, system.Clock{}, zap.NewNop())
		upstreams := detour.New(n, reach, others, "a", others.client, system.Clock{})
		for _, server := range n.list(chat) {
			_, err := upstreams.Send(t.Context(), server, models.UpstreamCall{})
			is.True(err != nil)
		}
		reach.Step(t.Context())
		is.True(!reach.Reached(chat))
		n.open = true
		_, err := upstreams.Send(t.Context(), n.list(chat)[0], models.UpstreamCall{})
		is.NoErr(err)
	})
}

func TestOutcomeOfADetour(t *testing.T) {
	for name, test := range map[string]struct {
		others  []error // of each other daemon
		outcome peer.Outcome
		asked   int
	}{
		"none":             {nil, peer.OutcomeNotDone, 0},
		"all cut off":      {[]error{errCutOff, errCutOff}, peer.OutcomeNotDone, 2},
		"server leaves":    {[]error{errLeaving, errLeaving}, peer.OutcomeNotDone, 1},
		"may have run":     {[]error{errLost, errLost}, peer.OutcomeUnknown, 1},
		"many are cut off": {[]error{errCutOff, errCutOff, errCutOff, errCutOff, errCutOff, errCutOff}, peer.OutcomeNotDone, 4},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				others := newOthers()
				for _, err := range test.others {
					others.add("b", err)
				}
				upstreams, to := cutOff(t, others)
				_, err := upstreams.Send(t.Context(), to, models.UpstreamCall{})
				is.Equal(peer.OutcomeOf(err), test.outcome)
				is.Equal(others.asked(), test.asked)
			})
		})
	}
}

// calls are the decisions of a placer, and memory. They implement detour.Placer and
// detour.Memory.
type calls struct {
	accepts  bool
	full     bool
	answered []models.ServerStatement
}

func (c *calls) AcceptsCalls(models.Upstream) bool { return c.accepts }
func (c *calls) Answered(_ models.Upstream, statement models.ServerStatement, _ time.Time) {
	c.answered = append(c.answered, statement)
}
func (c *calls) TakeForwarded(int) (func(), bool) { return func() {}, !c.full }

func TestForwarderAccepts(t *testing.T) {
	for name, test := range map[string]struct {
		calls    calls
		stopping bool
		cut      bool
		outcome  peer.Outcome // empty: accepted
	}{
		"reached":         {calls: calls{accepts: true}},
		"stopping":        {calls: calls{accepts: true}, stopping: true, outcome: peer.OutcomeNotDone},
		"cut off as well": {calls: calls{accepts: true}, cut: true, outcome: peer.OutcomeNotDone},
		"no memory":       {calls: calls{accepts: true, full: true}, outcome: peer.OutcomeNotDone},
		"server leaves":   {calls: calls{}, outcome: peer.OutcomeRefused},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				upstreams, to := cutOff(t, newOthers())
				if !test.cut {
					to.Service = booking
				}
				forwarder := upstreams.NewForwarder(&test.calls, &test.calls, func() bool { return test.stopping })
				_, err := forwarder.Accept(to, 10)
				is.Equal(err == nil, test.outcome == "")
				if err != nil {
					is.Equal(peer.OutcomeOf(err), test.outcome)
				}
			})
		})
	}
}

func TestForwardedCallsAreCallsOfThisDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := &calls{accepts: true}
		upstreams, to := cutOff(t, newOthers())
		forwarder := upstreams.NewForwarder(c, c, func() bool { return false })
		_, err := forwarder.Send(t.Context(), to, models.UpstreamCall{})
		is.True(err != nil) // never by way of a third daemon
		is.Equal(len(c.answered), 0)
	})
}
