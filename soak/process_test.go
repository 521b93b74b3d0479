package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"quincewinch/peer/system"
)

// grace is how long a daemon may take to exit after SIGTERM.
const grace = 4 * time.Second

// process is one daemon. It can be ended and started again.
type process struct {
	t             *testing.T
	binary        string
	name          string
	settings      string               // path of the settings file
	callerAddress string               // address at which it serves callers
	storeProxy    *proxy               // proxy between the daemon and the store
	stalled       func() time.Duration // returns how long the machine has stalled so far

	mu            sync.Mutex
	command       *exec.Cmd
	ended         chan struct{} // closed when the running process has exited
	stopRequested bool          // a signal to end was sent
	failures      []string      // recorded while it ran
}

// newProcess returns a daemon that has not been started.
func newProcess(t *testing.T, binary, name, zone, store, duties string, stalled func() time.Duration) *process {
	t.Helper()
	p := &process{t: t, binary: binary, name: name, callerAddress: freeAddress(t), storeProxy: newProxy(t, store), stalled: stalled}
	settings := fmt.Sprintf(`{
	"name": %q, "zone": %q, "zones": ["a", "b"],
	"callers": {"address": %q, "grace": %q},
	"readiness": {"address": %q}, "daemons": {"address": %q}, "metrics": {"address": %q},
	"store": {"address": %q, "notice": "3s"},
	"duties": {"address": %q, "usage": true, "usage-window": "1s", "usage-latest": "4s"},
	"lease": {"duration": %q},
	"retries": {"ratio": %g, "window": %q, "reserve": %d}
}`, name, zone, p.callerAddress, grace, freeAddress(t), freeAddress(t), freeAddress(t), p.storeProxy.address(), duties, leaseTime, retryRatio, retryWindow, retryReserve)
	p.settings = filepath.Join(t.TempDir(), name+".json")
	if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	return p
}

// start runs the daemon.
func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	command := exec.Command(p.binary, "entry", "--settings", p.settings)
	log, err := os.OpenFile(p.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Error(err)
		return
	}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		p.t.Error(err)
		return
	}
	ended := make(chan struct{})
	p.command, p.ended, p.stopRequested = command, ended, false
	go func() {
		err := errors.Join(command.Wait(), log.Close())
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.stopRequested {
			p.failures = append(p.failures, fmt.Sprintf("%s exited unexpectedly: %v", p.name, err))
		}
		close(ended)
	}()
}

// pid returns the ID of the process that was started last; ok is false before the first.
func (p *process) pid() (id int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0, false
	}
	return p.command.Process.Pid, true
}

// signal sends a signal to the running process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.stopRequested = true
	}
	// An error means that the process has already exited.
	_ = p.command.Process.Signal(s)
}

// kill sends SIGKILL to the process and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited()
}

// stop sends SIGTERM, as for planned maintenance. If the process has not exited
// after the grace time, extended by any stall of the machine, stop records a
// failure and kills it.
func (p *process) stop() {
	stalled := p.stalled()
	p.signal(syscall.SIGTERM)
	if p.exitsWithin(grace) || p.exitsWithin(p.stalled()-stalled) {
		return
	}
	p.mu.Lock()
	p.failures = append(p.failures, p.name+" did not exit within its grace time")
	p.mu.Unlock()
	p.kill()
}

// exitsWithin reports whether the process exits within d.
func (p *process) exitsWithin(d time.Duration) bool {
	timer := system.NewClock().NewTimer(d)
	defer timer.Stop()
	select {
	case <-p.exited():
		return true
	case <-timer.C():
		return false
	}
}

func (p *process) exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

func (p *process) recordedFailures() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.failures...)
}

// The ports of daemons lie below the range of ephemeral ports, so that a
// restarted daemon finds its port still free. Each port is used once.
const (
	firstPort = 20000
	lastPort  = 32000
)

var nextPort = firstPort + rand.IntN(lastPort-firstPort)

// freeAddress returns an address with a free port.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range lastPort - firstPort {
		nextPort = firstPort + (nextPort+1-firstPort)%(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue // in use
		}
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
		return address
	}
	t.Fatal("no free port")
	return ""
}
