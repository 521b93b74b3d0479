package drain

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"quincewinch/peer"
)

// drainInterval is the time between two looks for open connections during a drain.
const drainInterval = 10 * time.Millisecond

// longAgo is a deadline that interrupts a read.
var longAgo = time.Unix(1, 0)

// connections tracks the connections of a server, so that a drain answers each
// request that has been read.
type connections struct {
	mu     sync.Mutex
	open   map[*trackedConn]bool
	counts atomicCounts
}

// atomicCounts are the fields of Counts.
type atomicCounts struct {
	idle, late, unanswered atomic.Int64
}

// Counts are what a drain did.
type Counts struct {
	Idle       int64 // connections closed without an unanswered request
	Late       int64 // requests read after the drain had begun that got an answer
	Unanswered int64 // connections closed before anything of an answer was written
	Open       int   // connections that are still open
}

// drainCounts returns what a drain has done.
func (c *connections) drainCounts() Counts {
	return Counts{
		Idle:       c.counts.idle.Load(),
		Late:       c.counts.late.Load(),
		Unanswered: c.counts.unanswered.Load(),
		Open:       c.count(),
	}
}

// listen returns a listener whose connections are tracked.
func (c *connections) listen(listener net.Listener) net.Listener {
	return &trackedListener{Listener: listener, connections: c}
}

// stateChanged implements http.Server.ConnState for the server that accepts the
// connections. A connection is idle again once an answer has been written.
func (c *connections) stateChanged(conn net.Conn, state http.ConnState) {
	if tracked, ok := conn.(interface{ setAnswered() }); ok && state == http.StateIdle {
		tracked.setAnswered()
	}
}

// drain closes connections without an unanswered request until none is open. It
// returns the error of ctx if there are others until it ends. No connection may be
// accepted once it has begun.
func (c *connections) drain(ctx context.Context, clock peer.Clock) error {
	c.stopIdle()
	for c.count() > 0 {
		if err := clock.Sleep(ctx, drainInterval); err != nil {
			return errors.Annotatef(err, "%d connections with unanswered requests", c.count())
		}
	}
	return nil
}

// stopIdle makes the server close each connection as soon as it has no unanswered
// request, and returns how many have one now.
func (c *connections) stopIdle() (unanswered int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		if conn.stopIdle() {
			unanswered++
		}
	}
	return unanswered
}

func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

func (c *connections) add(conn *trackedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = map[*trackedConn]bool{}
	}
	c.open[conn] = true
}

func (c *connections) remove(conn *trackedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

// trackedListener accepts tracked connections.
type trackedListener struct {
	net.Listener
	connections *connections
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err // net/http looks at its type
	}
	tracked := &trackedConn{Conn: conn, connections: l.connections}
	l.connections.add(tracked)
	if tlsConn, ok := conn.(*tls.Conn); ok {
		return &trackedTLSConn{trackedConn: tracked, state: tlsConn.ConnectionState()}, nil
	}
	return tracked, nil
}

// trackedConn is a connection that knows whether it has an unanswered request:
// whether bytes of one have been read since the last answer. Bytes that have been
// read are never dropped: a read either begins a request or fails without any.
type trackedConn struct {
	net.Conn
	connections *connections

	mu          sync.Mutex
	reading     bool
	deadline    time.Time // of reads, as the server set it last
	deadlines   int       // how often the server has set it since the last read or answer
	draining    bool      // reads fail unless there is an unanswered request
	interrupted bool      // the read in progress has the deadline longAgo
	unanswered  bool
	nextBegun   bool // a byte of the next request has been read
	idles       int  // how often the server has called it idle
	written     bool // something was written since the request began
	late        bool // the request began after the drain
	gone        bool // the caller has closed it, or it broke
	closed      bool
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	ahead := c.beginRead(len(b))
	n, err := c.Conn.Read(b)
	return c.endRead(n, err, ahead)
}

// beginRead reports whether the server reads ahead.
func (c *trackedConn) beginRead(size int) (ahead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// While net/http serves a request, it sets a deadline and reads one byte ahead
	// to notice that the caller has gone.
	ahead = size == 1 && c.deadlines > 0
	// For an idle connection, it sets a deadline, reads unless it got four bytes of
	// the next request with the last one, and sets another deadline.
	if c.deadlines > 1 {
		c.begin()
	}
	c.deadlines = 0
	c.reading = true
	c.interruptIdle()
	return ahead
}

// endRead returns the result of a read.
func (c *trackedConn) endRead(n int, err error, ahead bool) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	interrupted := c.interrupted
	c.reading, c.interrupted = false, false
	c.gone = c.gone || err != nil && !isTimeout(err)
	switch {
	case n > 0:
		c.begin()
		// The server may call the connection idle after it has read ahead.
		c.nextBegun = c.nextBegun || ahead
		if !interrupted {
			return n, err
		}
		_ = c.Conn.SetReadDeadline(c.deadline) // the next read fails if it is closed
		if isTimeout(err) {
			err = nil
		}
	case interrupted && isTimeout(err):
		c.connections.counts.idle.Add(1)
		err = c.closedError()
	}
	return n, err
}

// closedError is the error of a read that the drain ended without a byte. The server
// does not answer to an error of this type.
func (c *trackedConn) closedError() error {
	return &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
}

// SetReadDeadline implements net.Conn.
func (c *trackedConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	c.deadlines++
	if c.interrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *trackedConn) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// begin records that there is an unanswered request. The caller holds mu.
func (c *trackedConn) begin() {
	if !c.unanswered {
		c.unanswered, c.written, c.late = true, false, c.draining
	}
}

// setAnswered records that an answer has been written.
func (c *trackedConn) setAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countAnswer()
	c.unanswered = false
	if c.nextBegun {
		c.begin()
	}
	c.nextBegun = false
	c.deadlines = 0
	c.idles++
}

// stopIdle makes reads fail whenever there is no unanswered request, and reports
// whether there is one. A read in progress ends at once, with what it has got. One
// that belongs to a request is not interrupted: net/http would cancel the request.
func (c *trackedConn) stopIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.interruptIdle()
	return c.unanswered
}

// interruptIdle interrupts a read during a drain if there is no unanswered request.
// A read that is about to begin still gets what TLS has read. The caller holds mu.
func (c *trackedConn) interruptIdle() {
	if c.draining && c.reading && !c.unanswered && !c.interrupted {
		c.interrupted = true
		_ = c.Conn.SetReadDeadline(longAgo) // the read fails if it is closed
	}
}

// hasUnanswered reports whether there is an unanswered request.
func (c *trackedConn) hasUnanswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered
}

// idleCount returns how often the server has called the connection idle.
func (c *trackedConn) idleCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idles
}

// NetConn returns the connection that is tracked.
func (c *trackedConn) NetConn() net.Conn {
	return c.Conn
}

// CloseWrite closes the sending side, as net/http does before it closes a
// connection whose caller may still be sending.
func (c *trackedConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Write implements net.Conn.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.written = true
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.countAnswer()
	}
	c.closed = true
	c.mu.Unlock()
	c.connections.remove(c)
	return c.Conn.Close()
}

// countAnswer counts the request that ends, if there is one, as answered or not.
func (c *trackedConn) countAnswer() {
	switch {
	case !c.unanswered || !c.draining:
	case !c.written && !c.gone:
		c.connections.counts.unanswered.Add(1)
	case c.written && c.late:
		c.connections.counts.late.Add(1)
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
