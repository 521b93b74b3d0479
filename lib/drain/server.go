// Package drain stops HTTP servers without dropping requests that they have read.
package drain

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/juju/errors"

	"quincewinch/peer"
)

// Server is an http.Server that answers each request that it has read before it
// stops. Shutdown of http.Server drops requests that it has read but not yet passed
// to the handler.
type Server struct {
	server      *http.Server
	listener    net.Listener
	clock       peer.Clock
	connections connections
	draining    atomic.Bool
	abort       context.CancelCauseFunc // ends the contexts of requests
	ended       chan struct{}           // closed once no more connections are accepted
}

// NewServer returns a server of a listener. It sets the ConnState and the BaseContext of
// the http.Server and wraps its Handler; the http.Server must be of no other use.
func NewServer(server *http.Server, listener net.Listener, clock peer.Clock) *Server {
	s := &Server{server: server, clock: clock, ended: make(chan struct{})}
	s.listener = s.connections.listen(listener)
	base, abort := context.WithCancelCause(context.Background())
	s.abort = abort
	server.BaseContext = func(net.Listener) context.Context { return base }
	server.ConnState = s.connections.stateChanged
	server.Handler = s.handler(server.Handler)
	return s
}

// handler returns a handler whose answers during a drain ask callers to close their
// connections, as those of http.Server do during its Shutdown.
func (s *Server) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Serve accepts connections until the server is drained, or until accepting fails.
// It is called once, and returns http.ErrServerClosed after a drain has begun.
func (s *Server) Serve() error {
	defer close(s.ended)
	err := s.server.Serve(s.listener)
	if s.draining.Load() && errors.Is(err, net.ErrClosed) {
		return http.ErrServerClosed
	}
	return err
}

// Drain stops accepting connections and returns once all requests that have been
// read are answered, or with the error of ctx.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	if err := s.listener.Close(); err != nil {
		return errors.Annotate(err, "cannot stop listening")
	}
	// A connection that has been accepted but is not tracked yet would be closed
	// with the server, whatever has been read from it.
	select {
	case <-s.ended:
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "still accepting connections")
	}
	if err := s.connections.drain(ctx, s.clock); err != nil {
		return err
	}
	return errors.Annotate(s.server.Close(), "cannot close the server")
}

// Abort ends the contexts of the requests that a drain has left unanswered, with a cause,
// and returns once they are answered, or with the error of ctx.
func (s *Server) Abort(ctx context.Context, cause error) error {
	s.abort(cause)
	return s.connections.drain(ctx, s.clock)
}

// Counts returns what the drain has done so far.
func (s *Server) Counts() Counts {
	return s.connections.drainCounts()
}
