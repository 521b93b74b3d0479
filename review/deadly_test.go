package review

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	deadlyPart      = "dead0001"
	documents       = 2000            // that prompts are made of
	deadlyTimeout   = 4 * time.Second // of the route and its callers
	soundInterval   = 125 * time.Millisecond
	engineDowntime  = 2 * time.Second // after a crash
	deadlyEngines   = 8
	countedCrash    = 5 // contact_ms after it, requests with the part begin to count
	allowedAfter    = 3 // of these may reach engines
	engineFirst     = 30 * time.Millisecond
	engineEventGap  = 60 * time.Millisecond
	deadlyService   = "huvo11a"
	soundRequestKey = "3fexd9dnn2ctnfzs989a"
)

// Deadly plays callers of which some send prompts with a part that crashes each engine
// that begins to write an answer on it.
type Deadly struct {
	Lab      *Lab
	Length   time.Duration
	Interval time.Duration // between groups of requests with the part
	Group    int           // requests of a group, at the same time
	Parts    int           // shared parts of a prompt
	Place    int           // of the deadly part among them, from 1
	Crashes  bool          // engines crash on the part
	Events   int           // of a stream, 60 ms apart

	mu       sync.Mutex
	inTouch  map[string]bool // attempts with the part: whether their machine was
	arrivals []time.Time     // of these from machines in touch
	crashes  []time.Time
	broken   int // other runs that crashes broke off

	asked, begun, whole int // requests without the part
}

// Start starts the engines and the daemons.
func (d *Deadly) Start() error {
	l := d.Lab
	d.inTouch = map[string]bool{}
	l.Configure(deadlyService, Route("quote", "/quote/", deadlyService, deadlyTimeout, 2))
	for i := range deadlyEngines {
		engine := &Engine{
			ID: fmt.Sprintf("i-%d", i+1), Service: deadlyService, Version: "v1", Zone: zones[i%len(zones)],
			FirstEvent: engineFirst, Gap: engineEventGap, Events: d.Events, Downtime: engineDowntime,
			OnArrival: d.arrived, OnCrash: d.crashed,
		}
		if d.Crashes {
			engine.DeadlyPart = deadlyPart
		}
		if err := engine.Run(l); err != nil {
			return err
		}
	}
	if err := l.Start(7); err != nil {
		return err
	}
	Sleep(Contact + time.Second)
	return nil
}

func (d *Deadly) arrived(e *Engine, r *http.Request) {
	id := r.Header.Get("Request-Id")
	d.mu.Lock()
	defer d.mu.Unlock()
	inTouch, ok := d.inTouch[id]
	if !ok {
		return
	}
	d.Lab.Logf("attempt %s with the part reaches %s, sent by a machine in touch: %t", id, e.ID, inTouch)
	if inTouch {
		d.arrivals = append(d.arrivals, Clock.Now())
	}
}

func (d *Deadly) crashed(e *Engine, r *http.Request, others int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashes = append(d.crashes, Clock.Now())
	d.broken += max(others, 0)
	d.Lab.Logf("%s crashes on attempt %s, crash %d; it was at work on %d others", e.ID, r.Header.Get("Request-Id"), len(d.crashes), others)
}

// request returns a request whose prompt consists of documents, with the deadly part
// among them if deadly is set, and of a part of its own.
func (d *Deadly) request(n int, deadly bool) Request {
	var parts []string
	for _, document := range rand.Perm(documents)[:d.Parts] {
		parts = append(parts, fmt.Sprintf("d0c%05x:80", document))
	}
	if deadly {
		parts[d.Place-1] = deadlyPart + ":80"
	}
	return Request{
		Method: "POST", Host: "ficu95.example", Path: "/quote/1", Key: soundRequestKey,
		Body: "quote " + strconv.Itoa(n), Prefix: strings.Join(append(parts, NewID()[:8]+":250"), ","),
	}
}

// Run plays the callers to the end.
func (d *Deadly) Run() {
	var group sync.WaitGroup
	begun := Clock.Now()
	next := begun
	for n := 0; Clock.Now().Sub(begun) < d.Length; n++ {
		if !Clock.Now().Before(next) {
			next = next.Add(d.Interval)
			for i := range d.Group {
				group.Go(func() { d.sendDeadly(-n*d.Group - i) })
			}
		}
		group.Go(func() { d.sendSound(n) })
		Sleep(soundInterval)
	}
	group.Wait()
}

func (d *Deadly) sendDeadly(n int) {
	daemon, id := d.Lab.Pick(rand.IntN(len(d.Lab.Daemons))), NewID()
	d.mu.Lock()
	d.inTouch[id] = daemon.InTouch()
	d.mu.Unlock()
	a := d.Lab.Send(context.Background(), daemon, d.request(n, true), id, deadlyTimeout, Resumption{})
	d.Lab.Logf("with the part: %v", a)
}

func (d *Deadly) sendSound(n int) {
	a := d.Lab.Send(context.Background(), d.Lab.Pick(rand.IntN(len(d.Lab.Daemons))), d.request(n, false), NewID(), deadlyTimeout, Resumption{})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asked++
	if a.FirstEvent > 0 {
		d.begun++
	}
	if a.Complete {
		d.whole++
	}
	d.Lab.Logf("without the part: %v", a)
}

// Judge writes the verdict and returns the exit code of the case.
func (d *Deadly) Judge() int {
	l := d.Lab
	d.mu.Lock()
	defer d.mu.Unlock()
	l.Logf("%d attempts with the part, %d crashes that broke off %d other runs", len(d.inTouch), len(d.crashes), d.broken)
	l.Logf("sound requests: %d, %d began, %d arrived whole", d.asked, d.begun, d.whole)
	if len(d.inTouch) < countedCrash || d.begun == 0 {
		l.Logf("verdict: could not run")
		return Failed
	}
	later := 0
	if len(d.crashes) >= countedCrash {
		from := d.crashes[countedCrash-1].Add(Contact)
		for _, at := range d.arrivals {
			if at.After(from) {
				later++
			}
		}
	}
	l.Logf("requests with the part that machines in touch sent and that reached engines later than contact_ms after the fifth crash: %d, allowed %d", later, allowedAfter)
	if later > allowedAfter {
		l.Logf("verdict: BUDGET is broken")
		return Broken
	}
	l.Logf("verdict: held")
	return Held
}
