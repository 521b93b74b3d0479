package review

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Engine is a stand-in for a model engine. It keeps no order of its own: it begins to
// write its answer FirstEvent after a request has arrived.
type Engine struct {
	ID         string
	Service    string
	Version    string
	Zone       string
	Events     int           // of a stream that does not ask for another number
	FirstEvent time.Duration // from the arrival to the first event
	Gap        time.Duration // between two events
	// DeadlyPart is a part of prompts on which the engine crashes as it begins to write;
	// empty: none. Downtime is how long it is away then.
	DeadlyPart string
	Downtime   time.Duration
	// OnArrival is called for each request that arrives, and OnCrash for each crash with
	// the number of other runs that it broke off.
	OnArrival func(engine *Engine, r *http.Request)
	OnCrash   func(engine *Engine, r *http.Request, others int)

	lab     *Lab
	address string

	mu       sync.Mutex
	listener net.Listener
	open     map[net.Conn]bool
	running  int
	born     int64
	leaving  bool
}

// headerEvents asks the stand-in for a number of events. It is passed on like any header
// of a caller.
const headerEvents = "X-Events"

// Run starts the engine and registers it.
func (e *Engine) Run(l *Lab) error {
	e.lab = l
	return e.listen("127.0.0.1:0")
}

func (e *Engine) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Trace(err)
	}
	e.mu.Lock()
	e.listener, e.address, e.open = listener, listener.Addr().String(), map[net.Conn]bool{}
	e.born = Clock.Now().UnixMilli()
	e.mu.Unlock()
	server := &http.Server{Handler: e, ReadHeaderTimeout: time.Minute, ConnState: e.connStateOf(listener)}
	go func() { _ = server.Serve(listener) }() // ends with the listener
	e.register("ready")
	return nil
}

func (e *Engine) register(state string) {
	e.lab.Put("servers", e.ID, map[string]any{
		"service": e.Service, "address": e.address, "zone": e.Zone, "version": e.Version, "slots": 64, "state": state,
		"cold_left_ms": 0, "stage": "decode", "sequence": 1, "born": e.born,
		"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	})
}

// Leave is a planned shutdown: the engine reports that it drains, goes on serving for some
// time, and exits.
func (e *Engine) Leave(serves time.Duration) {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.register("draining")
	Sleep(serves)
	e.mu.Lock()
	e.end()
	e.mu.Unlock()
	e.lab.Store.Remove("servers", e.ID)
}

// end stops listening and resets all connections. The caller must hold e.mu.
func (e *Engine) end() {
	_ = e.listener.Close()
	e.listener = nil
	for connection := range e.open {
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = connection.Close()
	}
}

func (e *Engine) connStateOf(listener net.Listener) func(net.Conn, http.ConnState) {
	return func(connection net.Conn, state http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.listener != listener {
			return
		}
		switch state {
		case http.StateNew:
			e.open[connection] = true
		case http.StateClosed, http.StateHijacked:
			delete(e.open, connection)
		case http.StateActive, http.StateIdle:
		}
	}
}

// crash resets all connections, and comes back after Downtime as a new process.
func (e *Engine) crash(r *http.Request) {
	e.mu.Lock()
	if e.listener == nil {
		e.mu.Unlock()
		return
	}
	e.end()
	others := e.running - 1
	e.mu.Unlock()
	e.OnCrash(e, r, others)
	go func() {
		Sleep(e.Downtime)
		for e.listen(e.address) != nil {
			Sleep(10 * time.Millisecond)
		}
	}()
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	header := w.Header()
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.ID {
		header.Set("Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		header.Set("Instance-Id", e.ID)
		return
	}
	if id == "" {
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	header.Set("Request-Id", id)
	e.mu.Lock()
	if e.leaving {
		header.Set("Server-Leaving", "1")
	}
	e.mu.Unlock()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the request was cut short
	}
	e.lab.Logf("%s gets attempt %s, to go on after event %q", e.ID, id, r.Header.Get("Last-Event-Id"))
	if e.OnArrival != nil {
		e.OnArrival(e, r)
	}
	e.mu.Lock()
	e.running++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	if Clock.Sleep(r.Context(), e.FirstEvent) != nil {
		return // the caller has gone
	}
	if e.DeadlyPart != "" && hasSharedPart(r.Header.Get("Prompt-Prefix"), e.DeadlyPart) {
		e.crash(r)
		panic(http.ErrAbortHandler)
	}
	e.stream(w, r, id)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	header := w.Header()
	header.Set("Upstream-Signature", e.ID+"."+id)
	header.Set("Content-Type", "text/event-stream")
	header.Set("Weights-Versions", "1")
	events := e.Events
	if n, err := strconv.Atoi(r.Header.Get(headerEvents)); err == nil {
		events = n
	}
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	controller := http.NewResponseController(w)
	for event := first; event <= events; event++ {
		if event > first && Clock.Sleep(r.Context(), e.Gap) != nil {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s token %d\n\n", event, e.Version, event); err != nil {
			return
		}
		if controller.Flush() != nil {
			return
		}
	}
	e.lab.Logf("%s has run attempt %s to its end, events %d to %d", e.ID, id, first, events)
}

// hasSharedPart reports whether a prompt has a part before its last one.
func hasSharedPart(prefix, part string) bool {
	parts := strings.Split(prefix, ",")
	for _, entry := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(entry, ":"); id == part {
			return true
		}
	}
	return false
}
