package second

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a backend server. It can end and start again at its address, under its ID.
type engine struct {
	lab     *lab
	id      string
	service string
	zone    string
	events  int           // of a stream; 0: a plain service
	pace    time.Duration // between two events, or the work of a plain request
	// tokensPerMS are the prompt tokens that are read in a millisecond; 0: at once.
	tokensPerMS float64
	deadly      string        // a path on which the process crashes
	back        time.Duration // after a crash on it
	address     string

	mu       sync.Mutex
	version  string
	born     int64
	sequence int
	server   *http.Server
	arrivals []arrival
}

// arrival is a request that has reached an engine and not been turned away.
type arrival struct {
	at   time.Time
	id   string
	path string
}

// addEngine adds a backend server that has not been started.
func (l *lab) addEngine(e *engine) *engine {
	e.lab = l
	e.address = freeAddresses(1)[0]
	l.engines = append(l.engines, e)
	return e
}

// start starts a process of a version of the software and registers it.
func (e *engine) start(version string) {
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp4", e.address); err == nil {
			break
		}
		sleep(20 * time.Millisecond)
	}
	must(err)
	e.mu.Lock()
	e.version, e.born, e.sequence = version, clock.Now().UnixMilli(), 0
	server := &http.Server{Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: 10 * time.Second}
	e.server = server
	e.mu.Unlock()
	go server.Serve(listener) //nolint:errcheck // ends with the process that it stands for
	e.register()
	e.lab.note("%s runs, software %s, registered", e.id, version)
}

// register writes the registration of the process.
func (e *engine) register() {
	e.mu.Lock()
	row := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": 64,
		"state": "ready", "cold_left_ms": 0, "sequence": e.sequence, "born": e.born,
	}
	e.mu.Unlock()
	if e.events > 0 {
		row["stage"] = "decode"
		row["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	e.lab.store.Put("servers", e.id, encode(row))
}

// crash ends the process: its connections break off.
func (e *engine) crash() {
	e.mu.Lock()
	server := e.server
	e.server = nil
	e.mu.Unlock()
	if server != nil {
		_ = server.Close()
		e.lab.note("%s has ended", e.id)
	}
}

// serve answers as the pages say.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	version, born := e.version, e.born
	e.mu.Unlock()
	id := r.Header.Get("Request-Id")
	header := w.Header()
	if id != "" {
		header.Set("Request-Id", id)
	}
	header.Set("Instance-Id", e.id)
	header.Set("Keep-Alive", "timeout=5")
	turnAway := func(status int) {
		header.Set("Not-Executed", "1")
		w.WriteHeader(status)
	}
	switch expected := r.Header.Get("Expect-Instance"); {
	case expected != "" && expected != e.id, r.Header.Get("Serving-Stage") == "prefill":
		turnAway(http.StatusMisdirectedRequest)
		return
	case r.URL.Path == "/quincewinch/report":
		header.Set("Content-Type", "application/json")
		_, _ = w.Write(encode(map[string]any{"stage": "decode", "busy": false, "sequence": 0, "waiting": 0, "running": 0, "born": born}))
		return
	case id == "":
		turnAway(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request was cut off
	}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, arrival{clock.Now(), id, r.URL.Path})
	e.mu.Unlock()
	if e.deadly != "" && r.URL.Path == e.deadly {
		e.lab.note("%s begins to run the request %s and crashes", e.id, id)
		e.crashOn(version)
		panic(http.ErrAbortHandler)
	}
	header.Set("Upstream-Signature", "signed-"+e.id)
	if e.events > 0 {
		e.stream(w, r, version)
		return
	}
	sleep(e.pace)
	_, _ = fmt.Fprintf(w, "answer of %s to %s, %d bytes", e.id, id, len(body))
}

// crashOn crashes the process, which is back some seconds later.
func (e *engine) crashOn(version string) {
	go func() {
		e.crash()
		sleep(e.back)
		e.start(version)
	}()
}

// stream writes events with increasing IDs. They tell the software that wrote them.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, version string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weights-Versions", "1")
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	events := e.events
	if _, output, ok := strings.Cut(r.Header.Get("Token-Count"), ","); ok {
		if most, err := strconv.Atoi(output); err == nil {
			events = min(events, most)
		}
	}
	if input, _, _ := strings.Cut(r.Header.Get("Token-Count"), ","); e.tokensPerMS > 0 && last == 0 {
		tokens, _ := strconv.Atoi(input)
		sleep(time.Duration(float64(tokens) / e.tokensPerMS * float64(time.Millisecond)))
	}
	for event := last + 1; event <= events; event++ {
		select {
		case <-r.Context().Done():
			return
		default:
		}
		sleep(e.pace)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d by %s of software %s\n\n", event, event, e.id, version); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}

// arrivalsAt returns the requests with a path that have reached the engine.
func (e *engine) arrivalsAt(path string) []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []arrival
	for _, a := range e.arrivals {
		if a.path == path {
			list = append(list, a)
		}
	}
	return list
}
