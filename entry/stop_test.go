package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"quincewinch/peer/system"
)

func TestStopTimes(t *testing.T) {
	// The platform's terms: a request sent later than this after the stop signal
	// must not be cut off, and the process is killed at the end of the grace
	// time.
	const cutTolerated = 3 * time.Second
	for _, grace := range []time.Duration{time.Second, 8 * time.Second, time.Minute} {
		t.Run(grace.String(), func(t *testing.T) {
			is := is.New(t)
			times := newStopTimes(grace)
			is.True(times.accept < cutTolerated)
			is.True(times.accept > 0 && times.finish > 0 && times.closing > 0)
			is.True(times.accept+times.finish >= grace*5/6) // running requests get most of it
			is.True(times.accept+times.finish+times.closing < grace)
		})
	}
}

// pipeListener accepts connections in memory.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It is called twice: by the drain and by the server.
func (l *pipeListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() net.Conn {
	caller, server := net.Pipe()
	l.accepted <- server
	return caller
}

func TestDrainIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
		core, logs := observer.New(zapcore.InfoLevel)
		d := &Daemon{logger: zap.New(core), clock: system.NewClock()}
		listener := &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") })
		d.serveCallers(&http.Server{ReadHeaderTimeout: time.Second, Handler: handler}, listener)
		idle, begun, left := listener.dial(), listener.dial(), listener.dial()
		defer idle.Close()
		defer begun.Close()
		send := func(conn net.Conn, part string) {
			_, err := io.WriteString(conn, part)
			is.NoErr(err)
		}
		send(begun, request[:10])
		send(left, request[:10])
		synctest.Wait()
		stopped := make(chan error, 1)
		go func() { stopped <- d.stopCallers(t.Context()) }()
		synctest.Wait()
		send(begun, request[10:])
		response, err := http.ReadResponse(bufio.NewReader(begun), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		left.Close()
		is.NoErr(<-stopped)
		logged := logs.All()
		is.Equal(len(logged), 1)
		is.Equal(logged[0].Message, "connections of callers drained")
		fields := logged[0].ContextMap()
		is.True(fields["took"] != nil)
		delete(fields, "took")
		is.Equal(fields, map[string]any{
			"closed-idle": int64(1), "late-answered": int64(0), "unanswered": int64(0), "open": int64(0),
		})
	})
}

// Guards against a stop that outlasts the grace time because one of its steps was slow.
func TestSlowStepsDoNotProlongAStop(t *testing.T) {
	const grace = 4 * time.Second
	times := newStopTimes(grace)
	for _, elapsed := range []time.Duration{0, 500 * time.Millisecond, times.accept, 3 * time.Second, grace, 2 * grace} {
		t.Run(elapsed.String(), func(t *testing.T) {
			is := is.New(t)
			left := times.left(elapsed)
			is.True(left.accept >= 0 && left.finish >= left.accept && left.closing >= 0)
			if elapsed < grace {
				is.True(elapsed+left.accept < grace)
				is.True(elapsed+left.finish < grace)
				is.True(elapsed+left.closing < grace)
			}
			is.True(left.closing <= times.closing)
		})
	}
}
