package detour

import (
	"context"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

// Placer decides which backend servers may be called from this daemon.
type Placer interface {
	// AcceptsCalls reports whether a server may be called: it is registered here, and
	// neither leaves nor rests.
	AcceptsCalls(server models.Upstream) bool
	// Answered reports what the answer of a server, to a request that was sent to it at a
	// time, says of the server.
	Answered(server models.Upstream, statement models.ServerStatement, sentAt time.Time)
}

// Memory bounds what other daemons can make this one hold.
type Memory interface {
	// TakeForwarded takes memory for a request with a body of a size in bytes. It reports
	// false if there is none; otherwise release returns it.
	TakeForwarded(bodyBytes int) (release func(), ok bool)
}

// Forwarder makes calls for other daemons, always directly, so that no call goes round
// in circles. To backend servers they are calls of this daemon: what the answers say of
// the servers holds for this one too. It implements peer.Upstreams.
type Forwarder struct {
	direct   *direct
	placer   Placer
	memory   Memory
	stopping func() bool
	clock    peer.Clock
}

// NewForwarder returns a forwarder that shares the connections, and what is known of
// them, with the calls of this daemon.
func (u *Upstreams) NewForwarder(placer Placer, memory Memory, stopping func() bool) *Forwarder {
	return &Forwarder{direct: u.direct, placer: placer, memory: memory, stopping: stopping, clock: u.clock}
}

// Accept reports whether a call will be made at a server, with a body of a size in bytes.
// Its error is a *peer.Failure: OutcomeRefused if only this server is not called,
// OutcomeNotDone if no calls are made for others. Otherwise release ends the call.
func (f *Forwarder) Accept(to models.Upstream, bodyBytes int) (release func(), err error) {
	if f.stopping() {
		return nil, peer.NewFailure(peer.OutcomeNotDone, "the daemon stops", nil)
	}
	if !f.direct.reach.Reached(to.Service) {
		return nil, peer.NewFailure(peer.OutcomeNotDone, "the servers of the service are not reached from here either", nil)
	}
	if !f.placer.AcceptsCalls(to) {
		return nil, peer.NewFailure(peer.OutcomeRefused, "the backend server is not called from here: it is not known, or it leaves or rests", nil)
	}
	release, ok := f.memory.TakeForwarded(bodyBytes)
	if !ok {
		return nil, peer.NewFailure(peer.OutcomeNotDone, "no memory is left for the body", nil)
	}
	return release, nil
}

// Send implements peer.Upstreams. Its error is OutcomeRefused if the server was not
// reached.
func (f *Forwarder) Send(ctx context.Context, to models.Upstream, call models.UpstreamCall) (peer.UpstreamResponse, error) {
	sentAt := f.clock.Now()
	response, err := f.direct.Send(ctx, to, call)
	f.answered(to, response, sentAt)
	return response, refused(err)
}

// Prefill implements peer.Upstreams. Its error is OutcomeRefused if the engine was not
// reached.
func (f *Forwarder) Prefill(ctx context.Context, to models.Upstream, call models.UpstreamCall) (models.KVSource, peer.UpstreamResponse, error) {
	sentAt := f.clock.Now()
	source, response, err := f.direct.Prefill(ctx, to, call)
	f.answered(to, response, sentAt)
	return source, response, refused(err)
}

// Free implements peer.Upstreams.
func (f *Forwarder) Free(ctx context.Context, to models.Upstream, source models.KVSource) error {
	return f.direct.Free(ctx, to, source)
}

// refused tells the failure to reach one server from the failure to make any calls.
func refused(err error) error {
	if err == nil || peer.OutcomeOf(err) != peer.OutcomeNotDone {
		return err
	}
	return peer.NewFailure(peer.OutcomeRefused, "not reached from the other daemon", err)
}

// answered passes on what an answer says of its server. Status 0: there was none.
func (f *Forwarder) answered(to models.Upstream, response peer.UpstreamResponse, sentAt time.Time) {
	if response.Status != 0 && !response.WrongInstance {
		f.placer.Answered(to, response.Statement, sentAt)
	}
}
