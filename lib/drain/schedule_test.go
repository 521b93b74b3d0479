package drain

import (
	"bufio"
	"crypto/tls"
	"flag"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/peer/system"
)

var (
	schedules = flag.Int("schedules", 200, "number of seeded schedules to run")
	firstSeed = flag.Uint64("seed", 1, "seed of the first schedule")
)

const (
	scheduleStop     = 50 * time.Millisecond // from the start to the stop signal
	scheduleAccept   = 10 * time.Millisecond // from the stop signal to the drain
	scheduleConns    = 12
	scheduleRequests = 6               // at most, on a connection
	callerPatience   = 2 * time.Second // over the header timeout
	holdOneIn        = 3
	longestHold      = 4 * time.Millisecond
	longestAccept    = 30 * time.Millisecond
	longestHandling  = 8 * time.Millisecond
	longestPause     = 20 * time.Millisecond // between two requests
	maxYields        = 20
)

// source is a source of random numbers, one for each step of each connection, so
// that a schedule hardly depends on the order of goroutines.
type source struct {
	mu     sync.Mutex
	random *rand.Rand
}

// number returns a random number below a limit.
func (s *source) number(limit int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(limit)
}

// duration returns a random duration below a limit.
func (s *source) duration(limit time.Duration) time.Duration {
	return time.Duration(s.number(int(limit)))
}

// schedule is a run of callers around a drain, with holds at random steps of the
// server's reads and closes, and between accepting and tracking a connection.
type schedule struct {
	t       *testing.T
	clock   system.Clock
	fixture *stopFixture
	client  *tls.Config // of callers, nil without TLS
	seed    uint64
	sources uint64

	answered, refused atomic.Int64 // requests of which the server read all, or not all
}

func (s *schedule) newSource() *source {
	s.sources++
	return &source{random: rand.New(rand.NewPCG(s.seed, s.sources))}
}

func (s *schedule) sleep(d time.Duration) {
	is.New(s.t).NoErr(s.clock.Sleep(s.t.Context(), d))
}

// hold sleeps for a random duration below a limit, or not at all.
func (s *schedule) hold(random *source, limit time.Duration) {
	if random.number(holdOneIn) == 0 {
		s.sleep(random.duration(limit))
	}
}

// handle implements http.HandlerFunc. The request says how long it takes.
func (s *schedule) handle(w http.ResponseWriter, r *http.Request) {
	took, err := time.ParseDuration(r.Header.Get("Takes"))
	is.New(s.t).NoErr(err)
	s.sleep(took)
	if r.Context().Err() != nil {
		s.t.Error("a request was cancelled whose caller was waiting")
	}
	s.fixture.answer(w, r)
}

// scheduleCaller sends requests on one connection.
type scheduleCaller struct {
	*schedule
	name                  int
	random, reads, closes *source
}

// wrap returns the server's side of the connection.
func (c *scheduleCaller) wrap(conn net.Conn) net.Conn {
	return &hookConn{
		Conn:       conn,
		beforeRead: func() { c.hold(c.reads, longestHold) },
		afterRead:  func(int) { c.hold(c.reads, longestHold) },
		// It does not sleep: net/http may hold a lock here, which would stop the
		// virtual clock.
		beforeClose: func() {
			for range c.closes.number(maxYields) {
				runtime.Gosched()
			}
		},
	}
}

// requestParts returns a request in one part or two.
func (c *scheduleCaller) requestParts() []string {
	header := "Host: h\r\nTakes: " + c.random.duration(longestHandling).String() + "\r\n"
	text := "GET / HTTP/1.1\r\n" + header + "\r\n"
	switch c.random.number(3) {
	case 1:
		text = "POST / HTTP/1.1\r\n" + header + "Content-Length: 10\r\n\r\n0123456789"
	case 2:
		text = "POST / HTTP/1.1\r\n" + header + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	}
	if c.random.number(2) == 0 {
		return []string{text}
	}
	cut := 1 + c.random.number(len(text)-1)
	return []string{text[:cut], text[cut:]}
}

// run sends requests on one connection at random times. Each of which the server
// has read the last byte must get a whole answer.
func (c *scheduleCaller) run() {
	c.sleep(c.random.duration(scheduleStop + 2*scheduleAccept))
	conn := c.fixture.listener.dial(c.wrap)
	if conn == nil {
		return
	}
	defer conn.Close()
	if c.client != nil {
		conn = tls.Client(conn, c.client)
	}
	reader := bufio.NewReader(conn)
	for i := range 1 + c.random.number(scheduleRequests) {
		if err := conn.SetDeadline(c.clock.Now().Add(callerPatience)); err != nil {
			return // closed while idle
		}
		for j, part := range c.requestParts() {
			if j > 0 {
				c.sleep(c.random.duration(longestHold))
			}
			if _, err := io.WriteString(conn, part); err != nil {
				c.refused.Add(1)
				return
			}
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			c.t.Errorf("request %d of caller %d was read and not answered: %v", i, c.name, err)
			return
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK || string(body) != "ok" {
			c.t.Errorf("request %d of caller %d got status %d, body %q, %v", i, c.name, response.StatusCode, body, err)
			return
		}
		c.answered.Add(1)
		if response.Close {
			return
		}
		if c.random.number(3) > 0 {
			c.sleep(c.random.duration(longestPause))
		}
	}
	c.sleep(c.random.duration(scheduleStop)) // idle
}

// start starts the server, with TLS or without.
func (s *schedule) start(withTLS bool) {
	accepts := s.newSource()
	handler := http.HandlerFunc(s.handle)
	wrap := func(listener net.Listener) net.Listener {
		return hookListener{listener, func() { s.hold(accepts, longestAccept) }}
	}
	if !withTLS {
		s.fixture = newStopFixture(s.t, handler, wrap)
		return
	}
	f := newTLSFixture(s.t, handler, wrap)
	s.client = f.client
	s.fixture = &stopFixture{listener: f.listener, drain: f.Drain}
}

func (s *schedule) run(withTLS bool) {
	s.start(withTLS)
	var callers sync.WaitGroup
	for i := range 1 + s.newSource().number(scheduleConns) {
		c := &scheduleCaller{schedule: s, name: i, random: s.newSource(), reads: s.newSource(), closes: s.newSource()}
		callers.Go(c.run)
	}
	s.sleep(scheduleStop)
	s.fixture.stopping.Store(true)
	s.sleep(scheduleAccept)
	is.New(s.t).NoErr(<-s.fixture.stop(s.t))
	callers.Wait()
	s.sleep(longestHold) // of the server's last goroutines
}

func TestDrainInRandomSchedules(t *testing.T) {
	for name, withTLS := range map[string]bool{"plain": false, "TLS": true} {
		t.Run(name, func(t *testing.T) { runSchedules(t, name, withTLS) })
	}
}

func runSchedules(t *testing.T, name string, withTLS bool) {
	var answered, refused atomic.Int64
	for i := range *schedules {
		seed := *firstSeed + uint64(i)
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			defer func() {
				if t.Failed() {
					t.Logf("seed %d: go test ./lib/drain -run TestDrainInRandomSchedules/%s -schedules 1 -seed %d", seed, name, seed)
				}
			}()
			synctest.Test(t, func(t *testing.T) {
				s := &schedule{t: t, seed: seed}
				s.run(withTLS)
				answered.Add(s.answered.Load())
				refused.Add(s.refused.Load())
			})
		})
	}
	t.Logf("%d requests answered, %d not read whole", answered.Load(), refused.Load())
}
