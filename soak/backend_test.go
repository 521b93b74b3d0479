package soak

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"quincewinch/peer/system"
	"quincewinch/platform/emulator"
)

const (
	// maxWorkTime bounds the time that a backend server works at one request.
	maxWorkTime = 60 * time.Millisecond
	// eventsPerStream is how many events each stream has.
	eventsPerStream = 6
)

// failureMode is what a backend server does instead of answering, each for one
// request in a hundred.
type failureMode int

const (
	modeNormal      failureMode = iota
	modeReject                  // refuses before it runs, and says so
	modeResetBefore             // resets the connection before it runs
	modeResetAfter              // resets it after it ran
	modeErrorAfter              // answers 500 after it ran
	failureModes                // how many there are
)

// arrival is a request that reached a backend server.
type arrival struct {
	id string
	at time.Time
}

// backend is an emulated backend server behind a proxy.
type backend struct {
	id      string
	service string
	server  *emulator.Server
	proxy   *proxy
	clock   interface{ Now() time.Time }

	mu       sync.Mutex
	random   *rand.Rand
	arrivals []arrival
}

func newBackend(t *testing.T, id, service string, events int, random *rand.Rand) *backend {
	t.Helper()
	b := &backend{id: id, service: service, server: &emulator.Server{ID: id, Events: events}, clock: system.NewClock(), random: random}
	server := httptest.NewServer(b)
	t.Cleanup(server.CloseClientConnections)
	b.proxy = newProxy(t, server.Listener.Addr().String())
	return b
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	act, work := b.drawMode(r.Header.Get("Request-Id"))
	timer := system.NewClock().NewTimer(work)
	<-timer.C()
	switch act {
	case modeReject:
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case modeResetBefore:
		panic(http.ErrAbortHandler)
	case modeResetAfter, modeErrorAfter:
		b.server.ServeHTTP(httptest.NewRecorder(), r)
		if act == modeResetAfter {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	b.server.ServeHTTP(w, r)
}

// drawMode notes an arrival and says what becomes of it.
func (b *backend) drawMode(id string) (failureMode, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals = append(b.arrivals, arrival{id: id, at: b.clock.Now()})
	act := failureMode(b.random.IntN(100))
	if act >= failureModes {
		act = modeNormal
	}
	return act, time.Duration(b.random.Int64N(int64(maxWorkTime)))
}

// recordedArrivals returns the arrivals so far.
func (b *backend) recordedArrivals() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]arrival(nil), b.arrivals...)
}
