package daemon

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"quincewinch/config"
	"quincewinch/lib/certificates"
	"quincewinch/peer/system"
)

// memoryListener accepts connections in memory.
type memoryListener struct {
	dialed    chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
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

func TestRequestReadBeforeAStopIsAnswered(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, plain := range map[string]bool{"plain": true, "TLS": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := &Daemon{settings: &config.Settings{}, logger: zap.NewNop(), clock: system.NewClock()}
				d.settings.Callers.HeaderTimeout = time.Second
				memory := &memoryListener{dialed: make(chan net.Conn), closed: make(chan struct{})}
				caller, server := net.Pipe()
				defer caller.Close()
				var listener net.Listener = memory
				if !plain {
					source, err := certificates.NewMemory(system.NewClock())
					is.NoErr(err)
					listener = tls.NewListener(memory, certificates.Server(source, false))
					config := certificates.Client(source)
					config.ServerName = "localhost"
					caller = tls.Client(caller, config)
				}
				d.serveListener(listener, plain, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
				memory.dialed <- server
				reader := bufio.NewReader(caller)
				status := func() int {
					response, err := http.ReadResponse(reader, nil)
					if err != nil {
						return 0
					}
					defer response.Body.Close()
					_, err = io.Copy(io.Discard, response.Body)
					is.NoErr(err)
					return response.StatusCode
				}
				_, err := io.WriteString(caller, request)
				is.NoErr(err)
				is.Equal(status(), http.StatusOK)
				_, err = io.WriteString(caller, request[:16])
				is.NoErr(err)
				synctest.Wait() // the server has read it
				stopped := make(chan error, 1)
				go func() { stopped <- d.shutDownServers(t.Context()) }()
				synctest.Wait()
				go func() { _, _ = io.WriteString(caller, request[16:]) }() // fails if it is not read
				got := status()
				is.NoErr(<-stopped)
				is.Equal(got, http.StatusOK)
			})
		})
	}
}
