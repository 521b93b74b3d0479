package review

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"quincewinch/peer/system"
	"quincewinch/platform/emulator"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	Failed = 2
)

const (
	// Contact is contact_ms of the small deployments.
	Contact = 3 * time.Second
	// inTouchMargin is added to Contact, so that a machine is counted as in touch a
	// little later than the rules do.
	inTouchMargin = 300 * time.Millisecond
	// maxLength is how long a case may take.
	maxLength = 115 * time.Second
	// readyInterval is the time between two questions of the platform for readiness.
	readyInterval = time.Second
	// readyMisses is the number of questions without a 200 that take a machine out.
	readyMisses = 2
)

// zones are those of the deployment.
var zones = []string{"pl-a", "pl-b", "pl-c", "pl-d"}

// Clock is the clock of all stand-ins.
var Clock = system.NewClock()

// Trouble reports whether the disruption of a case is to be played.
func Trouble() bool {
	return os.Getenv("TROUBLE") != "0"
}

// Lab is a small deployment: daemons, the platform and a record of what was seen.
type Lab struct {
	Store   *emulator.Store
	Duties  *emulator.Duties
	Daemons []*Daemon

	directory string
	begun     time.Time
	servers   []*httptest.Server
	stop      context.CancelFunc

	mu     sync.Mutex
	record *os.File
}

// New returns a lab that writes its record to a file. It has no daemons.
func New(record string) (*Lab, error) {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, errors.Trace(err)
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, errors.Trace(err)
	}
	l := &Lab{Store: emulator.NewStore(), Duties: emulator.NewDuties(), directory: directory, record: file, begun: Clock.Now()}
	l.servers = []*httptest.Server{httptest.NewServer(l.Store), httptest.NewServer(l.Duties)}
	go l.endInTime()
	return l, nil
}

// endInTime ends the case, and all processes, if it is told to or takes too long.
func (l *Lab) endInTime() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	_ = Clock.Sleep(ctx, maxLength) // fails if a signal comes
	l.Logf("verdict: could not run to its end")
	l.Close()
	os.Exit(Failed)
}

// Since returns the time since the case began.
func (l *Lab) Since(at time.Time) time.Duration {
	return at.Sub(l.begun)
}

// Logf writes a line to the record.
func (l *Lab) Logf(format string, values ...any) {
	at := Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	// A record that cannot be written shows by its missing verdict.
	_, _ = fmt.Fprintf(l.record, "%8.3f "+format+"\n", append([]any{l.Since(at).Seconds()}, values...)...)
}

// Put writes a row of the store, as an operator or a backend server does.
func (l *Lab) Put(table, key string, row any) {
	raw, err := json.Marshal(row)
	if err != nil {
		panic(err) // the rows are literals
	}
	l.Store.Put(table, key, raw)
}

// Start starts daemons in four zones, and waits until all are ready.
func (l *Lab) Start(count int) error {
	for i := range count {
		d, err := l.newDaemon(fmt.Sprintf("front-%d", i+1), zones[i%len(zones)])
		if err != nil {
			return err
		}
		l.mu.Lock()
		l.Daemons = append(l.Daemons, d)
		l.mu.Unlock()
		if err := d.Start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	for _, d := range l.Daemons {
		go d.watchReadiness(ctx)
	}
	for range 200 {
		if len(l.Ready()) == count {
			return nil
		}
		Sleep(50 * time.Millisecond)
	}
	return errors.Timeoutf("daemons are not ready: start")
}

// KillAll kills all processes at the same moment after some time, and starts them again.
func (l *Lab) KillAll(after, downTime time.Duration) {
	Sleep(after)
	l.Logf("all processes are killed")
	for _, d := range l.Daemons {
		d.Signal(syscall.SIGKILL)
	}
	for _, d := range l.Daemons {
		d.Kill()
	}
	Sleep(downTime)
	for _, d := range l.Daemons {
		if err := d.Start(); err != nil {
			l.Logf("cannot start: %v", err)
		}
	}
}

// Ready returns the daemons that the platform forwards connections to.
func (l *Lab) Ready() []*Daemon {
	var ready []*Daemon
	for _, d := range l.Daemons {
		if d.isReady() {
			ready = append(ready, d)
		}
	}
	return ready
}

// Pick returns a daemon for a new connection, as the platform does.
func (l *Lab) Pick(n int) *Daemon {
	ready := l.Ready()
	if len(ready) == 0 {
		ready = l.Daemons
	}
	return ready[n%len(ready)]
}

// Close ends all processes and the record.
func (l *Lab) Close() {
	if l.stop != nil {
		l.stop()
	}
	l.mu.Lock()
	daemons := l.Daemons
	l.mu.Unlock()
	for _, d := range daemons {
		d.Kill()
	}
	for _, s := range l.servers {
		s.CloseClientConnections()
		_ = s.Listener.Close()
	}
	l.Store.Close()
	_ = l.record.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(l.directory)
	} else {
		_, _ = fmt.Fprintln(os.Stderr, l.directory)
	}
}

// Sleep waits.
func Sleep(d time.Duration) {
	// It fails only if its context ends.
	_ = Clock.Sleep(context.Background(), d)
}

// Daemon is an entry daemon, a process.
type Daemon struct {
	Name    string
	Address string // for callers

	lab       *Lab
	readiness string
	settings  string

	mu        sync.Mutex
	command   *exec.Cmd
	ended     chan struct{}
	startedAt time.Time // zero while it does not run
	misses    int
}

func (l *Lab) newDaemon(name, zone string) (*Daemon, error) {
	addresses, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	d := &Daemon{Name: name, Address: addresses[0], lab: l, readiness: addresses[1], misses: readyMisses}
	// As deploy/entry.json.tmpl gives it for the bounds of tvt-catalogue.
	settings := map[string]any{
		"name": name, "zone": zone, "zones": zones,
		"callers":   map[string]any{"grace": "8s", "address": d.Address},
		"readiness": map[string]any{"address": d.readiness},
		"daemons":   map[string]any{"address": addresses[2]},
		"metrics":   map[string]any{"address": addresses[3]},
		"store":     map[string]any{"notice": "3000ms", "leave": "2000ms", "address": l.servers[0].Listener.Addr().String()},
		"duties": map[string]any{
			"usage-window": "5s", "usage-latest": "10s", "address": l.servers[1].Listener.Addr().String(),
			"calls-a-second": 50, "usage": true, "supply": true,
		},
		"lease":   map[string]any{"duration": "3000ms"},
		"retries": map[string]any{"ratio": 0.2, "reserve": 54, "window": "10s"},
	}
	raw, err := json.MarshalIndent(settings, "", " ")
	if err != nil {
		return nil, errors.Trace(err)
	}
	d.settings = filepath.Join(l.directory, name+".json")
	return d, errors.Trace(os.WriteFile(d.settings, raw, 0o600))
}

// The ports of daemons lie below the range of ephemeral ports, so that a restarted daemon
// finds its port still free.
const (
	firstPort = 20000
	lastPort  = 32000
)

var nextPort = firstPort + rand.IntN(lastPort-firstPort)

// freeAddresses returns loopback addresses with ports that nothing listens at.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range lastPort - firstPort {
		if len(addresses) == count {
			return addresses, nil
		}
		nextPort = firstPort + (nextPort+1-firstPort)%(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue // in use
		}
		if err := listener.Close(); err != nil {
			return nil, errors.Trace(err)
		}
		addresses = append(addresses, address)
	}
	return nil, errors.NotFoundf("free ports")
}

// Start runs the daemon as the deploy file says.
func (d *Daemon) Start() error {
	log, err := os.OpenFile(d.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Trace(err)
	}
	command := exec.Command("target/quincewinch", "entry")
	command.Env = append(os.Environ(), "QUINCEWINCH_CONFIG="+d.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Trace(err)
	}
	ended := make(chan struct{})
	d.mu.Lock()
	d.command, d.ended, d.startedAt = command, ended, Clock.Now()
	d.mu.Unlock()
	d.lab.Logf("%s started, process %d", d.Name, command.Process.Pid)
	go func() {
		err := command.Wait()
		_ = log.Close()
		d.mu.Lock()
		if d.command == command {
			d.startedAt = time.Time{}
		}
		d.mu.Unlock()
		d.lab.Logf("%s ended: %v", d.Name, err)
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process.
func (d *Daemon) Signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command != nil {
		_ = d.command.Process.Signal(s) // it may have ended
	}
}

// Kill ends the process and waits for its end.
func (d *Daemon) Kill() {
	d.Signal(syscall.SIGKILL)
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// InTouch reports whether the daemon has run undisturbed for contact_ms. In these
// cases nothing but kills and starts disturbs it.
func (d *Daemon) InTouch() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.startedAt.IsZero() && Clock.Now().Sub(d.startedAt) > Contact+inTouchMargin
}

func (d *Daemon) isReady() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.misses < readyMisses
}

func (d *Daemon) watchReadiness(ctx context.Context) {
	client := &http.Client{Timeout: readyInterval}
	for ctx.Err() == nil {
		ok := false
		if response, err := client.Get("http://" + d.readiness + "/quincewinch/readyz"); err == nil {
			ok = response.StatusCode == http.StatusOK
			response.Body.Close()
		}
		d.mu.Lock()
		if ok {
			d.misses = 0
		} else {
			d.misses++
		}
		d.mu.Unlock()
		pause := readyInterval
		if d.lab.Since(Clock.Now()) < 3*readyInterval {
			pause = readyInterval / 20 // the start of the case
		}
		Sleep(pause)
	}
}
