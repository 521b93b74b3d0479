package drain

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/peer/system"
)

const (
	request       = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	headerTimeout = time.Second
)

// memoryListener accepts connections in memory. A write to one returns once the
// other side has read all of it.
type memoryListener struct {
	dialed    chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func newMemoryListener() *memoryListener {
	return &memoryListener{dialed: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.dialed:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial returns the caller's side of a connection that will be accepted, or nil
// if the listener is closed. The server sees the other side through wrap.
func (l *memoryListener) dial(wrap func(net.Conn) net.Conn) net.Conn {
	caller, server := net.Pipe()
	if wrap != nil {
		server = wrap(server)
	}
	select {
	case l.dialed <- server:
		return caller
	case <-l.closed:
		return nil
	}
}

// hookConn is a connection with functions that are called at certain steps.
type hookConn struct {
	net.Conn
	beforeRead  func()      // may be nil
	afterRead   func(n int) // may be nil
	beforeClose func()      // may be nil
}

// Read implements net.Conn.
func (c *hookConn) Read(b []byte) (int, error) {
	if c.beforeRead != nil {
		c.beforeRead()
	}
	n, err := c.Conn.Read(b)
	if c.afterRead != nil {
		c.afterRead(n)
	}
	return n, err
}

// Close implements net.Conn.
func (c *hookConn) Close() error {
	if c.beforeClose != nil {
		c.beforeClose()
	}
	return c.Conn.Close()
}

// hookListener calls a function when it has accepted a connection.
type hookListener struct {
	net.Listener
	accepted func()
}

// Accept implements net.Listener.
func (l hookListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted()
	}
	return conn, err
}

// stopFixture is a server that a test stops.
type stopFixture struct {
	*Server
	listener *memoryListener
	stopping atomic.Bool
	drain    func(context.Context) error
}

// newStopFixture serves connections with a handler, answer if it is nil. The
// listener that the server gets is the result of wrap.
func newStopFixture(_ *testing.T, handler http.Handler, wrap func(net.Listener) net.Listener) *stopFixture {
	f := &stopFixture{listener: newMemoryListener()}
	if handler == nil {
		handler = http.HandlerFunc(f.answer)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       time.Minute,
	}
	var listener net.Listener = f.listener
	if wrap != nil {
		listener = wrap(listener)
	}
	f.Server = NewServer(server, listener, system.NewClock())
	f.drain = f.Drain
	go func() { _ = f.Serve() }() // ends with the drain
	return f
}

// stop begins to drain the server.
func (f *stopFixture) stop(t *testing.T) <-chan error {
	f.stopping.Store(true)
	stopped := make(chan error, 1)
	go func() { stopped <- f.drain(t.Context()) }()
	return stopped
}

// answer answers "ok", and asks callers to close once the server stops.
func (f *stopFixture) answer(w http.ResponseWriter, r *http.Request) {
	if f.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "ok")
}

// readAnswer returns the status of a whole answer, 0 if there is none.
func readAnswer(conn net.Conn) int {
	return readNextAnswer(bufio.NewReader(conn))
}

func readNextAnswer(reader *bufio.Reader) int {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if body, err := io.ReadAll(response.Body); err != nil || string(body) != "ok" {
		return 0
	}
	return response.StatusCode
}

// send sends parts of requests on a connection.
func send(t *testing.T, conn net.Conn, parts ...string) {
	t.Helper()
	for _, part := range parts {
		_, err := io.WriteString(conn, part)
		is.New(t).NoErr(err)
	}
}

// isReading reports whether the server waits for bytes of a connection.
func (c *trackedConn) isReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reading
}
