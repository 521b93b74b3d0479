package third

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
)

// eventsBeforeCrash is the number of events of an answer that an engine of case 14 has
// written when it crashes.
const eventsBeforeCrash = 1

// unframedCrashes sends requests with a part that crashes engines, whose answers have no
// length and end with their connections. EVENTS=0 lets them crash before the first event.
func unframedCrashes(l *lab, trouble bool) (held bool, err error) {
	events := eventsBeforeCrash
	if n, err := strconv.Atoi(os.Getenv("EVENTS")); err == nil {
		events = n
	}
	return l.playDeadly(trouble, false, func(e *engine) http.Handler { return &unframed{engine: e, events: events, open: map[net.Conn]bool{}} })
}

// unframed answers for one start of an engine.
type unframed struct {
	engine *engine
	events int

	mu   sync.Mutex
	open map[net.Conn]bool
}

// ServeHTTP implements http.Handler.
func (u *unframed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := u.engine
	a, id, ok := e.arrive(w, r)
	if !ok {
		return
	}
	first, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		first = 0
	}
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	u.track(connection, true)
	defer u.track(connection, false)
	defer func() { _ = connection.Close() }()
	_, err = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nUpstream-Signature: signed-by-%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", a.id, e.name)
	for event := first + 1; event <= engineEvents && err == nil; event++ {
		if a.deadly && event > first+u.events {
			e.failed(a, id)
			u.crash()
			e.crash(id)
			return
		}
		_, err = io.WriteString(connection, fmt.Sprintf("id: %d\ndata: token %d\n\n", event, event))
		e.lab.sleep(eventTime)
	}
}

func (u *unframed) track(connection net.Conn, open bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if open {
		u.open[connection] = true
	} else {
		delete(u.open, connection)
	}
}

// crash closes the connections, as the kernel does when a process has ended.
func (u *unframed) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for connection := range u.open {
		_ = connection.Close()
	}
}
