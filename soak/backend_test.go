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
	// mostWork bounds the time that a backend server works at one request.
	mostWork = 60 * time.Millisecond
	// eventsPerStream is how many events each stream has.
	eventsPerStream = 6
)

// misbehaviour is what a backend server does instead of answering, each for one
// request in a hundred.
type misbehaviour int

const (
	answersWell   misbehaviour = iota
	rejects                    // refuses before it runs, and says so
	breaksBefore               // resets the connection before it runs
	breaksAfter                // resets it after it ran
	failsAfter                 // answers 500 after it ran
	misbehaviours              // how many there are
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
	act, work := b.draw(r.Header.Get("Request-Id"))
	timer := system.NewClock().NewTimer(work)
	<-timer.C()
	switch act {
	case rejects:
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case breaksBefore:
		panic(http.ErrAbortHandler)
	case breaksAfter, failsAfter:
		b.server.ServeHTTP(httptest.NewRecorder(), r)
		if act == breaksAfter {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	b.server.ServeHTTP(w, r)
}

// draw notes an arrival and says what becomes of it.
func (b *backend) draw(id string) (misbehaviour, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals = append(b.arrivals, arrival{id: id, at: b.clock.Now()})
	act := misbehaviour(b.random.IntN(100))
	if act >= misbehaviours {
		act = answersWell
	}
	return act, time.Duration(b.random.Int64N(int64(mostWork)))
}

// arrived returns the arrivals so far.
func (b *backend) arrived() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]arrival(nil), b.arrivals...)
}
