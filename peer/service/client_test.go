package service_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/service"
)

// failing is a service that answers the first call of a connection and closes
// the connection after it has read the second.
type failing struct {
	listener net.Listener

	mu   sync.Mutex
	seen int
}

func newFailing(t *testing.T) *failing {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	f := &failing{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go f.serve(connection)
		}
	}()
	return f
}

func (f *failing) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for range 2 {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		f.mu.Lock()
		f.seen++
		first := f.seen == 1
		f.mu.Unlock()
		if !first {
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func (f *failing) calls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seen
}

func TestNoCallIsSentTwice(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
		for _, body := range []string{"", "flitch 7"} {
			t.Run(method+" "+body, func(t *testing.T) {
				is := is.New(t)
				f := newFailing(t)
				transport := &http.Transport{}
				defer transport.CloseIdleConnections()
				client := service.NewClients(&http.Client{Transport: transport}).Service(models.ServiceBackend{URL: "http://" + f.listener.Addr().String()})
				call := models.ServiceCall{
					ID:     "r",
					Method: method,
					Path:   "/",
					Header: map[string][]string{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}},
					Body:   []byte(body),
				}
				_, err := client.Call(t.Context(), call)
				is.NoErr(err)
				_, err = client.Call(t.Context(), call)
				is.Equal(peer.OutcomeOf(err), peer.OutcomeUnknown) // it may have run
				is.Equal(f.calls(), 2)                             // each call was sent once
			})
		}
	}
}

// TestPlainClientSendsTwice shows what the client defends from.
func TestPlainClientSendsTwice(t *testing.T) {
	is := is.New(t)
	f := newFailing(t)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for range 2 {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.listener.Addr().String(), bytes.NewBufferString("flitch 7"))
		is.NoErr(err)
		r.Header.Set("Idempotency-Key", "k")
		response, err := client.Do(r)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
	is.True(f.calls() > 2) // net/http sent a call again by itself
}

func TestRedirectIsNotFollowed(t *testing.T) {
	is := is.New(t)
	var calls int
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	client := service.NewClients(server.Client()).Service(models.ServiceBackend{URL: server.URL})
	answer, err := client.Call(t.Context(), models.ServiceCall{Method: http.MethodPost, Path: "/"})
	is.NoErr(err)
	is.Equal(answer.Status, http.StatusTemporaryRedirect) // the caller gets the answer as it came
	is.Equal(calls, 1)
}

func TestUnreachableServiceHasNotRun(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	client := service.NewClients(&http.Client{}).Service(models.ServiceBackend{URL: "http://" + address})
	_, err = client.Call(t.Context(), models.ServiceCall{Method: http.MethodPost, Path: "/"})
	is.Equal(peer.OutcomeOf(err), peer.OutcomeNotDone)
}
