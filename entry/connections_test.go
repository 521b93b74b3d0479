package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/peer/system"
)

// testTimeout ends a test that hangs.
const testTimeout = 10 * time.Second

// startServer serves "ok" on tracked connections, and returns its address and the
// first connection that it accepts.
func startServer(t *testing.T) (*connections, string, <-chan *trackedConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
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
	tracked, address, accepted := startServer(t)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	whole := []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n"}
	is.Equal(exchange(t, conn, reader, whole, nil), http.StatusOK)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	halves := []string{"GET / HTTP/1.1\r\n", "Host: h\r\n\r\n"}
	drained := make(chan error, 1)
	status := exchange(t, conn, reader, halves, func() {
		waitUntilRead(ctx, t, <-accepted)
		go func() { drained <- tracked.drain(ctx, system.NewClock()) }()
	})
	is.Equal(status, http.StatusOK)
	is.NoErr(<-drained)
	_, err = reader.ReadByte()
	is.Equal(err, io.EOF) // and then closed
}

// waitUntilRead waits until the server has read bytes that it has not answered.
func waitUntilRead(ctx context.Context, t *testing.T, conn *trackedConn) {
	t.Helper()
	for !conn.unanswered.Load() {
		is.New(t).NoErr(ctx.Err())
		runtime.Gosched()
	}
}
