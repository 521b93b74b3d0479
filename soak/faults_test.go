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
	// maxFaultPause bounds the time between the starts of two faults; faults last
	// longer than that, so that they overlap.
	maxFaultPause = 800 * time.Millisecond
	// minFaultDuration and longestFault bound how long one lasts.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 4 * time.Second
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
	world       *world
	running     sync.WaitGroup
	daemonLocks map[string]*sync.Mutex // held while a daemon is paused or replaced
}

func newInjector(w *world) *injector {
	in := &injector{world: w, daemonLocks: map[string]*sync.Mutex{}}
	for _, d := range w.daemons {
		in.daemonLocks[d.name] = &sync.Mutex{}
	}
	return in
}

// run injects faults until ctx ends, and waits until all are over.
func (in *injector) run(ctx context.Context) {
	w := in.world
	for ctx.Err() == nil {
		d := minFaultDuration + time.Duration(w.random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		act := in.nextFault(d)
		in.running.Go(act)
		// Ends early only with the run.
		_ = w.clock.Sleep(ctx, time.Duration(w.random.Int64N(int64(maxFaultPause))))
	}
	in.running.Wait()
}

// nextFault chooses a fault that lasts for a time.
func (in *injector) nextFault(d time.Duration) func() {
	w := in.world
	f := networkFaults[w.random.IntN(len(networkFaults))]
	daemon := w.daemons[w.random.IntN(len(w.daemons))]
	b := w.backends[w.random.IntN(len(w.backends))]
	switch w.random.IntN(10) {
	case 0:
		return func() { in.failStorePath(f, d, daemon) }
	case 1:
		return func() { in.failStorePath(f, d, w.daemons...) }
	case 2, 3:
		return func() { in.failBackendPath(f, d, b) }
	case 4:
		return func() { in.pause(daemon, d) }
	case 5:
		return func() { in.restart(daemon, "kill", daemon.kill) }
	case 6:
		return func() { in.restart(daemon, "stop", daemon.stop) }
	case 7:
		return func() { w.countInjected("reload"); daemon.signal(syscall.SIGHUP) }
	case 8:
		broken := storeFaults[w.random.IntN(len(storeFaults))]
		return func() { in.failStore(broken.kind, broken.fault, d) }
	}
	step := 1 + w.random.IntN(maxVersionStep)
	return func() { in.runOperation(b, step, d) }
}

// failStorePath makes the way of daemons to the store fail.
func (in *injector) failStorePath(f fault, d time.Duration, daemons ...*process) {
	in.world.countInjected("store-way-" + string(f))
	for _, daemon := range daemons {
		in.world.markSuspect(daemon.name, d+catchUpTime)
		daemon.storeProxy.setFault(f)
	}
	in.wait(d)
	for _, daemon := range daemons {
		daemon.storeProxy.setFault(faultNone)
	}
}

// failBackendPath makes the way of all daemons to a backend server fail.
func (in *injector) failBackendPath(f fault, d time.Duration, b *backend) {
	in.world.countInjected("backend-way-" + string(f))
	b.proxy.setFault(f)
	in.wait(d)
	b.proxy.setFault(faultNone)
}

// pause makes a daemon stand still.
func (in *injector) pause(daemon *process, d time.Duration) {
	w := in.world
	if !in.daemonLocks[daemon.name].TryLock() {
		return
	}
	defer in.daemonLocks[daemon.name].Unlock()
	w.countInjected("pause")
	w.markSuspect(daemon.name, d+catchUpTime)
	daemon.signal(syscall.SIGSTOP)
	in.wait(d)
	w.mu.Lock()
	w.resumedAt[daemon.name] = append(w.resumedAt[daemon.name], w.clock.Now())
	w.mu.Unlock()
	daemon.signal(syscall.SIGCONT)
}

// restart ends a daemon and starts it anew.
func (in *injector) restart(daemon *process, kind string, end func()) {
	if !in.daemonLocks[daemon.name].TryLock() {
		return
	}
	defer in.daemonLocks[daemon.name].Unlock()
	in.world.countInjected(kind)
	in.world.markSuspect(daemon.name, grace+catchUpTime)
	end()
	daemon.start()
}

// failStore makes the store itself fail for all, or forget its history.
func (in *injector) failStore(kind string, f emulator.Fault, d time.Duration) {
	w := in.world
	for _, daemon := range w.daemons {
		w.markSuspect(daemon.name, d+catchUpTime)
	}
	w.countInjected(kind)
	w.store.SetFault(func(*http.Request) emulator.Fault { return f })
	in.wait(d)
	w.store.Compact()
	w.store.SetFault(func(*http.Request) emulator.Fault { return emulator.FaultNone })
}

// runOperation is the operators' work: a key is replaced, and a backend server
// drains, is gone and comes back.
func (in *injector) runOperation(b *backend, step int, d time.Duration) {
	w := in.world
	w.countInjected("operation")
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
