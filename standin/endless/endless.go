// Package endless is a stand-in for a server whose answers have no end.
package endless

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// blockBytes is roughly the size of one write.
const blockBytes = 16 << 10

// Handler answers with some bytes, and then repeats others until the caller
// closes the connection.
type Handler struct {
	first, repeated string
	closed          chan struct{}
}

// NewHandler returns a handler that answers with the raw bytes first, then
// with repeated without end.
func NewHandler(first, repeated string) *Handler {
	return &Handler{first: first, repeated: repeated, closed: make(chan struct{})}
}

// Closed receives a value for each connection that its caller has closed.
func (h *Handler) Closed() <-chan struct{} {
	return h.closed
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer connection.Close()
	block := bytes.Repeat([]byte(h.repeated), blockBytes/len(h.repeated)+1)
	_, err = connection.Write([]byte(h.first))
	for err == nil {
		_, err = connection.Write(block)
	}
	h.closed <- struct{}{}
}

// Count counts the bytes that a transport reads from its connections.
func Count(transport *http.Transport) *atomic.Int64 {
	read := &atomic.Int64{}
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: connection, read: read}, nil
	}
	return read
}

// countedConn counts the bytes read from a connection.
type countedConn struct {
	net.Conn
	read *atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}
