package soak

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quincewinch/peer/system"
	"quincewinch/platform/emulator"
)

const (
	// maxWorkTime is the upper bound of the processing time of one request.
	maxWorkTime = 60 * time.Millisecond
	// eventsPerStream is the number of events in each stream.
	eventsPerStream = 6
)

// failureMode is how a backend server fails a request. Each mode other than
// modeNormal applies to 1% of the requests.
type failureMode int

const (
	modeNormal      failureMode = iota
	modeReject                  // rejects the request before it runs, and says so
	modeResetBefore             // aborts the connection before the request runs
	modeResetAfter              // aborts the connection after the request ran
	modeErrorAfter              // answers 500 after the request ran
	failureModes                // number of modes
)

// arrival is a request that reached a backend server.
type arrival struct {
	id     string
	at     time.Time
	deadly bool
}

// backend is an emulated backend server behind a fault-injecting proxy.
type backend struct {
	id      string
	service string
	server  *emulator.Server
	proxy   *proxy
	clock   interface{ Now() time.Time }
	started atomic.Int64 // of the process that it registers as, in Unix milliseconds

	restart func() // after a crash

	mu       sync.Mutex
	random   *rand.Rand
	arrivals []arrival
	down     bool
}

func newBackend(t *testing.T, id, service string, events int, random *rand.Rand) *backend {
	t.Helper()
	b := &backend{id: id, service: service, server: &emulator.Server{ID: id, Events: events}, clock: system.NewClock(), random: random}
	b.started.Store(b.clock.Now().UnixMilli())
	server := httptest.NewServer(b)
	t.Cleanup(server.CloseClientConnections)
	b.proxy = newProxy(t, server.Listener.Addr().String())
	return b
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mode, work := b.drawMode(r)
	timer := system.NewClock().NewTimer(work)
	<-timer.C()
	if r.URL.Path == deadlyPath {
		b.crash()
		panic(http.ErrAbortHandler)
	}
	b.server.State(w.Header())
	switch mode {
	case modeReject:
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case modeResetBefore:
		panic(http.ErrAbortHandler)
	case modeResetAfter, modeErrorAfter:
		b.server.ServeHTTP(httptest.NewRecorder(), r)
		if mode == modeResetAfter {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	b.server.ServeHTTP(w, r)
}

// drawMode records an arrival and draws its failure mode and processing time.
func (b *backend) drawMode(r *http.Request) (failureMode, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals = append(b.arrivals, arrival{id: r.Header.Get("Request-Id"), at: b.clock.Now(), deadly: r.URL.Path == deadlyPath})
	mode := failureMode(b.random.IntN(100))
	if mode >= failureModes {
		mode = modeNormal
	}
	return mode, time.Duration(b.random.Int64N(int64(maxWorkTime)))
}

// recordedArrivals returns the requests that have arrived so far.
func (b *backend) recordedArrivals() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]arrival(nil), b.arrivals...)
}
