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

// drainHandshakeTimeout bounds the handshakes that are in progress when a drain
// begins.
const drainHandshakeTimeout = time.Second

// TLSServer is a Server of a TLS listener that offers HTTP/2. It completes the
// handshake of a connection before it hands it to a server for the protocol.
// Connections with HTTP/1.1 are drained like those of Server, and those with HTTP/2
// by Shutdown of http.Server, which ends them after the requests that it has read. A
// request is read once the first TLS record with a part of it is.
type TLSServer struct {
	listener net.Listener
	clock    peer.Clock
	queue1   *queue
	queue2   *queue
	server1  *Server      // for HTTP/1.1
	server2  *http.Server // for HTTP/2, and for answers to failed handshakes
	draining atomic.Bool
	ended    chan struct{} // closed once no more connections are handed over

	mu          sync.Mutex
	handshaking map[net.Conn]bool
	handshakes  sync.WaitGroup
}

// NewTLSServer returns a server of a listener of tls.NewListener. The function
// newServer returns a new http.Server, with the same settings each time, whose
// ReadHeaderTimeout also bounds the handshake.
func NewTLSServer(newServer func() *http.Server, listener net.Listener, clock peer.Clock) *TLSServer {
	s := &TLSServer{
		listener:    listener,
		clock:       clock,
		queue1:      newQueue(listener),
		queue2:      newQueue(listener),
		server2:     newServer(),
		ended:       make(chan struct{}),
		handshaking: map[net.Conn]bool{},
	}
	s.server1 = NewServer(newServer(), s.queue1, clock)
	return s
}

// Serve accepts connections until the server is drained, or until accepting fails.
// It is called once, and returns http.ErrServerClosed after a drain has begun.
func (s *TLSServer) Serve() error {
	go s.accept()
	go func() { _ = s.server1.Serve() }() // ends with the queue
	return s.server2.Serve(s.queue2)
}

// Drain stops accepting connections and returns once all requests that have been
// read are answered, or with the error of ctx.
func (s *TLSServer) Drain(ctx context.Context) error {
	s.draining.Store(true)
	if err := s.listener.Close(); err != nil {
		return errors.Annotate(err, "cannot stop listening")
	}
	s.hastenHandshakes()
	select {
	case <-s.ended:
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "still accepting connections")
	}
	stopped := make(chan error, 1)
	go func() { stopped <- errors.Annotate(s.server2.Shutdown(ctx), "HTTP/2") }()
	err := s.server1.Drain(ctx)
	if shutdownErr := <-stopped; err == nil {
		err = shutdownErr
	}
	return err
}

// accept accepts connections until the listener is closed, and closes the channel
// ended after the last handshake. Other errors go to the HTTP/2 server, which waits
// before it accepts again or stops.
func (s *TLSServer) accept() {
	defer close(s.ended)
	defer s.handshakes.Wait()
	for {
		conn, err := s.listener.Accept()
		switch {
		case err == nil:
			s.handshakes.Go(func() { s.handOver(conn) })
		case s.draining.Load():
			return
		case !s.queue2.put(nil, err):
			_ = s.listener.Close() // reported to the HTTP/2 server already
			return
		}
	}
}

// handOver completes the handshake of a connection and hands it to the server for
// its protocol. The HTTP/2 server meets the error of a failed handshake again, logs
// it and answers.
func (s *TLSServer) handOver(conn net.Conn) {
	to := s.queue2
	if tlsConn, ok := conn.(*tls.Conn); ok && s.handshake(tlsConn) && tlsConn.ConnectionState().NegotiatedProtocol != "h2" {
		to = s.queue1
	}
	if !to.put(conn, nil) {
		conn.Close() // nothing of a request has been read
	}
}

// handshake reports whether the handshake of a connection succeeds.
func (s *TLSServer) handshake(conn *tls.Conn) bool {
	s.beginHandshake(conn)
	err := conn.Handshake()
	s.endHandshake(conn)
	return err == nil
}

func (s *TLSServer) beginHandshake(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handshaking[conn] = true
	timeout := s.server2.ReadHeaderTimeout
	if s.draining.Load() {
		timeout = drainHandshakeTimeout
	}
	s.setTimeout(conn, timeout)
}

func (s *TLSServer) endHandshake(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.handshaking, conn)
	s.setTimeout(conn, 0)
}

// hastenHandshakes shortens the timeout of the handshakes in progress.
func (s *TLSServer) hastenHandshakes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.handshaking {
		s.setTimeout(conn, drainHandshakeTimeout)
	}
}

// setTimeout sets the deadline of a connection, none if the timeout is 0.
func (s *TLSServer) setTimeout(conn net.Conn, timeout time.Duration) {
	var deadline time.Time
	if timeout > 0 {
		deadline = s.clock.Now().Add(timeout)
	}
	_ = conn.SetDeadline(deadline) // reads and writes fail, too, if it is closed
}

// queue is a listener of connections that another listener has accepted.
type queue struct {
	net.Listener
	accepted  chan accepted
	closed    chan struct{}
	closeOnce sync.Once
}

// accepted is the result of accepting a connection.
type accepted struct {
	conn net.Conn
	err  error
}

func newQueue(listener net.Listener) *queue {
	return &queue{Listener: listener, accepted: make(chan accepted), closed: make(chan struct{})}
}

// put waits until a result is accepted, and reports whether it was before the queue
// was closed.
func (q *queue) put(conn net.Conn, err error) bool {
	select {
	case q.accepted <- accepted{conn, err}:
		return true
	case <-q.closed:
		return false
	}
}

// Accept implements net.Listener.
func (q *queue) Accept() (net.Conn, error) {
	select {
	case a := <-q.accepted:
		return a.conn, a.err
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. The other listener stays open.
func (q *queue) Close() error {
	q.closeOnce.Do(func() { close(q.closed) })
	return nil
}

// trackedTLSConn is a tracked connection above TLS. The server finds its state for
// Request.TLS.
type trackedTLSConn struct {
	*trackedConn
	state tls.ConnectionState
}

// ConnectionState returns the state after the handshake.
func (c *trackedTLSConn) ConnectionState() tls.ConnectionState {
	return c.state
}
