package second

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["6"] = finePrompts }

// finePrompts sends ordinary requests and, as the disruption, long prompts that name their
// parts block by block.
func finePrompts(l *lab) verdict {
	const (
		engines     = 9
		servers     = 4
		blockTokens = 16
		blocks      = 1250 // of a prompt: 20,000 tokens, 15 KB of its head
		longEach    = 1.5  // long prompts a second at each daemon
		quotesEach  = 1.5  // quotes a second at each daemon
		plainEach   = 3.0  // reservations a second at each daemon
		calm        = 5 * time.Second
		length      = 50 * time.Second
		timeout     = 1200 * time.Millisecond // of the route of reservations
		slack       = 500 * time.Millisecond
	)
	l.oneCore = true
	l.startDuties(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	l.configure()
	for i := range engines {
		l.addEngine(&engine{id: fmt.Sprintf("i-llm-%d", i+1), service: "llm", zone: string("abcd"[i%4]), events: 20, pace: 20 * time.Millisecond, tokensPerMS: 61.4}).start("v1")
	}
	for i := range servers {
		l.addEngine(&engine{id: fmt.Sprintf("i-desk-%d", i+1), service: "desk", zone: string("abcd"[i%4]), pace: 30 * time.Millisecond}).start("v1")
	}
	l.addDaemons("a", "a", "b", "b", "c", "c", "d")
	l.awaitReady()
	var mu sync.Mutex
	var plain []timed
	var callers sync.WaitGroup
	stop := make(chan struct{})
	for _, d := range l.daemons {
		callers.Go(func() {
			every(plainEach, stop, func() {
				sent := clock.Now()
				r := d.send(call{path: "/reserve/x", method: http.MethodPost, deadline: 2500 * time.Millisecond, body: "reserve a flitch"})
				took := clock.Now().Sub(sent)
				l.note("reservation %s by way of %s: status %d after %.3f s", r.id, d.name, r.status, took.Seconds())
				mu.Lock()
				defer mu.Unlock()
				plain = append(plain, timed{r, took})
			})
		})
	}
	for _, d := range l.daemons {
		callers.Go(func() {
			every(quotesEach, stop, func() {
				r := d.send(call{
					path: "/quote/x", method: http.MethodPost, deadline: 4 * time.Second, body: "which oak?",
					prompt: fmt.Sprintf("a%d:2520,b%d:3780,%08x:2890", rand.IntN(4), rand.IntN(45), rand.Uint32()), tokens: "9190,20",
				})
				l.note("quote %s by way of %s: status %d, %d events, complete %t %s", r.id, d.name, r.status, len(r.events), r.complete, firstLine(r.text))
			})
		})
	}
	sleep(calm)
	if l.trouble {
		l.note("long prompts begin")
		for _, d := range l.daemons {
			callers.Go(func() {
				every(longEach, stop, func() {
					r := d.send(call{
						path: "/match/x", method: http.MethodPost, deadline: 6 * time.Second, body: "a long sheet",
						prompt: blockPrompt(blocks, blockTokens), tokens: fmt.Sprintf("%d,20", blocks*blockTokens),
					})
					l.note("long prompt %s by way of %s: status %d, %d events, complete %t %s", r.id, d.name, r.status, len(r.events), r.complete, firstLine(r.text))
				})
			})
		}
	}
	sleep(length)
	close(stop)
	callers.Wait()
	late, unanswered, served := 0, 0, 0
	for _, r := range plain {
		if r.took > timeout {
			late++
		}
		if r.took > timeout+slack {
			unanswered++
		}
		if r.status == http.StatusOK {
			served++
		}
	}
	l.result("%d reservations, %d served; %d unanswered at the route's timeout, %d of these half a second later too; half of them are allowed", len(plain), served, late, unanswered)
	switch {
	case len(plain) < 100:
		return notRun
	case late >= 8 && 2*unanswered > late:
		return broken
	}
	return held
}

// timed is an answer with the time from the request to its end.
type timed struct {
	reply
	took time.Duration
}

// every calls a function at random times, so many a second on average, each time in a
// goroutine of its own, and returns once it has stopped and all have returned.
func every(perSecond float64, stop chan struct{}, do func()) {
	var all sync.WaitGroup
	defer all.Wait()
	for {
		pause := time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))
		select {
		case <-stop:
			return
		case <-clock.NewTimer(pause).C():
			all.Go(do)
		}
	}
}

// blockPrompt returns the parts of a prompt that shares nothing, each of some tokens.
func blockPrompt(blocks, tokens int) string {
	parts := make([]string, blocks)
	for i := range parts {
		parts[i] = fmt.Sprintf("%08x:%d", rand.Uint32(), tokens)
	}
	return strings.Join(parts, ",")
}
