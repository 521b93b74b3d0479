package detour

import (
	"context"
	"io"
	"sync"

	"quincewinch/models"
	"quincewinch/peer"
)

// direct makes calls without another daemon and tells a Reach of what it sees. It
// implements peer.Upstreams.
type direct struct {
	upstreams peer.Upstreams
	reach     *Reach
}

// Send implements peer.Upstreams.
func (d *direct) Send(ctx context.Context, to models.Upstream, call models.UpstreamCall) (peer.UpstreamResponse, error) {
	d.reach.begin(to)
	response, err := d.upstreams.Send(ctx, to, call)
	if err != nil {
		d.ended(ctx, to, err)
		return response, err
	}
	d.reach.heard(to)
	response.Body = &observedBody{ReadCloser: response.Body, reach: d.reach, server: to}
	return response, nil
}

// Prefill implements peer.Upstreams.
func (d *direct) Prefill(ctx context.Context, to models.Upstream, call models.UpstreamCall) (models.KVSource, peer.UpstreamResponse, error) {
	d.reach.begin(to)
	source, response, err := d.upstreams.Prefill(ctx, to, call)
	d.ended(ctx, to, err)
	return source, response, err
}

// Free implements peer.Upstreams.
func (d *direct) Free(ctx context.Context, to models.Upstream, source models.KVSource) error {
	return d.upstreams.Free(ctx, to, source)
}

// ended records the end of a call without a body that is still to be read. What ends
// because its caller has gone, or its time is over, says nothing of the server, and what
// breaks off may have been broken off by it.
func (d *direct) ended(ctx context.Context, to models.Upstream, err error) {
	switch {
	case err == nil:
		d.reach.heard(to)
	case ctx.Err() == nil && peer.OutcomeOf(err) == peer.OutcomeNotDone:
		d.reach.failed(to)
	}
	d.reach.end(to)
}

// observedBody is the body of an answer whose parts show that the server is reached.
type observedBody struct {
	io.ReadCloser
	reach  *Reach
	server models.Upstream
	closed sync.Once
}

// Read implements io.Reader.
func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.reach.heard(b.server)
	}
	return n, err
}

// Close implements io.Closer.
func (b *observedBody) Close() error {
	b.closed.Do(func() { b.reach.end(b.server) })
	return b.ReadCloser.Close()
}
