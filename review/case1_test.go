package review

// Case 1: the engines of a service are replaced by others of
// another software version; callers take up the streams that this broke off.

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

const (
	releaseStreams = 12
	longPatience   = 100 * time.Second // of a caller, and the route's timeout
	releaseEvents  = 60
	releaseGap     = 200 * time.Millisecond
	releaseAfter   = 2 * time.Second // from the begin of the streams
	// leavingServes is how long a leaving engine goes on: drain_ms and a little longer.
	leavingServes = 3 * time.Second
	// maxMixed is the number of streams of two versions that the rule allows.
	maxMixed = 2
)

// pauses are those of a caller between its tries to take a stream up.
var pauses = []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second, 34 * time.Second}

func playRelease() int {
	l, err := New(os.Args[1])
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return Failed
	}
	defer l.Close()
	l.Configure("huvo11a", Route("quote", "/quote/", "huvo11a", longPatience, 2))
	before, err := runEngines(l, "v1")
	if err != nil {
		l.Logf("cannot run: %v", err)
		return Failed
	}
	if err := l.Start(7); err != nil {
		l.Logf("cannot run: %v", err)
		return Failed
	}
	Sleep(Contact + time.Second)
	callers := make([]resumer, releaseStreams)
	var group sync.WaitGroup
	broken, breakOff := context.WithCancel(context.Background())
	defer breakOff()
	for n := range callers {
		group.Go(func() { callers[n] = askAndResume(broken, l, n) })
	}
	Sleep(releaseAfter)
	if Trouble() {
		if err := replaceEngines(l, before, &group); err != nil {
			l.Logf("cannot run: %v", err)
			return Failed
		}
	} else {
		Sleep(leavingServes)
		l.Logf("the callers' connections break")
		breakOff()
	}
	group.Wait()
	return judgeRelease(l, callers)
}

func runEngines(l *Lab, version string) ([]*Engine, error) {
	var engines []*Engine
	for i, zone := range []string{"pl-a", "pl-b", "pl-c", "pl-d"} {
		engine := &Engine{
			ID: fmt.Sprintf("i-%s-%d", version, i+1), Service: "huvo11a", Version: version, Zone: zone,
			FirstEvent: 20 * time.Millisecond, Gap: releaseGap,
		}
		if err := engine.Run(l); err != nil {
			return nil, err
		}
		engines = append(engines, engine)
	}
	return engines, nil
}

// replaceEngines replaces engines: the new ones start first, the old ones drain and exit.
func replaceEngines(l *Lab, before []*Engine, group *sync.WaitGroup) error {
	if _, err := runEngines(l, "v2"); err != nil {
		return err
	}
	l.Logf("the engines of v2 are there, those of v1 drain")
	for _, engine := range before {
		group.Go(func() {
			engine.Leave(leavingServes)
			l.Logf("%s has left", engine.ID)
		})
	}
	return nil
}

// resumer is what became of one stream.
type resumer struct {
	brokenOff bool
	versions  []string // of the events that it got, over all tries
	whole     bool
}

// askAndResume is a caller that asks for a stream and takes it up when it breaks off. The end of
// ctx breaks it off from the caller's side.
func askAndResume(ctx context.Context, l *Lab, n int) resumer {
	asked := Request{
		Method: "POST", Host: "ficu95.example", Path: "/quote/1", Key: "3fexd9dnn2ctnfzs989a", Body: fmt.Sprintf("quote %d", n),
		Prefix: fmt.Sprintf("5c1e07a2:800,%08x:250", n), Events: releaseEvents,
	}
	begun := Clock.Now()
	first := l.Send(ctx, l.Pick(n), asked, NewID(), longPatience, Resumption{})
	l.Logf("stream %d: %v", n, first)
	c := resumer{brokenOff: first.LastEvent > 0 && !first.Complete, versions: first.Versions, whole: first.Served(releaseEvents)}
	last := first.LastEvent
	for try, pause := range pauses {
		if c.whole || last == 0 {
			break
		}
		Sleep(pause)
		left := longPatience - Clock.Now().Sub(begun)
		a := l.Send(context.WithoutCancel(ctx), l.Pick(n+try), asked, NewID(), left, Resumption{First: first.ID, After: last})
		l.Logf("stream %d taken up after event %d of attempt %s: %v", n, last, first.ID, a)
		for _, version := range a.Versions {
			if !slices.Contains(c.versions, version) {
				c.versions = append(c.versions, version)
			}
		}
		c.whole = a.Served(releaseEvents)
		last = a.LastEvent
	}
	return c
}

func judgeRelease(l *Lab, callers []resumer) int {
	brokenOff, mixed, whole := 0, 0, 0
	for _, c := range callers {
		if c.brokenOff {
			brokenOff++
		}
		if c.whole {
			whole++
		}
		if len(c.versions) > 1 {
			mixed++
		}
	}
	l.Logf("%d streams were broken off, %d of them arrived whole in the end", brokenOff, whole)
	l.Logf("streams with events of two software versions: %d, allowed %d", mixed, maxMixed)
	if brokenOff <= maxMixed {
		l.Logf("verdict: could not run")
		return Failed
	}
	if mixed > maxMixed {
		l.Logf("verdict: ORDER is broken")
		return Broken
	}
	l.Logf("verdict: held")
	return Held
}
