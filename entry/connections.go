package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"quincewinch/peer"
)

// drainInterval is the time between two looks for idle connections while the
// daemon stops.
const drainInterval = 10 * time.Millisecond

// connections tracks the connections of callers, so that a planned stop answers
// each request that has been read. Shutdown of http.Server does not: it drops
// requests that it has read but not yet passed to the handler.
type connections struct {
	mu   sync.Mutex
	open map[*trackedConn]bool

	draining atomic.Bool
	counts   drainCounts
}

// drainCounts are what a drain did, for its log line.
type drainCounts struct {
	idle       atomic.Int64 // connections closed without an unanswered request
	late       atomic.Int64 // requests read after the drain had begun that got an answer
	discarded  atomic.Int64 // reads whose bytes were discarded
	unanswered atomic.Int64 // connections closed before anything of an answer was written
}

// drainFields returns the counts of a drain for a log line.
func (c *connections) drainFields() []zap.Field {
	return []zap.Field{
		zap.Int64("closed-idle", c.counts.idle.Load()),
		zap.Int64("late-answered", c.counts.late.Load()),
		zap.Int64("discarded", c.counts.discarded.Load()),
		zap.Int64("unanswered", c.counts.unanswered.Load()),
		zap.Int("open", c.count()),
	}
}

// listen returns a listener whose connections are tracked.
func (c *connections) listen(listener net.Listener) net.Listener {
	return &trackedListener{Listener: listener, connections: c}
}

// stateChanged implements http.Server.ConnState for the server that accepts the
// connections. A connection is idle again once an answer has been written.
func (c *connections) stateChanged(conn net.Conn, state http.ConnState) {
	if tracked, ok := conn.(*trackedConn); ok && state == http.StateIdle {
		tracked.setAnswered()
	}
}

// drain closes connections without an unanswered request until none is open. It
// returns the error of ctx if there are others until it ends.
func (c *connections) drain(ctx context.Context, clock peer.Clock) error {
	c.draining.Store(true)
	for c.closeIdle() > 0 {
		if err := clock.Sleep(ctx, drainInterval); err != nil {
			return errors.Annotatef(err, "%d connections with unanswered requests", c.count())
		}
	}
	return nil
}

// closeIdle closes connections without an unanswered request, and returns how
// many others are open. What arrives at those from then on is not read.
func (c *connections) closeIdle() (others int) {
	c.mu.Lock()
	var idle []*trackedConn
	for conn := range c.open {
		if !conn.stopReading() {
			others++
			continue
		}
		idle = append(idle, conn)
	}
	c.mu.Unlock()
	c.counts.idle.Add(int64(len(idle)))
	for _, conn := range idle {
		_ = conn.Close() // the caller may have closed it
	}
	return others
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
	return tracked, nil
}

// trackedConn is a connection that knows whether it has an unanswered request:
// whether bytes of one have been read since the last answer.
type trackedConn struct {
	net.Conn
	connections *connections

	mu         sync.Mutex
	unanswered bool
	nextBegun  bool // a byte of the next request has been read
	stopped    bool // no more bytes are to be read
	idles      int  // how often the server has called it idle
	written    bool // something was written since the request began
	late       bool // the request began after the drain
	gone       bool // the caller has closed it, or it broke
	closed     bool
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone = c.gone || err != nil && !isTimeout(err)
	if n == 0 {
		return n, err
	}
	if c.stopped {
		c.connections.counts.discarded.Add(1)
		return 0, net.ErrClosed
	}
	if !c.unanswered {
		c.unanswered, c.written, c.late = true, false, c.connections.draining.Load()
	}
	// While net/http serves a request, it reads one byte ahead to notice that the
	// caller has gone. It may call the connection idle after that.
	c.nextBegun = c.nextBegun || len(b) == 1
	return n, err
}

// setAnswered records that an answer has been written.
func (c *trackedConn) setAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countAnswer()
	c.unanswered, c.written, c.late = c.nextBegun, false, c.connections.draining.Load()
	c.nextBegun = false
	c.idles++
}

// stopReading makes all later reads fail, unless there is an unanswered request.
func (c *trackedConn) stopReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = c.stopped || !c.unanswered
	return c.stopped
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
	case c.stopped || !c.unanswered || !c.connections.draining.Load():
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
