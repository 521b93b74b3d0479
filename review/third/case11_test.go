package third

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"quincewinch/platform/emulator"
)

// Figures of the case.
const (
	case11Time = 90 * time.Second
	// case11OddTime is how long the odd caller sends. Its prompts have as many tokens as
	// those of the others, in parts of oddPartTokens; the head of each request keeps to the
	// configuration's limit.
	case11OddTime = 40 * time.Second
	oddParts      = 1300
	oddPartTokens = 4
	// Each of the ordinary callers sends one request after the other.
	case11Callers = 6
	case11Pause   = 200 * time.Millisecond
	oddPause      = 50 * time.Millisecond
	// deskTimeout is the time-out of the routes of the plain service, and deskDeadline how
	// long its callers wait.
	deskTimeout  = 1200 * time.Millisecond
	deskDeadline = 2500 * time.Millisecond
	promptTime   = 4 * time.Second
	// answerSlack is how long after the time-out a request may still have no answer.
	answerSlack = 500 * time.Millisecond
	// A time-out is not kept if minUnanswered requests, and over a quarter of those that were
	// unanswered when it was over, have no answer answerSlack later.
	minUnanswered = 8
)

// manyParts sends prompts that are made of very many short parts, and asks a plain service
// at the same time.
func manyParts(l *lab, trouble bool) (held bool, err error) {
	if err := l.deploy11(0); err != nil {
		return false, err
	}
	var callers sync.WaitGroup
	var desk, prompts, odd tally
	begun := l.clock.Now()
	end := begun.Add(case11Time)
	for i := range case11Callers {
		callers.Go(func() { l.askDesk(i, end, &desk) })
		callers.Go(func() { l.askEngines(i, end, &prompts) })
	}
	callers.Go(func() { l.askOddly(begun.Add(case11OddTime), trouble, &odd) })
	for l.clock.Now().Before(end) {
		l.sleep(5 * time.Second)
		l.note("plain service: %s", desk.text())
		l.note("prompts: %s", prompts.text())
		l.note("prompts of the odd caller: %s", odd.text())
	}
	callers.Wait()
	for _, d := range l.daemons {
		peak, overruns, exits := d.counts()
		l.note("%s: peak %d MB of memory, exceeded it %d times, ended by itself %d times", d.name, peak, overruns, exits)
	}
	l.note("plain service, at last: %s", desk.text())
	broken := desk.unanswered >= minUnanswered && 4*desk.unanswered > desk.over
	return !broken, nil
}

// deploy11 starts a deployment of nine engines, which take some time to begin an answer, two
// servers of a plain service and four daemons.
func (l *lab) deploy11(firstEvent time.Duration) error {
	zones := []string{"pl-a", "pl-b", "pl-c", "pl-d"}
	for i := range 11 {
		server, service, more := emulator.Server{ID: fmt.Sprintf("i-%d", i), Events: 3}, "huvo11a", map[string]any{"stage": "decode"}
		if i >= 9 {
			server.Events, service, more = 0, "wuno96b", nil
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
	err := l.put("op", "config", configuration(7, []map[string]any{promptRoute(), {
		"name": "r-2", "host": callerHost, "prefix": "/lohu930/", "kind": "non_idempotent", "timeout_ms": deskTimeout.Milliseconds(),
		"target_latency_ms": 150, "priority": 2, "service": "wuno96b", "attempts": 1,
	}}, []map[string]any{engineService(), {
		"name": "wuno96b", "health_check": "/healthz", "max_connections": 100,
	}}))
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
		l.sleep(case11Pause)
	}
}

// askEngines sends ordinary prompts of three parts.
func (l *lab) askEngines(caller int, end time.Time, t *tally) {
	client := newCallers()
	for n := 0; l.clock.Now().Before(end); n++ {
		prefix := fmt.Sprintf("5c1e%04x:2520,91bd%04x:1780,e%d%06x:900", n%4, n%45, caller, n)
		to := l.daemons[(n+caller)%len(l.daemons)]
		t.add(l.send(client, to.callers, generation(fmt.Sprintf("o%d-%d", caller, n), prefix)), promptTime)
		l.sleep(case11Pause)
	}
}

// askOddly sends prompts of as many tokens in very many parts; without trouble in three.
func (l *lab) askOddly(end time.Time, trouble bool, t *tally) {
	client := newCallers()
	random := rand.New(rand.NewPCG(11, 11))
	for n := 0; l.clock.Now().Before(end); n++ {
		prefix := fmt.Sprintf("5c1e%04x:2520,91bd%04x:1780,ff%06x:900", n%4, n%45, n)
		if trouble {
			list := make([]string, 0, oddParts)
			for range oddParts {
				list = append(list, strconv.FormatUint(uint64(random.Uint32()), 16)+":"+strconv.Itoa(oddPartTokens))
			}
			prefix = strings.Join(list, ",")
		}
		to := l.daemons[n%len(l.daemons)]
		t.add(l.send(client, to.callers, generation(fmt.Sprintf("x-%d", n), prefix)), promptTime)
		l.sleep(oddPause)
	}
}
