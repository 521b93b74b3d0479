package daemon

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// Traffic counts the bytes of messages on the wire.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
}

// Bytes returns the total bytes sent and received.
func (t *Traffic) Bytes() (sent, received int64) {
	return t.sent.Load(), t.received.Load()
}

// HandleRPC implements stats.Handler.
func (t *Traffic) HandleRPC(_ context.Context, event stats.RPCStats) {
	switch e := event.(type) {
	case *stats.InPayload:
		t.received.Add(int64(e.WireLength))
	case *stats.OutPayload:
		t.sent.Add(int64(e.WireLength))
	}
}

// TagRPC implements stats.Handler.
func (t *Traffic) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return ctx
}

// TagConn implements stats.Handler.
func (t *Traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn implements stats.Handler.
func (t *Traffic) HandleConn(context.Context, stats.ConnStats) {}
