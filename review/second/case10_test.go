package second

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["10"] = forgottenBlock }

// forgottenBlock sends one request again and again that crashes the server that runs it.
// Once it is blocked, all daemons are killed and started again.
func forgottenBlock(l *lab) verdict {
	const (
		servers   = 8
		backAfter = 3 * time.Second
		pause     = 5 * time.Second         // after a deadly request that failed
		again     = 500 * time.Millisecond  // after one that was refused
		killAfter = 5500 * time.Millisecond // from the third crash
		downTime  = 500 * time.Millisecond
		contact   = 3 * time.Second
		total     = 62 * time.Second
		allowed   = 3
		deadly    = "/reserve/deadly"
	)
	l.startDuties(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	l.configure()
	for i := range servers {
		l.addEngine(&engine{id: fmt.Sprintf("i-desk-%d", i+1), service: "desk", zone: string("abcd"[i%4]), pace: 30 * time.Millisecond, deadly: deadly, back: backAfter}).start("v1")
	}
	l.addDaemons("a", "a", "b", "b", "c", "c", "d")
	l.awaitReady()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, d := range l.daemons {
		callers.Go(func() { l.callSoundly(d, stop) })
	}
	sleep(6 * time.Second)
	var mu sync.Mutex
	var thirdAt, inTouch time.Time
	begun := clock.Now()
	late := 0
	for i := 0; clock.Now().Sub(begun) < total; i++ {
		d := l.daemons[i%len(l.daemons)]
		before := len(l.deadlyArrivals(deadly))
		sent := clock.Now()
		r := d.send(call{path: deadly, method: http.MethodPost, deadline: 2500 * time.Millisecond, body: "reserve flitch 7"})
		l.note("deadly %s by way of %s: status %d %s", r.id, d.name, r.status, firstLine(r.text))
		reached := len(l.deadlyArrivals(deadly)) - before
		mu.Lock()
		if !thirdAt.IsZero() && sent.Sub(thirdAt) > contact && sent.After(inTouch) {
			late += reached
		}
		mu.Unlock()
		if thirdAt.IsZero() && before+reached >= 3 {
			thirdAt = clock.Now()
			l.note("the request has crashed the third server")
			if l.trouble {
				callers.Go(func() {
					sleep(killAfter)
					for _, d := range l.daemons {
						d.kill()
					}
					l.note("all daemons killed")
					sleep(downTime)
					for _, d := range l.daemons {
						d.firstStart = false
						must(d.writeSettings())
						d.start()
					}
					mu.Lock()
					defer mu.Unlock()
					inTouch = clock.Now().Add(contact)
				})
			}
		}
		if r.status == http.StatusServiceUnavailable {
			sleep(again)
		} else {
			sleep(pause)
		}
	}
	close(stop)
	callers.Wait()
	l.result("%d requests reached servers from machines in touch, later than %s after the third crash; %d are allowed", late, contact, allowed)
	switch {
	case thirdAt.IsZero():
		return notRun
	case late > allowed:
		return broken
	}
	return held
}
