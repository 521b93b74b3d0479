package review

// Case 2: all daemons are killed at once and started again;
// callers take up the streams that this broke off.

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	killStreams      = 24
	shortPatience    = 8 * time.Second // of a caller, and the route's timeout
	killEvents       = 60
	killGap          = 100 * time.Millisecond
	killStreamsAfter = time.Second            // from the begin of the streams
	killDownTime     = 500 * time.Millisecond // from the kill to the start
	resumeTries      = 6                      // of a caller to take a stream up
	resumePause      = time.Second            // between them, at least
	newInterval      = 100 * time.Millisecond // between new streams
	newEvents        = 3
	minTakenUp       = 12
)

// brokenCaller is what became of one stream that was broken off.
type brokenCaller struct {
	takenUp int // attempts to take it up
	inTouch int // of these, at machines in touch
	goesOn  bool
	whole   bool
}

func playKill() int {
	l, err := New(os.Args[1])
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return Failed
	}
	defer l.Close()
	l.Configure("huvo11a", Route("quote", "/quote/", "huvo11a", shortPatience, 2))
	for i, zone := range []string{"pl-a", "pl-b", "pl-c", "pl-d"} {
		engine := &Engine{ID: fmt.Sprintf("i-%d", i+1), Service: "huvo11a", Version: "v1", Zone: zone, FirstEvent: 20 * time.Millisecond, Gap: killGap}
		if err := engine.Run(l); err != nil {
			l.Logf("cannot run: %v", err)
			return Failed
		}
	}
	if err := l.Start(7); err != nil {
		l.Logf("cannot run: %v", err)
		return Failed
	}
	Sleep(Contact + time.Second)
	return judgeKill(l, runKill(l))
}

func quoteRequest(n, events int) Request {
	return Request{
		Method: "POST", Host: "ficu95.example", Path: "/quote/1", Key: "3fexd9dnn2ctnfzs989a", Body: fmt.Sprintf("quote %d", n),
		Prefix: fmt.Sprintf("5c1e07a2:800,%08x:250", n), Events: events,
	}
}

type killResult struct {
	callers          []brokenCaller
	begun, asked     int // new streams at machines in touch while streams are taken up
	brokenOffAtFirst int
}

func runKill(l *Lab) killResult {
	var r killResult
	var mu sync.Mutex
	var group sync.WaitGroup
	broken, breakOff := context.WithCancel(context.Background())
	defer breakOff()
	for n := range killStreams {
		group.Go(func() {
			c, first := askThroughKill(broken, l, n)
			mu.Lock()
			defer mu.Unlock()
			r.callers = append(r.callers, c)
			if !first.Complete && first.LastEvent > 0 {
				r.brokenOffAtFirst++
			}
		})
	}
	if Trouble() {
		l.KillAll(killStreamsAfter, killDownTime)
	} else {
		Sleep(killStreamsAfter)
		l.Logf("the callers' connections break")
		breakOff()
	}
	brokenAt := Clock.Now()
	for n := killStreams; Clock.Now().Sub(brokenAt) < shortPatience; n++ {
		group.Go(func() {
			a := l.Send(context.Background(), l.Pick(n), quoteRequest(n, newEvents), NewID(), shortPatience, Resumption{})
			l.Logf("new stream: %v", a)
			mu.Lock()
			defer mu.Unlock()
			if a.InTouch {
				r.asked++
				if a.FirstEvent > 0 {
					r.begun++
				}
			}
		})
		Sleep(newInterval)
	}
	group.Wait()
	return r
}

// askThroughKill is a caller that asks for a stream and takes it up when it breaks off. The end
// of ctx breaks it off from the caller's side.
func askThroughKill(ctx context.Context, l *Lab, n int) (brokenCaller, Attempt) {
	var c brokenCaller
	asked := quoteRequest(n, killEvents)
	begun := Clock.Now()
	first := l.Send(ctx, l.Pick(n), asked, NewID(), shortPatience, Resumption{})
	l.Logf("stream %d: %v", n, first)
	last := first.LastEvent
	for range resumeTries {
		Sleep(resumePause)
		for len(l.Ready()) == 0 && Clock.Now().Sub(begun) < shortPatience {
			Sleep(resumePause / 10)
		}
		left := shortPatience - Clock.Now().Sub(begun)
		if left <= 0 || c.whole || last == 0 {
			break
		}
		a := l.Send(context.WithoutCancel(ctx), l.Pick(n), asked, NewID(), left, Resumption{First: first.ID, After: last})
		l.Logf("stream %d taken up after event %d of attempt %s: %v", n, last, first.ID, a)
		c.takenUp++
		if a.InTouch {
			c.inTouch++
		}
		c.goesOn = c.goesOn || a.InTouch && a.FirstEvent > 0
		c.whole = a.Served(killEvents)
		last = a.LastEvent
	}
	return c, first
}

func judgeKill(l *Lab, r killResult) int {
	taken, goOn, whole := 0, 0, 0
	for _, c := range r.callers {
		if c.inTouch > 0 {
			taken++
			if c.goesOn {
				goOn++
			}
		}
		if c.whole {
			whole++
		}
	}
	l.Logf("%d streams were broken off, %d of them arrived whole in the end", r.brokenOffAtFirst, whole)
	l.Logf("taken up at machines in touch: %d streams, %d went on", taken, goOn)
	l.Logf("new streams at machines in touch meanwhile: %d, %d began", r.asked, r.begun)
	if r.brokenOffAtFirst < minTakenUp || r.asked == 0 || Trouble() && taken < minTakenUp {
		l.Logf("verdict: could not run")
		return Failed
	}
	if taken >= minTakenUp && float64(goOn)/float64(taken) < float64(r.begun)/float64(r.asked)/2 {
		l.Logf("verdict: LOST is broken")
		return Broken
	}
	l.Logf("verdict: held")
	return Held
}
