package soak

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"quincewinch/platform/emulator"
)

const (
	// faultPause bounds the time between the starts of two faults; faults last
	// longer than that, so that they overlap.
	faultPause = 800 * time.Millisecond
	// shortestFault and longestFault bound how long one lasts.
	shortestFault = 200 * time.Millisecond
	longestFault  = 4 * time.Second
	// catchUpTime is how long after a fault a daemon may still be behind.
	catchUpTime = 6 * time.Second
)

// networkFaults are those of a proxy.
var networkFaults = []fault{faultDelay, faultReset, faultSilence, faultOneWay}

// storeFaults are those of the store itself.
var storeFaults = []struct {
	kind  string
	fault emulator.Fault
}{
	{"store-refuses", emulator.FaultUnavailable},
	{"store-loses-answers", emulator.FaultLoseAnswer},
	{"store-silent", emulator.FaultHang},
}

// injector plans faults and carries them out.
type injector struct {
	world   *world
	running sync.WaitGroup
	acting  map[string]*sync.Mutex // held while a daemon is paused or replaced
}

func newInjector(w *world) *injector {
	in := &injector{world: w, acting: map[string]*sync.Mutex{}}
	for _, d := range w.daemons {
		in.acting[d.name] = &sync.Mutex{}
	}
	return in
}

// run injects faults until ctx ends, and waits until all are over.
func (in *injector) run(ctx context.Context) {
	w := in.world
	for ctx.Err() == nil {
		d := shortestFault + time.Duration(w.random.Int64N(int64(longestFault-shortestFault)))
		act := in.draw(d)
		in.running.Go(act)
		// Ends early only with the run.
		_ = w.clock.Sleep(ctx, time.Duration(w.random.Int64N(int64(faultPause))))
	}
	in.running.Wait()
}

// draw chooses a fault that lasts for a time.
func (in *injector) draw(d time.Duration) func() {
	w := in.world
	f := networkFaults[w.random.IntN(len(networkFaults))]
	daemon := w.daemons[w.random.IntN(len(w.daemons))]
	b := w.backends[w.random.IntN(len(w.backends))]
	switch w.random.IntN(10) {
	case 0:
		return func() { in.cutStore(f, d, daemon) }
	case 1:
		return func() { in.cutStore(f, d, w.daemons...) }
	case 2, 3:
		return func() { in.cutBackend(f, d, b) }
	case 4:
		return func() { in.pause(daemon, d) }
	case 5:
		return func() { in.replace(daemon, "kill", daemon.kill) }
	case 6:
		return func() { in.replace(daemon, "stop", daemon.stop) }
	case 7:
		return func() { w.note("reload"); daemon.signal(syscall.SIGHUP) }
	case 8:
		broken := storeFaults[w.random.IntN(len(storeFaults))]
		return func() { in.breakStore(broken.kind, broken.fault, d) }
	}
	step := 1 + w.random.IntN(mostVersionStep)
	return func() { in.operate(b, step, d) }
}

// cutStore makes the way of daemons to the store fail.
func (in *injector) cutStore(f fault, d time.Duration, daemons ...*process) {
	in.world.note("store-way-" + string(f))
	for _, daemon := range daemons {
		in.world.trouble(daemon.name, d+catchUpTime)
		daemon.store.set(f)
	}
	in.wait(d)
	for _, daemon := range daemons {
		daemon.store.set(faultNone)
	}
}

// cutBackend makes the way of all daemons to a backend server fail.
func (in *injector) cutBackend(f fault, d time.Duration, b *backend) {
	in.world.note("backend-way-" + string(f))
	b.proxy.set(f)
	in.wait(d)
	b.proxy.set(faultNone)
}

// pause makes a daemon stand still.
func (in *injector) pause(daemon *process, d time.Duration) {
	w := in.world
	if !in.acting[daemon.name].TryLock() {
		return
	}
	defer in.acting[daemon.name].Unlock()
	w.note("pause")
	w.trouble(daemon.name, d+catchUpTime)
	daemon.signal(syscall.SIGSTOP)
	in.wait(d)
	w.mu.Lock()
	w.thawed[daemon.name] = append(w.thawed[daemon.name], w.clock.Now())
	w.mu.Unlock()
	daemon.signal(syscall.SIGCONT)
}

// replace ends a daemon and starts it anew.
func (in *injector) replace(daemon *process, kind string, end func()) {
	if !in.acting[daemon.name].TryLock() {
		return
	}
	defer in.acting[daemon.name].Unlock()
	in.world.note(kind)
	in.world.trouble(daemon.name, grace+catchUpTime)
	end()
	daemon.start()
}

// breakStore makes the store itself fail for all, or forget its history.
func (in *injector) breakStore(kind string, f emulator.Fault, d time.Duration) {
	w := in.world
	for _, daemon := range w.daemons {
		w.trouble(daemon.name, d+catchUpTime)
	}
	w.note(kind)
	w.store.SetFault(func(*http.Request) emulator.Fault { return f })
	in.wait(d)
	w.store.Compact()
	w.store.SetFault(func(*http.Request) emulator.Fault { return emulator.FaultNone })
}

// operate is the operators' work: a key is replaced, and a backend server
// drains, is gone and comes back.
func (in *injector) operate(b *backend, step int, d time.Duration) {
	w := in.world
	w.note("operation")
	w.changeKey(step)
	w.register(b, "draining")
	in.wait(d / 2)
	w.store.Remove("servers", b.id)
	in.wait(d / 2)
	w.register(b, "ready")
}

// wait lets a fault last. Faults are seen to their end.
func (in *injector) wait(d time.Duration) {
	timer := in.world.clock.NewTimer(d)
	<-timer.C()
}
