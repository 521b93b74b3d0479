package drain

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/lib/certificates"
	"quincewinch/peer/system"
)

// tlsFixture is a TLS server that a test stops.
type tlsFixture struct {
	*TLSServer
	listener *memoryListener
	client   *tls.Config
	clock    system.Clock
}

// newTLSFixture serves connections with a handler. The connections below TLS are
// those of the result of wrap, which may be nil.
func newTLSFixture(t *testing.T, handler http.HandlerFunc, wrap func(net.Listener) net.Listener) *tlsFixture {
	t.Helper()
	source, err := certificates.NewMemory(system.NewClock())
	is.New(t).NoErr(err)
	f := &tlsFixture{listener: newMemoryListener(), client: certificates.Client(source), clock: system.NewClock()}
	f.client.ServerName = "localhost"
	newServer := func() *http.Server {
		return &http.Server{Handler: handler, ReadHeaderTimeout: 5 * drainHandshakeTimeout}
	}
	var listener net.Listener = f.listener
	if wrap != nil {
		listener = wrap(listener)
	}
	f.TLSServer = NewTLSServer(newServer, tls.NewListener(listener, certificates.Server(source, false)), f.clock)
	go func() { _ = f.Serve() }() // ends with the drain
	return f
}

// stop begins to drain the server.
func (f *tlsFixture) stop(t *testing.T) <-chan error {
	stopped := make(chan error, 1)
	go func() { stopped <- f.Drain(t.Context()) }()
	return stopped
}

// httpClient returns a client that offers HTTP/2 or does not.
func (f *tlsFixture) httpClient(http2 bool) *http.Client {
	return &http.Client{Transport: &http.Transport{
		ForceAttemptHTTP2: http2,
		TLSClientConfig:   f.client,
		DialContext:       func(context.Context, string, string) (net.Conn, error) { return f.listener.dial(nil), nil },
	}}
}

// get returns the protocol and the status of an answer, 0 if there is none.
func get(t *testing.T, client *http.Client) (protocol string, status int) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "https://localhost/", http.NoBody)
	is.New(t).NoErr(err)
	response, err := client.Do(r)
	if err != nil {
		return "", 0
	}
	defer response.Body.Close()
	if body, err := io.ReadAll(response.Body); err != nil || string(body) != "ok" {
		return "", 0
	}
	return response.Proto, response.StatusCode
}

func answerOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

func TestHTTP2RequestIsAnsweredByADrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		finish := make(chan struct{})
		f := newTLSFixture(t, func(w http.ResponseWriter, r *http.Request) {
			<-finish
			answerOK(w, r)
		}, nil)
		client := f.httpClient(true)
		done := make(chan struct{})
		go func() {
			defer close(done)
			protocol, status := get(t, client)
			is.Equal(protocol, "HTTP/2.0")
			is.Equal(status, http.StatusOK)
		}()
		synctest.Wait() // the request is handled
		stopped := f.stop(t)
		synctest.Wait()
		close(finish)
		<-done
		is.NoErr(<-stopped) // the connection is closed
	})
}

func TestDrainEndsIdleHTTP2Connections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTLSFixture(t, answerOK, nil)
		_, status := get(t, f.httpClient(true))
		is.Equal(status, http.StatusOK)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		is.NoErr(f.Drain(ctx))
	})
}

func TestRequestKnowsItsTLSState(t *testing.T) {
	for name, http2 := range map[string]bool{"HTTP/2.0": true, "HTTP/1.1": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newTLSFixture(t, func(w http.ResponseWriter, r *http.Request) {
					if r.TLS != nil && r.TLS.HandshakeComplete {
						answerOK(w, r)
					}
				}, nil)
				client := f.httpClient(http2)
				protocol, status := get(t, client)
				is.Equal(protocol, name)
				is.Equal(status, http.StatusOK)
				client.CloseIdleConnections()
				is.NoErr(<-f.stop(t))
			})
		})
	}
}

func TestStalledHandshakeHoldsNeitherCallersNorADrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTLSFixture(t, answerOK, nil)
		stalled := f.listener.dial(nil)
		defer stalled.Close()
		synctest.Wait()
		_, status := get(t, f.httpClient(true))
		is.Equal(status, http.StatusOK)
		begun := f.clock.Now()
		stopped := f.stop(t)
		is.NoErr(<-stopped)
		// Shutdown of http.Server looks for open connections every 500 ms.
		is.True(f.clock.Now().Sub(begun) <= 3*drainHandshakeTimeout)
	})
}

func TestStalledHandshakeEndsWithTheHeaderTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTLSFixture(t, answerOK, nil)
		stalled := f.listener.dial(nil)
		defer stalled.Close()
		begun := f.clock.Now()
		_, err := stalled.Read(make([]byte, 1))
		is.Equal(err, io.EOF)
		is.Equal(f.clock.Now().Sub(begun), 5*drainHandshakeTimeout)
		is.NoErr(<-f.stop(t))
	})
}

func TestPlainRequestToATLSListenerIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTLSFixture(t, answerOK, nil)
		conn := f.listener.dial(nil)
		defer conn.Close()
		go func() { _, _ = io.WriteString(conn, request) }() // fails if it is not read whole
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		defer response.Body.Close()
		is.Equal(response.StatusCode, http.StatusBadRequest)
		is.NoErr(<-f.stop(t))
	})
}

// holdConn holds back what is written after the first write, until it is released.
type holdConn struct {
	net.Conn
	written bool
	held    bytes.Buffer
}

// Write implements net.Conn.
func (c *holdConn) Write(b []byte) (int, error) {
	if c.written {
		return c.held.Write(b)
	}
	c.written = true
	return c.Conn.Write(b)
}

// release writes what was held back at once.
func (c *holdConn) release() error {
	_, err := c.Conn.Write(c.held.Bytes())
	return err
}

func TestRequestReadWithTheEndOfTheHandshakeIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTLSFixture(t, answerOK, nil)
		hold := &holdConn{Conn: f.listener.dial(nil)}
		caller := tls.Client(hold, f.client)
		defer hold.Close()
		_, err := io.WriteString(caller, request)
		is.NoErr(err)
		stopped := f.stop(t)
		synctest.Wait()
		go func() { _ = hold.release() }() // fails if it is not read
		status := readAnswer(caller)
		is.NoErr(<-stopped)
		is.Equal(status, http.StatusOK)
	})
}

func TestRequestThatTLSHasReadBeforeADrainIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		caller, server := net.Pipe()
		defer caller.Close()
		conn := &trackedConn{connections: &connections{}, Conn: &bufferedConn{Conn: server, read: []byte(request)}}
		is.True(!conn.stopIdle())
		b := make([]byte, len(request))
		n, err := conn.Read(b)
		is.NoErr(err)
		is.Equal(string(b[:n]), request)
		is.True(conn.hasUnanswered())
	})
}

// bufferedConn is a connection that has read bytes already.
type bufferedConn struct {
	net.Conn
	read []byte
}

// Read implements net.Conn.
func (c *bufferedConn) Read(b []byte) (int, error) {
	if len(c.read) == 0 {
		return c.Conn.Read(b)
	}
	n := copy(b, c.read)
	c.read = c.read[n:]
	return n, nil
}
