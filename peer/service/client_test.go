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

// droppingServer is a service that answers the first request. It reads each
// further one and closes the connection without a response.
type droppingServer struct {
	listener net.Listener

	mu           sync.Mutex
	requestCount int
}

func newDroppingServer(t *testing.T) *droppingServer {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	f := &droppingServer{listener: listener}
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

func (f *droppingServer) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for range 2 {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		f.mu.Lock()
		f.requestCount++
		first := f.requestCount == 1
		f.mu.Unlock()
		if !first {
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func (f *droppingServer) requests() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requestCount
}

func TestCallIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
		for _, body := range []string{"", "flitch 7"} {
			t.Run(method+" "+body, func(t *testing.T) {
				is := is.New(t)
				f := newDroppingServer(t)
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
				is.Equal(peer.OutcomeOf(err), peer.OutcomeUnknown) // the service may have run it
				is.Equal(f.requests(), 2)                          // each call was sent once
			})
		}
	}
}

// TestDefaultHTTPClientResends shows the behaviour that the client prevents:
// net/http resends a request that has an Idempotency-Key when the connection
// closes before the response.
func TestDefaultHTTPClientResends(t *testing.T) {
	is := is.New(t)
	f := newDroppingServer(t)
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
	is.True(f.requests() > 2) // net/http resent a request on its own
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
	is.Equal(answer.Status, http.StatusTemporaryRedirect) // the redirect is returned unchanged
	is.Equal(calls, 1)
}

func TestUnreachableServiceIsNotDone(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	client := service.NewClients(&http.Client{}).Service(models.ServiceBackend{URL: "http://" + address})
	_, err = client.Call(t.Context(), models.ServiceCall{Method: http.MethodPost, Path: "/"})
	is.Equal(peer.OutcomeOf(err), peer.OutcomeNotDone)
}

// Guards against an answer to an earlier caller that goes to the next one.
func TestAnswerThatNamesAnotherRequestIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(service.RequestIDHeader, "r1")
	}))
	t.Cleanup(server.Close)
	client := service.NewClients(server.Client()).Service(models.ServiceBackend{URL: server.URL})
	_, err := client.Call(t.Context(), models.ServiceCall{ID: "r1", Method: http.MethodPost, Path: "/"})
	is.NoErr(err)
	_, err = client.Call(t.Context(), models.ServiceCall{ID: "r2", Method: http.MethodPost, Path: "/"})
	is.True(err != nil)
	is.Equal(peer.OutcomeOf(err), peer.OutcomeUnknown) // it may run
}

func TestServiceWithRequestIDsOfItsOwnIsServed(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(service.RequestIDHeader, "own-17")
	}))
	t.Cleanup(server.Close)
	client := service.NewClients(server.Client()).Service(models.ServiceBackend{URL: server.URL})
	for _, id := range []models.RequestID{"r1", "r2"} {
		_, err := client.Call(t.Context(), models.ServiceCall{ID: id, Method: http.MethodPost, Path: "/"})
		is.NoErr(err)
	}
}
