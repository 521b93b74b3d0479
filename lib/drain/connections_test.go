package drain

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/peer/system"
)

// testTimeout ends a test that hangs.
const testTimeout = 10 * time.Second

// listen returns a listener on this host.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	return listener
}

// startServer serves "ok" on tracked connections of a listener, and returns its
// address and the first connection that it accepts.
func startServer(t *testing.T, listener net.Listener) (*connections, string, <-chan *trackedConn) {
	t.Helper()
	tracked := &connections{}
	accepted := make(chan *trackedConn, 1)
	server := &http.Server{
		ConnState: func(conn net.Conn, state http.ConnState) {
			if state == http.StateNew {
				accepted <- conn.(*trackedConn)
			}
			tracked.stateChanged(conn, state)
		},
		ReadHeaderTimeout: testTimeout,
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }),
	}
	go func() { _ = server.Serve(tracked.listen(listener)) }() // ends with the shutdown
	t.Cleanup(func() { _ = server.Close() })
	return tracked, listener.Addr().String(), accepted
}

// exchange sends the parts of a request, calling between after the first one, and
// returns the status of the answer, 0 if there is none.
func exchange(t *testing.T, conn net.Conn, reader *bufio.Reader, parts []string, between func()) int {
	t.Helper()
	for i, part := range parts {
		if i == 1 {
			between()
		}
		if _, err := io.WriteString(conn, part); err != nil {
			return 0
		}
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0
	}
	_, err = io.Copy(io.Discard, response.Body)
	is.New(t).NoErr(err)
	is.New(t).NoErr(response.Body.Close())
	return response.StatusCode
}

// A request of which the server has read a part when the daemon begins to stop is
// answered; Shutdown of http.Server would drop it.
func TestRequestReadBeforeShutdownIsAnswered(t *testing.T) {
	is := is.New(t)
	tracked, address, accepted := startServer(t, listen(t))
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	whole := []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n"}
	is.Equal(exchange(t, conn, reader, whole, nil), http.StatusOK)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	server := <-accepted
	for server.idleCount() == 0 { // the first request is unanswered until then
		is.NoErr(ctx.Err())
		runtime.Gosched()
	}
	halves := []string{"GET / HTTP/1.1\r\n", "Host: h\r\n\r\n"}
	drained := make(chan error, 1)
	status := exchange(t, conn, reader, halves, func() {
		waitUntilRead(ctx, t, server)
		go func() { drained <- tracked.drain(ctx, system.NewClock()) }()
	})
	is.Equal(status, http.StatusOK)
	is.NoErr(<-drained)
	_, err = reader.ReadByte()
	is.Equal(err, io.EOF) // and then closed
}

// A drain ends the reads of idle connections of the operating system, too.
func TestDrainClosesIdleConnections(t *testing.T) {
	for name, requests := range map[string]int{"new connection": 0, "kept connection": 2} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracked, address, accepted := startServer(t, listen(t))
			conn, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for range requests {
				is.Equal(exchange(t, conn, reader, []string{request}, nil), http.StatusOK)
			}
			server := <-accepted
			for !server.isReading() || server.hasUnanswered() {
				runtime.Gosched()
			}
			is.NoErr(tracked.drain(t.Context(), system.NewClock()))
			_, err = reader.ReadByte()
			is.Equal(err, io.EOF)
		})
	}
}

// waitUntilRead waits until the server has read bytes that it has not answered.
func waitUntilRead(ctx context.Context, t *testing.T, conn *trackedConn) {
	t.Helper()
	for !conn.hasUnanswered() {
		is.New(t).NoErr(ctx.Err())
		runtime.Gosched()
	}
}

// slowListener accepts slow connections.
type slowListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &slowConn{Conn: conn, read: make(chan struct{}, 1)}, err
}

// slowConn is a connection whose first write returns only when the caller's next
// request has begun to arrive, as on a VM that is short of processor time.
type slowConn struct {
	net.Conn
	read    chan struct{}
	written bool
}

// Read implements net.Conn.
func (c *slowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if len(b) == 1 && n == 1 {
		c.read <- struct{}{}
	}
	return n, err
}

// Write implements net.Conn.
func (c *slowConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if !c.written {
		c.written = true
		<-c.read
	}
	return n, err
}

// A request that begins to arrive while the server still ends the one before is
// answered, too.
func TestRequestReadBeforeIdleIsAnswered(t *testing.T) {
	is := is.New(t)
	tracked, address, accepted := startServer(t, slowListener{listen(t)})
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	is.Equal(exchange(t, conn, reader, []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n"}, nil), http.StatusOK)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	status := exchange(t, conn, reader, []string{"GET / HTTP/1.1\r\n", "Host: h\r\n\r\n"}, func() {
		server := <-accepted
		for server.idleCount() == 0 {
			is.NoErr(ctx.Err())
			runtime.Gosched()
		}
		is.Equal(tracked.stopIdle(), 1)
	})
	is.Equal(status, http.StatusOK)
}

// A request that arrives while its idle connection is being closed is answered or
// not handled.
func TestRequestReadWhileClosingIsNotHandled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var handled atomic.Int32
		var f *stopFixture
		f = newStopFixture(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			handled.Add(1)
			f.answer(w, r)
		}), nil)
		var caller net.Conn
		var closing atomic.Bool
		caller = f.listener.dial(func(conn net.Conn) net.Conn {
			return &hookConn{Conn: conn, beforeClose: func() {
				if !closing.Swap(true) {
					go func() { _, _ = io.WriteString(caller, request) }() // fails if it is not read
					synctest.Wait()
				}
			}}
		})
		defer caller.Close()
		reader := bufio.NewReader(caller)
		send(t, caller, request)
		is.Equal(readNextAnswer(reader), http.StatusOK)
		synctest.Wait() // the connection is idle
		is.NoErr(<-f.stop(t))
		_, err := reader.ReadByte()
		is.Equal(err, io.EOF)
		is.Equal(handled.Load(), int32(1))
	})
}
