package second

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["7"] = mixedStreams }

// mixedStreams crashes the engines of a service one after the other. Each is back under its
// ID after a second, with a newer version of its software. Meanwhile the store turns two of
// seven daemons away for 9 s.
func mixedStreams(l *lab) verdict {
	const (
		engines   = 6
		step      = 1400 * time.Millisecond // between two crashes
		downTime  = 300 * time.Millisecond
		awayTime  = 9 * time.Second
		longEach  = 2.0 // long streams that begin at each daemon a second
		shortEach = 8.5 // short ones
		events    = 76  // of a long stream, 7.6 s
	)
	l.startDuties(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	l.configure()
	for i := range engines {
		e := l.addEngine(&engine{id: fmt.Sprintf("i-llm-%d", i+1), service: "llm", zone: string("abcd"[i%4]), events: events, pace: 100 * time.Millisecond})
		e.start("v1")
	}
	l.addDaemons("a", "a", "b", "b", "c", "c", "d")
	l.awaitReady()
	var callers sync.WaitGroup
	var mu sync.Mutex
	var replies []reply
	stop := make(chan struct{})
	for _, d := range l.daemons {
		send := func(output int) func() {
			return func() {
				subject := rand.IntN(40)
				r := d.send(call{
					path: "/quote/x", method: http.MethodPost, deadline: 8 * time.Second, body: "which oak?",
					prompt: fmt.Sprintf("a%d:2520,b%d:3780,%x:2890", subject%4, subject, rand.Uint64()), tokens: fmt.Sprintf("9190,%d", output),
				})
				mu.Lock()
				defer mu.Unlock()
				replies = append(replies, r)
				l.noteStream(d, r)
			}
		}
		callers.Go(func() { every(longEach, stop, send(events)) })
		callers.Go(func() { every(shortEach, stop, send(4)) })
	}
	sleep(6 * time.Second)
	away := []*daemon{l.daemons[1], l.daemons[4]}
	if l.trouble {
		for _, d := range away {
			d.turnAway(true)
			l.note("the store turns %s away", d.name)
		}
	}
	begun := clock.Now()
	var release sync.WaitGroup
	for _, e := range l.engines {
		release.Go(func() {
			e.crash()
			sleep(downTime)
			e.start("v2")
		})
		sleep(step)
	}
	if l.trouble {
		sleep(awayTime - clock.Now().Sub(begun))
		for _, d := range away {
			d.turnAway(false)
			l.note("the store serves %s again", d.name)
		}
	}
	release.Wait()
	sleep(2 * time.Second)
	close(stop)
	callers.Wait()
	return l.judgeStreams(replies)
}

// noteStream records an answer.
func (l *lab) noteStream(d *daemon, r reply) {
	text := ""
	for i, e := range r.events {
		if i == 0 || e.engine != r.events[i-1].engine || e.software != r.events[i-1].software {
			text += fmt.Sprintf(" from event %d: %s %s;", e.id, e.engine, e.software)
		}
	}
	l.note("%s by way of %s: status %d, %d events, complete %t:%s %s", r.id, d.name, r.status, len(r.events), r.complete, text, firstLine(r.text))
}

// judgeStreams counts the streams with events of two versions of the software.
func (l *lab) judgeStreams(replies []reply) verdict {
	mixed, begun := 0, 0
	for _, r := range replies {
		versions := map[string]bool{}
		for _, e := range r.events {
			versions[e.software] = true
		}
		if len(versions) > 0 {
			begun++
		}
		if len(versions) > 1 {
			mixed++
			l.note("mixed: %s", r.id)
		}
	}
	l.result("%d streams, %d with events, %d with events of two versions; 2 are allowed", len(replies), begun, mixed)
	switch {
	case begun < 30:
		return notRun
	case mixed > 2:
		return broken
	}
	return held
}
