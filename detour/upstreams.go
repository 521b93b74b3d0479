package detour

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

// maxAsking is how long other daemons are asked for one call before it is tried directly.
const maxAsking = 500 * time.Millisecond

// Upstreams makes the calls of this daemon: directly, or by way of another daemon while
// the servers of the service are not reached. The other daemon only makes the call; what
// is decided about the request stays here. It implements peer.Upstreams.
type Upstreams struct {
	direct  *direct
	reach   *Reach
	daemons *daemons
	by      func(address netip.AddrPort) peer.Upstreams // client of the daemon at an address
	clock   peer.Clock
	made    atomic.Int64 // calls by way of other daemons
	none    atomic.Int64 // calls that no other daemon could make
}

// New returns the client of a daemon in a zone. The function by returns a client that
// makes calls by way of the daemon at an address.
func New(upstreams peer.Upstreams, reach *Reach, members Members, zone models.Zone, by func(address netip.AddrPort) peer.Upstreams, clock peer.Clock) *Upstreams {
	return &Upstreams{
		direct:  &direct{upstreams: upstreams, reach: reach},
		reach:   reach,
		daemons: newDaemons(members, zone, clock),
		by:      by,
		clock:   clock,
	}
}

// Made returns how many calls were made by way of other daemons, and how many could not
// be made by any.
func (u *Upstreams) Made() (made, none int64) {
	return u.made.Load(), u.none.Load()
}

// Send implements peer.Upstreams.
func (u *Upstreams) Send(ctx context.Context, to models.Upstream, call models.UpstreamCall) (peer.UpstreamResponse, error) {
	if u.reach.Reached(to.Service) {
		return u.direct.Send(ctx, to, call)
	}
	var response peer.UpstreamResponse
	made, err := u.detour(ctx, &call, func(through peer.Upstreams, via models.DaemonID, call models.UpstreamCall) (err error) {
		response, err = through.Send(ctx, to, call)
		response.Via = via
		return err
	})
	if !made {
		return u.direct.Send(ctx, to, call)
	}
	return response, err
}

// Prefill implements peer.Upstreams.
func (u *Upstreams) Prefill(ctx context.Context, to models.Upstream, call models.UpstreamCall) (models.KVSource, peer.UpstreamResponse, error) {
	if u.reach.Reached(to.Service) {
		return u.direct.Prefill(ctx, to, call)
	}
	var source models.KVSource
	var response peer.UpstreamResponse
	made, err := u.detour(ctx, &call, func(through peer.Upstreams, via models.DaemonID, call models.UpstreamCall) (err error) {
		source, response, err = through.Prefill(ctx, to, call)
		response.Via = via
		return err
	})
	if !made {
		return u.direct.Prefill(ctx, to, call)
	}
	return source, response, err
}

// Free implements peer.Upstreams.
func (u *Upstreams) Free(ctx context.Context, to models.Upstream, source models.KVSource) error {
	if u.reach.Reached(to.Service) {
		return u.direct.Free(ctx, to, source)
	}
	made, err := u.detour(ctx, &models.UpstreamCall{}, func(through peer.Upstreams, _ models.DaemonID, _ models.UpstreamCall) error {
		return through.Free(ctx, to, source)
	})
	if !made {
		return u.direct.Free(ctx, to, source)
	}
	return err
}

// detour makes a call by way of the first daemon that can. It reports false if there is
// none; then the call is tried directly, as connections that were open before may live on.
// The time that this takes is taken from that of the call. The error leaves open whether the
// call was made only if a daemon may have made it.
func (u *Upstreams) detour(ctx context.Context, call *models.UpstreamCall, do func(through peer.Upstreams, via models.DaemonID, call models.UpstreamCall) error) (made bool, err error) {
	begun := u.clock.Now()
	timeLeft := call.TimeLeft
	for _, c := range u.daemons.choose() {
		if u.clock.Now().Sub(begun) > maxAsking {
			break
		}
		err := do(u.by(c.Address), c.id, *call)
		call.TimeLeft = timeLeft - u.clock.Now().Sub(begun)
		if err == nil {
			u.made.Add(1)
			u.daemons.proved(c.id)
			return true, nil
		}
		if ctx.Err() != nil {
			return true, err
		}
		switch peer.OutcomeOf(err) {
		case peer.OutcomeRefused: // it can call other servers
			u.daemons.proved(c.id)
			return true, peer.NewFailure(peer.OutcomeNotDone, "the backend server is not called by way of another daemon", err)
		case peer.OutcomeNotDone:
			u.daemons.failed(c.id)
		default:
			u.daemons.failed(c.id)
			return true, err
		}
	}
	u.none.Add(1)
	return false, nil
}
