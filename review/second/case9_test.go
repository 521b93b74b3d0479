package second

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["9"] = lostStreams }

// lostStreams begins streams at engines of one version of the software. Engines of a newer
// one join, as the disruption right after all daemons were killed; callers then take their
// streams up again.
func lostStreams(l *lab) verdict {
	const (
		old, joining = 4, 2 // engines of the two versions
		streams      = 28
		events       = 200 // of a stream, whose caller leaves before
		deadline     = 8 * time.Second
		downTime     = 500 * time.Millisecond
		contact      = 3300 * time.Millisecond
	)
	l.startDuties(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	l.configure()
	add := func(i int) *engine {
		return l.addEngine(&engine{id: fmt.Sprintf("i-llm-%d", i+1), service: "llm", zone: string("abcd"[i%4]), events: events, pace: 50 * time.Millisecond})
	}
	for i := range old {
		add(i).start("v1")
	}
	l.addDaemons("a", "a", "b", "b", "c", "c", "d")
	l.awaitReady()
	sleep(6 * time.Second)
	var callers sync.WaitGroup
	var mu sync.Mutex
	wentOn, took, began, asked := 0, 0, 0, 0
	begun := clock.Now()
	inTouch := begun
	if l.trouble {
		inTouch = begun.Add(deadline) // until the daemons have started again
	}
	for i := range streams {
		d := l.daemons[i%len(l.daemons)]
		callers.Go(func() {
			c := call{path: "/quote/x", method: http.MethodPost, deadline: deadline, body: "which oak?", prompt: newPrompt(), tokens: fmt.Sprintf("9190,%d", events), leave: 1500 * time.Millisecond}
			first := d.send(c)
			l.note("%s by way of %s: status %d, %d events, complete %t", first.id, d.name, first.status, len(first.events), first.complete)
			if len(first.events) == 0 {
				return
			}
			c.resumes, c.after = first.id, first.events[len(first.events)-1].id
			for tries := 0; ; tries++ {
				sleep(time.Second)
				c.deadline = deadline - clock.Now().Sub(first.sentAt)
				if c.deadline < 300*time.Millisecond {
					return
				}
				mu.Lock()
				counts := clock.Now().After(inTouch)
				mu.Unlock()
				c.leave = min(c.deadline, time.Second)
				again := l.daemons[rand.IntN(len(l.daemons))].send(c)
				l.note("%s takes up %s: status %d, %d events, in touch %t %s", again.id, first.id, again.status, len(again.events), counts, firstLine(again.text))
				mu.Lock()
				if counts {
					took++
					if len(again.events) > 0 {
						wentOn++
					}
				}
				mu.Unlock()
				if len(again.events) > 0 {
					return
				}
			}
		})
	}
	sleep(time.Second)
	if l.trouble {
		for _, d := range l.daemons {
			d.kill()
		}
		l.note("all daemons killed")
	}
	for i := range joining {
		add(old + i).start("v2")
	}
	sleep(downTime)
	if l.trouble {
		for _, d := range l.daemons {
			d.firstStart = false
			must(d.writeSettings())
			d.start()
		}
		mu.Lock()
		inTouch = clock.Now().Add(contact)
		mu.Unlock()
	}
	sleep(contact)
	for clock.Now().Sub(begun) < deadline+time.Second {
		d := l.daemons[rand.IntN(len(l.daemons))]
		r := d.send(call{path: "/quote/x", method: http.MethodPost, deadline: deadline, body: "which oak?", prompt: newPrompt(), tokens: fmt.Sprintf("9190,%d", 4)})
		asked++
		if len(r.events) > 0 {
			began++
		}
	}
	callers.Wait()
	l.result("%d of %d tries to take up a stream go on at machines in touch, %d of %d new streams begin; half of their share is needed", wentOn, took, began, asked)
	switch {
	case took < 12 || asked < 12:
		return notRun
	case float64(wentOn)/float64(took) < float64(began)/float64(asked)/2:
		return broken
	}
	return held
}

// newPrompt returns the parts of a prompt.
func newPrompt() string {
	return fmt.Sprintf("a%d:2520,b%d:3780,%08x:2890", rand.IntN(4), rand.IntN(45), rand.Uint32())
}
