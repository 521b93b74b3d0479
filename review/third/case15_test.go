package third

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the case.
const (
	case15Time  = 60 * time.Second
	case15From  = 5 * time.Second
	case15Pause = 2 * time.Second
	deadlyBody  = "release of coil 4711"
	// From contactTime after crash number crashesOfRequest, the request may come to servers
	// maxRetries times.
	crashesOfRequest = 3
	maxRetries       = 3
)

// hostForms are forms of the host of a route: with and without a port, in either case.
var hostForms = []string{callerHost, callerHost + ":8080", strings.ToUpper(callerHost), callerHost + ":80"}

// hostInOtherForms sends a request that crashes servers again and again, with the same path,
// caller and body, and with its host in several forms. FORMS=1 keeps to one.
func hostInOtherForms(l *lab, trouble bool) (held bool, err error) {
	zones := []string{"pl-a", "pl-b", "pl-c", "pl-d"}
	var servers []*engine
	for i := range 8 {
		e, err := l.newEngine(fmt.Sprintf("d-%d", i), zones[i%len(zones)], deadlyBody, func(e *engine) http.Handler { return http.HandlerFunc(e.serveDesk) })
		if err != nil {
			return false, err
		}
		e.service = deskName
		if err := e.start(); err != nil {
			return false, err
		}
		servers = append(servers, e)
	}
	if err := l.put("op", "config", configuration(7, []map[string]any{deskRoute()}, []map[string]any{deskService()})); err != nil {
		return false, err
	}
	for _, zone := range zones {
		if _, err := l.startDaemon("front-"+zone+"-1", zone); err != nil {
			return false, err
		}
	}
	end := l.clock.Now().Add(case15Time)
	var callers sync.WaitGroup
	var sound, deadly tally
	for i := range ordinaryCallers {
		callers.Go(func() { l.askDesk(i, end, &sound) })
	}
	if trouble {
		callers.Go(func() {
			l.sleep(case15From)
			l.askForRelease(end, &deadly)
		})
	}
	callers.Wait()
	l.note("sound requests: %s", sound.text())
	l.note("the request that crashes servers: %s", deadly.text())
	return l.judgeRetries(servers), nil
}

// serveDesk answers for a plain service, and crashes as it begins to run the deadly request.
func (e *engine) serveDesk(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller has gone
	}
	a, id, ok := e.arrive(w, r)
	switch {
	case !ok:
	case bytes.Equal(body, []byte(e.deadly)):
		e.markDeadly(a)
		e.failed(a, id)
		e.crash(id)
	default:
		w.Header().Set("Upstream-Signature", "signed-by-"+e.name)
		_, _ = io.WriteString(w, "done") // fails only if the caller has gone
	}
}

func (e *engine) markDeadly(a arrival) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals[a.index].deadly = true
}

// askForRelease sends the same request to one daemon after the other.
func (l *lab) askForRelease(end time.Time, t *tally) {
	client := newCallers()
	forms := hostForms
	if n, err := strconv.Atoi(os.Getenv("FORMS")); err == nil {
		forms = forms[:n]
	}
	for n := 0; l.clock.Now().Before(end); n++ {
		c := call{id: fmt.Sprintf("r-%d", n), method: http.MethodPost, path: "/lohu930/release", body: []byte(deadlyBody), deadline: deskDeadline, host: forms[n%len(forms)]}
		t.add(l.send(client, l.daemons[n%len(l.daemons)].callers, c), deskTimeout)
		l.sleep(case15Pause)
	}
}

// judgeRetries applies the rule to what the servers have seen.
func (l *lab) judgeRetries(servers []*engine) bool {
	var all []arrival
	for _, e := range servers {
		all = append(all, e.seen()...)
	}
	slices.SortFunc(all, func(a, b arrival) int { return a.at.Compare(b.at) })
	crashes, late := 0, 0
	var from time.Time
	for _, a := range all {
		if !a.deadly {
			continue
		}
		if !from.IsZero() && a.at.After(from) {
			late++
		}
		if a.failed {
			crashes++
		}
		if a.failed && crashes == crashesOfRequest {
			from = a.at.Add(firstTokenTime + contactTime)
			l.note("crash number %d at %.2f", crashes, a.at.Sub(l.began).Seconds())
		}
	}
	l.note("%d crashes; the request reached servers %d times later than %s after crash number %d; %d times it may", crashes, late, contactTime, crashesOfRequest, maxRetries)
	return late <= maxRetries
}
