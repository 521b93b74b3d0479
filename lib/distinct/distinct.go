// Package distinct provides connections that carry each request ID at most once, and one
// request at a time. An answer on such a connection that bears a request's ID belongs to
// that request.
package distinct

import (
	"context"
	"net"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxRequests bounds the requests that one connection carries, and so the IDs kept for it.
const maxRequests = 256

// DialFunc opens connections.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function whose connections are of type *Conn.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(connection), nil
	}
}

// Conn is a connection that knows which requests it has carried.
type Conn struct {
	net.Conn
	turn      chan struct{} // holds a value while no request awaits its answer
	closed    chan struct{}
	closeOnce sync.Once
	requests  int
	carried   []uint64 // hashes of the request IDs
}

func newConn(connection net.Conn) *Conn {
	c := &Conn{Conn: connection, turn: make(chan struct{}, 1), closed: make(chan struct{})}
	c.turn <- struct{}{}
	return c
}

// Begin reports whether the connection may carry a request. It waits until the answer to
// the request before has been recognized. If it returns false, the connection is closed,
// and nothing of the request can be written to it. A call without an ID passes an empty
// one. After it has returned true, Answered or Close must follow.
func (c *Conn) Begin(ctx context.Context, id string) bool {
	if !c.takeTurn(ctx) || !c.record(id) {
		_ = c.Close()
		return false
	}
	return true
}

// Answered ends the request whose answer has been recognized.
func (c *Conn) Answered() {
	c.turn <- struct{}{}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *Conn) takeTurn(ctx context.Context) bool {
	select {
	case <-c.turn:
		return true
	case <-c.closed:
	case <-ctx.Done():
	}
	return false
}

// record adds a request. It returns false if the connection has carried its ID, or as
// many requests as it may.
func (c *Conn) record(id string) bool {
	if c.requests == maxRequests {
		return false
	}
	c.requests++
	if id == "" {
		return true
	}
	hash := xxhash.Sum64String(id)
	if slices.Contains(c.carried, hash) {
		return false
	}
	c.carried = append(c.carried, hash)
	return true
}
