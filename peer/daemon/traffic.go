package daemon

import (
	"sync/atomic"

	"google.golang.org/protobuf/proto"
)

// Traffic counts the encoded messages to and from other daemons, in bytes
// without the transport's own.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
}

// Sent returns the bytes sent so far.
func (t *Traffic) Sent() int64 {
	return t.sent.Load()
}

// Received returns the bytes received so far.
func (t *Traffic) Received() int64 {
	return t.received.Load()
}

func (t *Traffic) count(sent, received proto.Message) {
	t.sent.Add(int64(proto.Size(sent)))
	t.received.Add(int64(proto.Size(received)))
}
