package second

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["8"] = deadlyRequest }

// deadlyRequest sends one request again and again that crashes the server that runs it,
// beside sound ones. After the third crash the store turns one of seven daemons away for
// 9 s. The deadly request is sent to the other daemons only.
func deadlyRequest(l *lab) verdict {
	const (
		servers     = 8
		backAfter   = 3 * time.Second
		pause       = 200 * time.Millisecond  // between two deadly requests
		awayAfter   = 1500 * time.Millisecond // from the third crash
		awayTime    = 9 * time.Second
		contact     = 3 * time.Second
		total       = 92 * time.Second
		allowed     = 3
		callersEach = 6 // sound ones at each daemon
		deadly      = "/reserve/deadly"
	)
	l.startDuties(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	l.configure()
	for i := range servers {
		e := l.addEngine(&engine{id: fmt.Sprintf("i-desk-%d", i+1), service: "desk", zone: string("abcd"[i%4]), pace: 30 * time.Millisecond, deadly: deadly, back: backAfter})
		e.start("v1")
	}
	l.addDaemons("a", "a", "b", "b", "c", "c", "d")
	l.awaitReady()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, d := range l.daemons {
		for range callersEach {
			callers.Go(func() { l.callSoundly(d, stop) })
		}
	}
	sleep(6 * time.Second)
	var thirdAt time.Time
	begun := clock.Now()
	for i := 0; clock.Now().Sub(begun) < total; i++ {
		d := l.daemons[i%len(l.daemons)]
		if d == l.daemons[6] && !thirdAt.IsZero() && clock.Now().Sub(thirdAt) < awayAfter+awayTime+contact {
			continue // out of touch, or about to be
		}
		r := d.send(call{path: deadly, method: http.MethodPost, deadline: 2500 * time.Millisecond, body: "reserve flitch 7"})
		l.note("deadly %s by way of %s: status %d %s", r.id, d.name, r.status, firstLine(r.text))
		if thirdAt.IsZero() && len(l.deadlyArrivals(deadly)) >= 3 {
			thirdAt = clock.Now()
			l.note("the request has crashed the third server")
			if l.trouble {
				callers.Go(func() { l.daemons[6].turnAwayFor(awayAfter, awayTime) })
			}
		}
		sleep(pause)
	}
	close(stop)
	callers.Wait()
	if thirdAt.IsZero() {
		return notRun
	}
	late := 0
	for _, a := range l.deadlyArrivals(deadly) {
		if a.at.Sub(thirdAt) > contact {
			late++
		}
	}
	l.result("%d requests reached servers later than %s after the third crash; %d are allowed", late, contact, allowed)
	if late > allowed {
		return broken
	}
	return held
}

// turnAwayFor makes the store turn the daemon away for some time, after a pause.
func (d *daemon) turnAwayFor(after, during time.Duration) {
	sleep(after)
	d.turnAway(true)
	d.lab.note("the store turns %s away", d.name)
	sleep(during)
	d.turnAway(false)
	d.lab.note("the store serves %s again", d.name)
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line[:min(len(line), 80)]
}

// callSoundly sends sound requests to a daemon until the case stops.
func (l *lab) callSoundly(d *daemon, stop chan struct{}) {
	served, failed := 0, 0
	for i := 0; ; i++ {
		select {
		case <-stop:
			l.note("sound requests by way of %s: %d served, %d not", d.name, served, failed)
			return
		case <-clock.NewTimer(time.Duration(rand.Int64N(int64(200 * time.Millisecond)))).C():
		}
		r := d.send(call{path: fmt.Sprintf("/lookup/%d", i), method: http.MethodGet, deadline: 2500 * time.Millisecond})
		if r.status == http.StatusOK {
			served++
		} else {
			failed++
		}
	}
}

// deadlyArrivals returns the arrivals of the deadly request at all servers.
func (l *lab) deadlyArrivals(path string) []arrival {
	var list []arrival
	for _, e := range l.engines {
		list = append(list, e.arrivalsAt(path)...)
	}
	return list
}
