// Command 2 is case 2 of the review: all daemons are killed at once and started again;
// callers take up the streams that this broke off.
package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"quincewinch/review/lab"
)

const (
	streams      = 24
	patience     = 8 * time.Second // of a caller, and the route's timeout
	streamEvents = 60
	eventGap     = 100 * time.Millisecond
	killAfter    = time.Second            // from the begin of the streams
	downTime     = 500 * time.Millisecond // from the kill to the start
	tries        = 6                      // of a caller to take a stream up
	pause        = time.Second            // between them, at least
	newInterval  = 100 * time.Millisecond // between new streams
	newEvents    = 3
	minTakenUp   = 12
)

func main() {
	os.Exit(play())
}

// caller is what became of one stream that was broken off.
type caller struct {
	takenUp int // attempts to take it up
	inTouch int // of these, at machines in touch
	goesOn  bool
	whole   bool
}

func play() int {
	l, err := lab.New(os.Args[1])
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return lab.Failed
	}
	defer l.Close()
	l.Configure("huvo11a", lab.Route("quote", "/quote/", "huvo11a", patience, 2))
	for i, zone := range []string{"pl-a", "pl-b", "pl-c", "pl-d"} {
		engine := &lab.Engine{ID: fmt.Sprintf("i-%d", i+1), Service: "huvo11a", Version: "v1", Zone: zone, FirstEvent: 20 * time.Millisecond, Gap: eventGap}
		if err := engine.Run(l); err != nil {
			l.Logf("cannot run: %v", err)
			return lab.Failed
		}
	}
	if err := l.Start(7); err != nil {
		l.Logf("cannot run: %v", err)
		return lab.Failed
	}
	lab.Sleep(lab.Contact + time.Second)
	return judge(l, run(l))
}

func request(n, events int) lab.Request {
	return lab.Request{
		Method: "POST", Host: "ficu95.example", Path: "/quote/1", Key: "3fexd9dnn2ctnfzs989a", Body: fmt.Sprintf("quote %d", n),
		Prefix: fmt.Sprintf("5c1e07a2:800,%08x:250", n), Events: events,
	}
}

type result struct {
	callers          []caller
	begun, asked     int // new streams at machines in touch while streams are taken up
	brokenOffAtFirst int
}

func run(l *lab.Lab) result {
	var r result
	var mu sync.Mutex
	var group sync.WaitGroup
	broken, breakOff := context.WithCancel(context.Background())
	defer breakOff()
	for n := range streams {
		group.Go(func() {
			c, first := takePart(broken, l, n)
			mu.Lock()
			defer mu.Unlock()
			r.callers = append(r.callers, c)
			if !first.Complete && first.LastEvent > 0 {
				r.brokenOffAtFirst++
			}
		})
	}
	if lab.Trouble() {
		l.KillAll(killAfter, downTime)
	} else {
		lab.Sleep(killAfter)
		l.Logf("the callers' connections break")
		breakOff()
	}
	brokenAt := lab.Clock.Now()
	for n := streams; lab.Clock.Now().Sub(brokenAt) < patience; n++ {
		group.Go(func() {
			a := l.Send(context.Background(), l.Pick(n), request(n, newEvents), lab.NewID(), patience, lab.Resumption{})
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
		lab.Sleep(newInterval)
	}
	group.Wait()
	return r
}

// takePart is a caller that asks for a stream and takes it up when it breaks off. The end
// of ctx breaks it off from the caller's side.
func takePart(ctx context.Context, l *lab.Lab, n int) (caller, lab.Attempt) {
	var c caller
	asked := request(n, streamEvents)
	begun := lab.Clock.Now()
	first := l.Send(ctx, l.Pick(n), asked, lab.NewID(), patience, lab.Resumption{})
	l.Logf("stream %d: %v", n, first)
	last := first.LastEvent
	for range tries {
		lab.Sleep(pause)
		for len(l.Ready()) == 0 && lab.Clock.Now().Sub(begun) < patience {
			lab.Sleep(pause / 10)
		}
		left := patience - lab.Clock.Now().Sub(begun)
		if left <= 0 || c.whole || last == 0 {
			break
		}
		a := l.Send(context.WithoutCancel(ctx), l.Pick(n), asked, lab.NewID(), left, lab.Resumption{First: first.ID, After: last})
		l.Logf("stream %d taken up after event %d of attempt %s: %v", n, last, first.ID, a)
		c.takenUp++
		if a.InTouch {
			c.inTouch++
		}
		c.goesOn = c.goesOn || a.InTouch && a.FirstEvent > 0
		c.whole = a.Served(streamEvents)
		last = a.LastEvent
	}
	return c, first
}

func judge(l *lab.Lab, r result) int {
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
	if r.brokenOffAtFirst < minTakenUp || r.asked == 0 || lab.Trouble() && taken < minTakenUp {
		l.Logf("verdict: could not run")
		return lab.Failed
	}
	if taken >= minTakenUp && float64(goOn)/float64(taken) < float64(r.begun)/float64(r.asked)/2 {
		l.Logf("verdict: LOST is broken")
		return lab.Broken
	}
	l.Logf("verdict: held")
	return lab.Held
}
