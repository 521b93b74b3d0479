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
	// maxFaultPause is the upper bound of the time between the starts of two
	// faults. It is shorter than most faults, so that faults overlap.
	maxFaultPause = 800 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound the duration of a fault.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// maxDownTime is the upper bound of the time for which all daemons are down.
	maxDownTime = 2 * time.Second
	// catchUpTime is how long a daemon may lag behind the store after a fault.
	catchUpTime = 6 * time.Second
)

// networkFaults are the faults that a proxy can inject.
var networkFaults = []fault{faultDelay, faultReset, faultSilence, faultOneWay}

// cutFaults are the ways in which daemons lose their paths to all backend servers.
var cutFaults = []fault{faultSilence, faultReset, faultNoNew}

// storeFaults are the faults that the store itself can inject.
var storeFaults = []struct {
	kind  string
	fault emulator.Fault
}{
	{"store-refuses", emulator.FaultUnavailable},
	{"store-loses-answers", emulator.FaultLoseAnswer},
	{"store-silent", emulator.FaultHang},
}

// injector chooses and injects faults at random.
type injector struct {
	world       *world
	running     sync.WaitGroup
	daemonLocks map[string]*sync.Mutex // by daemon: held while it is paused or restarted
}

func newInjector(w *world) *injector {
	in := &injector{world: w, daemonLocks: map[string]*sync.Mutex{}}
	for _, d := range w.daemons {
		in.daemonLocks[d.name] = &sync.Mutex{}
	}
	return in
}

// run injects faults until ctx ends, and waits until all of them have ended.
func (in *injector) run(ctx context.Context) {
	w := in.world
	for ctx.Err() == nil {
		d := minFaultDuration + time.Duration(w.random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		inject := in.nextFault(d)
		in.running.Go(inject)
		// The only error is that ctx has ended, which ends the loop.
		_ = w.clock.Sleep(ctx, time.Duration(w.random.Int64N(int64(maxFaultPause))))
	}
	in.running.Wait()
}

// nextFault chooses a fault of duration d and returns the function that injects
// it.
func (in *injector) nextFault(d time.Duration) func() {
	w := in.world
	f := networkFaults[w.random.IntN(len(networkFaults))]
	daemon := w.daemons[w.random.IntN(len(w.daemons))]
	b := w.backends[w.random.IntN(len(w.backends))]
	switch w.random.IntN(11) {
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
		chosen := storeFaults[w.random.IntN(len(storeFaults))]
		return func() { in.failStore(chosen.kind, chosen.fault, d) }
	case 9:
		how, cut := cutFaults[w.random.IntN(len(cutFaults))], w.drawDaemons()
		return func() { in.cutOff(how, d, cut...) }
	}
	step := 1 + w.random.IntN(maxVersionStep)
	return func() { in.runOperation(b, step, d) }
}

// failStorePath injects a network fault between daemons and the store.
func (in *injector) failStorePath(f fault, d time.Duration, daemons ...*process) {
	in.world.countInjected("store-path-" + string(f))
	for _, daemon := range daemons {
		in.world.markSuspect(daemon.name, d+catchUpTime)
		daemon.storeProxy.setFault(f)
	}
	in.wait(d)
	for _, daemon := range daemons {
		daemon.storeProxy.setFault(faultNone)
	}
}

// failBackendPath injects a network fault between all daemons and a backend
// server.
func (in *injector) failBackendPath(f fault, d time.Duration, b *backend) {
	in.world.countInjected("backend-path-" + string(f))
	in.world.markSuspect(b.id, d+limitSpan)
	b.proxy.setFault(f)
	in.wait(d)
	b.proxy.setFault(faultNone)
}

// cutOff injects a network fault between daemons and all backend servers.
func (in *injector) cutOff(f fault, d time.Duration, daemons ...*process) {
	w := in.world
	w.countInjected("cut-off-" + string(f))
	for _, daemon := range daemons {
		w.markSuspect(processOf(daemon.name), d)
		for _, b := range w.backends {
			b.proxy.cut(daemon.name, f)
		}
	}
	in.wait(d)
	for _, daemon := range daemons {
		for _, b := range w.backends {
			b.proxy.cut(daemon.name, faultNone)
		}
	}
}

// pause suspends a daemon with SIGSTOP.
func (in *injector) pause(daemon *process, d time.Duration) {
	w := in.world
	if !in.daemonLocks[daemon.name].TryLock() {
		return
	}
	defer in.daemonLocks[daemon.name].Unlock()
	w.countInjected("pause")
	w.markSuspect(daemon.name, d+catchUpTime)
	w.markSuspect(processOf(daemon.name), d)
	daemon.signal(syscall.SIGSTOP)
	in.wait(d)
	w.mu.Lock()
	w.resumedAt[daemon.name] = append(w.resumedAt[daemon.name], w.clock.Now())
	w.mu.Unlock()
	daemon.signal(syscall.SIGCONT)
}

// restart ends a daemon and starts it again.
func (in *injector) restart(daemon *process, kind string, end func()) {
	if !in.daemonLocks[daemon.name].TryLock() {
		return
	}
	defer in.daemonLocks[daemon.name].Unlock()
	in.world.countInjected(kind)
	in.world.markSuspect(daemon.name, grace+catchUpTime)
	end()
	daemon.start()
	in.world.markSuspect(processOf(daemon.name), 0)
}

// loseAll kills all daemons at once, right after an operator's change has been
// acknowledged, and starts them again.
func (in *injector) loseAll() {
	w := in.world
	w.countInjected("kill-all")
	w.changeKey(1)
	for _, daemon := range w.daemons {
		w.markSuspect(daemon.name, grace+catchUpTime)
		daemon.signal(syscall.SIGKILL)
	}
	for _, daemon := range w.daemons {
		<-daemon.exited()
	}
	in.wait(time.Duration(w.random.Int64N(int64(maxDownTime))))
	for _, daemon := range w.daemons {
		daemon.start()
		w.markSuspect(processOf(daemon.name), 0)
	}
}

// failStore makes the store fail for all daemons, and then compacts its change
// history.
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

// runOperation does the work of an operator: it replaces the key, and drains,
// removes a backend server, which registers as a new process.
func (in *injector) runOperation(b *backend, step int, d time.Duration) {
	w := in.world
	w.countInjected("operation")
	w.changeKey(step)
	w.register(b, "draining")
	in.wait(d / 2)
	w.store.Remove("servers", b.id)
	in.wait(d / 2)
	b.started.Store(w.clock.Now().UnixMilli())
	w.register(b, "ready")
}

// wait waits for the duration of a fault. It is not interrupted when the run
// ends, so that every fault is undone.
func (in *injector) wait(d time.Duration) {
	timer := in.world.clock.NewTimer(d)
	<-timer.C()
}
