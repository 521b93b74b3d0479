package crowd

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"quincewinch/platform/emulator"
)

// Services, each with a route of its name and one backend server.
const (
	serviceOrdinary = "ordinary" // answers at once
	serviceHolding  = "holding"  // reads requests and holds their answers back
	serviceLarge    = "large"    // answers with largeAnswerBytes
	serviceDeaf     = "deaf"     // accepts connections and reads nothing
	serviceEndless  = "endless"  // never ends the head of an answer
)

// largeAnswerBytes is the size of an answer that a daemon buffers whole.
const largeAnswerBytes = 900 << 10

// backends are the backend servers of a test.
type backends struct {
	addresses map[string]string // by service
	released  chan struct{}
	once      sync.Once
}

func newBackends(t *testing.T) *backends {
	t.Helper()
	b := &backends{addresses: map[string]string{}, released: make(chan struct{})}
	t.Cleanup(b.release)
	b.serve(t, serviceOrdinary, &emulator.Server{ID: serviceOrdinary})
	b.serve(t, serviceHolding, http.HandlerFunc(b.hold))
	b.serve(t, serviceLarge, http.HandlerFunc(answerLarge))
	b.listen(t, serviceDeaf, func(net.Conn) {})
	b.listen(t, serviceEndless, func(conn net.Conn) {
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		for err == nil {
			_, err = io.WriteString(conn, "a:\r\n")
		}
	})
	return b
}

// release lets the held requests be answered.
func (b *backends) release() {
	b.once.Do(func() { close(b.released) })
}

func (b *backends) serve(t *testing.T, service string, handler http.Handler) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.CloseClientConnections)
	b.addresses[service] = server.Listener.Addr().String()
}

// listen accepts connections, and passes each to a function, until the test ends.
func (b *backends) listen(t *testing.T, service string, serve func(net.Conn)) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	b.addresses[service] = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go serve(conn)
		}
	}()
}

// hold reads a request, and answers it once the requests are released.
func (b *backends) hold(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case <-b.released:
	case <-r.Context().Done():
	}
	answer(w, r, nil)
}

func answerLarge(w http.ResponseWriter, r *http.Request) {
	answer(w, r, make([]byte, largeAnswerBytes))
}

func answer(w http.ResponseWriter, r *http.Request, body []byte) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Upstream-Signature", "signed")
	_, _ = w.Write(body) // fails only if the daemon has disconnected
}
