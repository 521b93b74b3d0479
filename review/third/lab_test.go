package third

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"quincewinch/peer/system"
	"quincewinch/platform/emulator"
)

// The bounds of a small deployment.
const (
	memoryMB    = 284
	descriptors = 4100
	// sampleInterval is the time between two looks at the memory of a process.
	sampleInterval = 50 * time.Millisecond
	// restartDelay is how long after its end a process is started again.
	restartDelay = 500 * time.Millisecond
	startTimeout = 15 * time.Second
)

// lab is a small deployment on loopback addresses: the platform with its store, backend
// servers, and daemons as separate processes.
type lab struct {
	ctx     context.Context
	cancel  context.CancelFunc
	clock   system.Clock
	began   time.Time
	folder  string
	store   *emulator.Store
	duties  *emulator.Duties
	servers []*http.Server
	address map[string]string // of the store and the duties
	daemons []*daemon

	mu     sync.Mutex
	record *os.File
}

func newLab(recordPath string) (*lab, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, errors.Trace(err)
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, errors.Trace(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	clock := system.NewClock()
	l := &lab{
		ctx: ctx, cancel: cancel, clock: clock, began: clock.Now(), folder: folder, record: record,
		store: emulator.NewStore(), duties: emulator.NewDuties(), address: map[string]string{},
	}
	for name, handler := range map[string]http.Handler{"store": l.store, "duties": l.duties} {
		address, err := l.serve(handler)
		if err != nil {
			return nil, err
		}
		l.address[name] = address
	}
	return l, nil
}

// serve serves a handler at a free loopback address until the lab is closed.
func (l *lab) serve(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Trace(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	l.servers = append(l.servers, server)
	go func() { _ = server.Serve(listener) }() // ends with the lab
	return listener.Addr().String(), nil
}

// close ends all processes that the lab has started.
func (l *lab) close() {
	l.cancel()
	for _, d := range l.daemons {
		d.end()
	}
	for _, server := range l.servers {
		_ = server.Close()
	}
	_ = os.RemoveAll(l.folder)
	_ = l.record.Close()
}

// note writes a line to the record.
func (l *lab) note(format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// A record that cannot be written is noticed by who reads it.
	_, _ = fmt.Fprintf(l.record, "%7.2f "+format+"\n", append([]any{l.clock.Now().Sub(l.began).Seconds()}, arguments...)...)
}

// sleep waits, or until the lab is closed.
func (l *lab) sleep(d time.Duration) {
	_ = l.clock.Sleep(l.ctx, d)
}

// put writes a row of the operator or of a backend server.
func (l *lab) put(table, key string, form any) error {
	raw, err := json.Marshal(form)
	if err != nil {
		return errors.Trace(err)
	}
	l.store.Put(table, key, raw)
	return nil
}

// register registers a backend server.
func (l *lab) register(id, service, address, zone string, more map[string]any) error {
	row := map[string]any{
		"service": service, "address": address, "zone": zone, "slots": 64, "state": "ready",
		"version": "1", "born": l.clock.Now().UnixMilli(), "sequence": 1, "cold_left_ms": 0,
	}
	for name, value := range more {
		row[name] = value
	}
	return l.put("servers", id, row)
}

// configuration is the operator's configuration of the routes and services, with one
// workspace.
func configuration(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{callerKey}, "priority": 1}},
	}
}

const (
	callerKey  = "3fexd9dnn2ctnfzs989a"
	callerHost = "ficu95.example"
)

// daemon is a daemon of the deployment on a machine with little memory. The platform ends
// a process that exceeds the memory, and starts it again.
type daemon struct {
	lab      *lab
	name     string
	zone     string
	callers  string
	settings string
	watched  sync.WaitGroup

	mu       sync.Mutex
	process  *os.Process
	peakMB   int
	overruns int // how often it exceeded the memory
	exits    int // how often it ended by itself
	killing  bool
}

// startDaemon starts a daemon and waits until it is ready.
func (l *lab) startDaemon(name, zone string) (*daemon, error) {
	var free []string
	for range 4 {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		free = append(free, address)
	}
	d := &daemon{lab: l, name: name, zone: zone, callers: free[0], settings: filepath.Join(l.folder, name+".json")}
	text := fmt.Sprintf(`{
  "name": %q, "zone": %q, "zones": ["pl-a", "pl-b", "pl-c", "pl-d"], "first-start": true,
  "callers": {"grace": "8s", "address": %q}, "readiness": {"address": %q}, "daemons": {"address": %q}, "metrics": {"address": %q},
  "store": {"notice": "3000ms", "leave": "2000ms", "address": %q},
  "duties": {"usage-window": "5s", "usage-latest": "10s", "address": %q, "calls-a-second": 50, "usage": true, "supply": true},
  "lease": {"duration": "3000ms"},
  "retries": {"ratio": 0.2, "reserve": 54, "window": "10s"},
  "terms": ["base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "tenants", "leader", "platform"],
  "vm": {"descriptors": %d, "memory-mb": %d}
}`, name, zone, free[0], free[1], free[2], free[3], l.address["store"], l.address["duties"], descriptors, memoryMB)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return nil, errors.Trace(err)
	}
	l.daemons = append(l.daemons, d)
	if err := d.start(); err != nil {
		return nil, err
	}
	return d, d.awaitReady(free[1])
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Trace(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	log, err := os.OpenFile(filepath.Join(d.lab.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Trace(err)
	}
	command := exec.Command("target/quincewinch", "entry")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "QUINCEWINCH_CONFIG=" + d.settings}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Trace(err)
	}
	d.mu.Lock()
	d.process = command.Process
	d.mu.Unlock()
	ended := make(chan struct{})
	d.watched.Go(func() {
		err := command.Wait()
		_ = log.Close()
		close(ended)
		d.ended(err)
	})
	d.watched.Go(func() { d.watchMemory(command.Process, ended) })
	return nil
}

// ended restarts a process that has ended while the lab is open.
func (d *daemon) ended(err error) {
	if d.lab.ctx.Err() != nil {
		return
	}
	d.mu.Lock()
	if !d.killing {
		d.exits++
	}
	d.killing = false
	d.mu.Unlock()
	d.lab.note("%s ended: %v", d.name, err)
	d.lab.sleep(restartDelay)
	if d.lab.ctx.Err() == nil {
		if err := d.start(); err != nil {
			d.lab.note("%s not started again: %v", d.name, err)
		}
	}
}

// watchMemory ends the process if it exceeds the memory of its machine, as the platform
// does.
func (d *daemon) watchMemory(process *os.Process, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		default:
		}
		resident := residentMB(process.Pid)
		d.mu.Lock()
		d.peakMB = max(d.peakMB, resident)
		over := resident > memoryMB
		if over {
			d.overruns++
			d.killing = true
		}
		d.mu.Unlock()
		if over {
			d.lab.note("%s exceeds the memory of its machine: %d MB of %d; the platform kills it", d.name, resident, memoryMB)
			_ = process.Kill()
			return
		}
		_ = d.lab.clock.Sleep(context.Background(), sampleInterval)
	}
}

// residentMB returns the resident memory of a process, 0 if it has ended.
func residentMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				return 0
			}
			return kilobytes >> 10
		}
	}
	return 0
}

// end ends the process for good. The lab must be closed.
func (d *daemon) end() {
	d.mu.Lock()
	process := d.process
	d.mu.Unlock()
	if process != nil {
		_ = process.Kill()
	}
	d.watched.Wait()
}

func (d *daemon) counts() (peakMB, overruns, exits int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peakMB, d.overruns, d.exits
}

// awaitReady waits until the process says that it is ready.
func (d *daemon) awaitReady(readiness string) error {
	deadline := d.lab.clock.Now().Add(startTimeout)
	for d.lab.clock.Now().Before(deadline) {
		response, err := http.Get("http://" + readiness + "/quincewinch/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		d.lab.sleep(sampleInterval)
	}
	return errors.Errorf("%s is not ready within %s", d.name, startTimeout)
}
