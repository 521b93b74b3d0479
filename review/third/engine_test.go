package third

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// engineDowntime is how long an engine that has crashed is away, and expiry how long
	// its entry stays: three heartbeat intervals of 1.2 s.
	engineDowntime = 2 * time.Second
	entryExpiry    = 3600 * time.Millisecond
	// firstTokenTime is how long an engine works until its first event, eventTime until each
	// further one.
	firstTokenTime = 30 * time.Millisecond
	eventTime      = 10 * time.Millisecond
	engineEvents   = 5
)

// arrival is a request at an engine.
type arrival struct {
	id     string
	at     time.Time
	engine string
	deadly bool
	failed bool // it crashed the engine
	index  int
}

// engine is a model engine that crashes as it begins to write the answer to a request with
// some part in its prompt. Each of its starts has a new ID.
type engine struct {
	lab     *lab
	name    string
	address string
	zone    string
	deadly  string // ID of the part, or body of the request, that it crashes on
	service string
	// handler returns what answers for one start; nil: answer.
	handler func(*engine) http.Handler

	mu       sync.Mutex
	starts   int
	server   *http.Server
	open     map[net.Conn]bool
	arrivals []arrival
}

func (l *lab) startEngine(name, zone, deadly string, handler func(*engine) http.Handler) (*engine, error) {
	e, err := l.newEngine(name, zone, deadly, handler)
	if err != nil {
		return nil, err
	}
	return e, e.start()
}

func (l *lab) newEngine(name, zone, deadly string, handler func(*engine) http.Handler) (*engine, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	return &engine{lab: l, name: name, zone: zone, address: address, deadly: deadly, handler: handler, service: engineServiceName}, nil
}

// id is the ID of the present start. The caller holds mu.
func (e *engine) id() string {
	return e.name + "-" + strconv.Itoa(e.starts)
}

// start listens and registers.
func (e *engine) start() error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return errors.Trace(err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	e.open = map[net.Conn]bool{}
	id := e.id()
	var handler http.Handler = http.HandlerFunc(e.answer)
	if e.handler != nil {
		handler = e.handler(e)
	}
	e.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: withStart(id, handler), ConnState: e.connState}
	server := e.server
	go func() { _ = server.Serve(listener) }() // ends with a crash or the lab
	if e.service != engineServiceName {
		return e.lab.register(id, e.service, e.address, e.zone, nil)
	}
	return e.lab.register(id, e.service, e.address, e.zone, map[string]any{"stage": "decode"})
}

func (e *engine) connState(conn net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.open[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(e.open, conn)
	}
}

// crash resets all connections of the start with an ID, and begins another one later.
func (e *engine) crash(id string) {
	e.mu.Lock()
	if e.id() != id || e.server == nil {
		e.mu.Unlock()
		return // another request has crashed it
	}
	server, open := e.server, e.open
	e.server, e.open = nil, map[net.Conn]bool{}
	e.mu.Unlock()
	for conn := range open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = server.Close()
	e.lab.note("engine %s crashed", id)
	go func() {
		e.lab.sleep(engineDowntime)
		if e.lab.ctx.Err() != nil {
			return
		}
		if err := e.start(); err != nil {
			e.lab.note("engine %s is not back: %v", e.name, err)
		}
		e.lab.sleep(entryExpiry - engineDowntime)
		e.lab.store.Remove("servers", id)
	}()
}

type startKey struct{}

// withStart tells the requests of a start its ID.
func withStart(id string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), startKey{}, id)))
	})
}

// arrive records a request that is for the engine, and waits until the first event of its
// answer is ready. It reports false if there is nothing to answer.
func (e *engine) arrive(w http.ResponseWriter, r *http.Request) (a arrival, id string, ok bool) {
	id, _ = r.Context().Value(startKey{}).(string)
	request := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", request)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return arrival{}, id, false
	}
	a = arrival{id: request, at: e.lab.clock.Now(), engine: id, deadly: e.isDeadly(r.Header)}
	e.mu.Lock()
	a.index = len(e.arrivals)
	e.arrivals = append(e.arrivals, a)
	e.mu.Unlock()
	return a, id, e.lab.clock.Sleep(r.Context(), firstTokenTime) == nil
}

// failed records that a request crashes the engine.
func (e *engine) failed(a arrival, id string) {
	e.lab.note("request %s with the part %s at engine %s", a.id, e.deadly, id)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals[a.index].failed = e.server != nil && e.id() == id
}

// answer answers in chunks, and crashes before the first event.
func (e *engine) answer(w http.ResponseWriter, r *http.Request) {
	a, id, ok := e.arrive(w, r)
	switch {
	case !ok:
	case a.deadly:
		e.failed(a, id)
		e.crash(id)
	default:
		e.stream(r.Context(), w, r.Header.Get("Last-Event-Id"))
	}
}

// isDeadly reports whether the prompt has the part. A field that is a list may come in
// several lines.
func (e *engine) isDeadly(header http.Header) bool {
	for part := range strings.SplitSeq(strings.Join(header.Values("Prompt-Prefix"), ","), ",") {
		if id, _, _ := strings.Cut(strings.TrimSpace(part), ":"); id == e.deadly {
			return true
		}
	}
	return false
}

func (e *engine) stream(ctx context.Context, w http.ResponseWriter, last string) {
	first, err := strconv.Atoi(last)
	if err != nil {
		first = 0
	}
	w.Header().Set("Upstream-Signature", "signed-by-"+e.name)
	w.Header().Set("Content-Type", "text/event-stream")
	for event := first + 1; event <= engineEvents; event++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", event, event); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil || e.lab.clock.Sleep(ctx, eventTime) != nil {
			return
		}
	}
}

func (e *engine) seen() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]arrival(nil), e.arrivals...)
}
