package third

import (
	"fmt"
	"net/http"
	"time"

	"quincewinch/platform/emulator"
)

const (
	// oddParts is the number of parts in the prompts of odd callers. The head of such a
	// request keeps to the configuration's limit.
	oddParts = 1300
	// Each of the ordinary callers sends one request after the other.
	ordinaryCallers = 6
	ordinaryPause   = 200 * time.Millisecond
	// deskTimeout is the time-out of the routes of the plain service, and deskDeadline how
	// long its callers wait.
	deskTimeout  = 1200 * time.Millisecond
	deskDeadline = 2500 * time.Millisecond
	promptTime   = 4 * time.Second
	// answerSlack is how long after the time-out a request may still have no answer.
	answerSlack = 500 * time.Millisecond
)

// deployDesk starts a deployment of nine engines, which take some time to begin an answer, two
// servers of a plain service and four daemons.
func (l *lab) deployDesk(firstEvent time.Duration) error {
	zones := []string{"pl-a", "pl-b", "pl-c", "pl-d"}
	for i := range 11 {
		server, service, more := emulator.Server{ID: fmt.Sprintf("i-%d", i), Events: 3}, engineServiceName, map[string]any{"stage": "decode"}
		if i >= 9 {
			server.Events, service, more = 0, deskName, nil
		}
		address, err := l.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if server.Events == 0 || l.clock.Sleep(r.Context(), firstEvent) == nil {
				server.ServeHTTP(w, r)
			}
		}))
		if err != nil {
			return err
		}
		if err := l.register(server.ID, service, address, zones[i%len(zones)], more); err != nil {
			return err
		}
	}
	err := l.put("op", "config", configuration(7, []map[string]any{promptRoute(), deskRoute()}, []map[string]any{engineService(), deskService()}))
	if err != nil {
		return err
	}
	for _, zone := range zones {
		if _, err := l.startDaemon("front-"+zone+"-1", zone); err != nil {
			return err
		}
	}
	return nil
}

// askDesk sends requests to the plain service, to one daemon after the other.
func (l *lab) askDesk(caller int, end time.Time, t *tally) {
	client := newCallers()
	for n := 0; l.clock.Now().Before(end); n++ {
		id := fmt.Sprintf("d%d-%d", caller, n)
		to := l.daemons[(n+caller)%len(l.daemons)]
		t.add(l.send(client, to.callers, call{id: id, method: http.MethodPost, path: "/lohu930/2f", body: []byte("reserve " + id), deadline: deskDeadline}), deskTimeout)
		l.sleep(ordinaryPause)
	}
}

// askEngines sends ordinary prompts of three parts.
func (l *lab) askEngines(caller int, end time.Time, t *tally) {
	client := newCallers()
	for n := 0; l.clock.Now().Before(end); n++ {
		prefix := fmt.Sprintf("5c1e%04x:2520,91bd%04x:1780,e%d%06x:900", n%4, n%45, caller, n)
		to := l.daemons[(n+caller)%len(l.daemons)]
		t.add(l.send(client, to.callers, generation(fmt.Sprintf("o%d-%d", caller, n), prefix)), promptTime)
		l.sleep(ordinaryPause)
	}
}

// deskRoute is the route of requests that must not be repeated.
func deskRoute() map[string]any {
	return map[string]any{
		"name": "r-2", "host": callerHost, "prefix": "/lohu930/", "kind": "non_idempotent", "timeout_ms": deskTimeout.Milliseconds(),
		"target_latency_ms": 150, "priority": 2, "service": deskName, "attempts": 1,
	}
}

// deskService is their service.
func deskService() map[string]any {
	return map[string]any{"name": deskName, "health_check": "/healthz", "max_connections": 100}
}
