// Package crowd runs one daemon as a process, on a VM with little memory and few
// descriptors, against callers and backend servers that keep to no limits.
package crowd

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/peer/system"
	"quincewinch/platform/emulator"
)

// The VM of a daemon. Its memory is that of the smallest VM that the daemon is run on;
// the process is told by the environment and by its descriptor limit.
const (
	vmMemoryBytes = 144 << 20
	vmDescriptors = 512
	// maxDescriptors leaves a daemon some for its calls to the store and to backend
	// servers.
	maxDescriptors = 448
)

// Limits of callers in the configuration that the daemon reads.
const (
	maxBodyBytes   = 4 << 20
	maxHeaderBytes = 16 << 10
)

// Keys of two workspaces.
const (
	ordinaryKey = "key-of-ordinary-callers"
	crowdKey    = "key-of-the-crowd"
)

const (
	// hangTimeout is how long a test waits before it takes the daemon to hang.
	hangTimeout = 2 * time.Minute
	// sampleInterval is the time between two looks at the process.
	sampleInterval = 50 * time.Millisecond
	// settledSamples is the number of equal samples after which nothing goes on.
	settledSamples = 20
)

// daemon is a running process.
type daemon struct {
	command  *exec.Cmd
	callers  string // address
	metrics  string // address
	logs     string // path
	ended    chan struct{}
	backends *backends

	mu              sync.Mutex
	mostDescriptors int // at any look since the start
}

// startDaemon runs a daemon until the test ends, and waits until it serves.
func startDaemon(t *testing.T) *daemon {
	t.Helper()
	d := &daemon{callers: freeAddress(t), metrics: freeAddress(t), ended: make(chan struct{}), backends: newBackends(t)}
	store := httptest.NewServer(newStore(t, d.backends))
	t.Cleanup(store.CloseClientConnections)
	settings := filepath.Join(t.TempDir(), "settings.json")
	d.logs = settings + ".log"
	write(t, settings, fmt.Sprintf(`{
	"name": "vm-0", "zone": "a", "zones": ["a"], "first-start": true,
	"callers": {"address": %q}, "readiness": {"address": %q}, "daemons": {"address": %q}, "metrics": {"address": %q},
	"store": {"address": %q}, "retries": {"ratio": 0.2, "window": "10s", "reserve": 20}
}`, d.callers, freeAddress(t), freeAddress(t), d.metrics, store.Listener.Addr()))
	limited := fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, vmDescriptors)
	d.command = exec.Command("sh", "-c", limited, binary, "entry", "--settings", settings)
	d.command.Env = append(os.Environ(), fmt.Sprintf("GOMEMLIMIT=%d", vmMemoryBytes))
	log, err := os.Create(d.logs)
	if err != nil {
		t.Fatal(err)
	}
	d.command.Stdout, d.command.Stderr = log, log
	if err := d.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = d.command.Wait() // the state says how it ended
		_ = log.Close()
		close(d.ended)
	}()
	t.Cleanup(d.kill)
	go d.watchDescriptors(t.Context())
	d.answersOrdinary(t)
	return d
}

// binary is the path of the program.
var binary string

// TestMain builds the program once for all tests.
func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	directory, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	binary = filepath.Join(directory, "quincewinch")
	if output, err := exec.Command("go", "build", "-o", binary, "quincewinch").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "cannot build the program: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

func (d *daemon) kill() {
	_ = d.command.Process.Kill() // fails if it has ended
	<-d.ended
}

func (d *daemon) lives() bool {
	select {
	case <-d.ended:
		return false
	default:
		return true
	}
}

// endures checks, while a crowd stands, that the daemon lives within its VM, answers an
// ordinary request, and still does so once the crowd has gone.
func (d *daemon) endures(t *testing.T, c *crowd) {
	t.Helper()
	is := is.New(t)
	d.settle(t)
	d.answersOrdinary(t)
	c.leave()
	d.backends.release()
	d.answersOrdinary(t)
	is.True(d.lives())
	peak, descriptors := d.peakMemory(t), d.peakDescriptors()
	t.Logf("peak %d MiB, %d descriptors, crowd: %s", peak>>20, descriptors, c.outcome())
	is.True(peak < vmMemoryBytes)          // the peak of the memory, within the VM's
	is.True(descriptors <= maxDescriptors) // the peak of open descriptors
	if t.Failed() {
		tail, err := exec.Command("tail", "-n", "5", d.logs).Output()
		is.NoErr(err)
		t.Logf("end of the log:\n%s", tail)
	}
}

// settle waits until memory and descriptors stay the same, or for hangTimeout.
func (d *daemon) settle(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), hangTimeout)
	defer cancel()
	before, same := "", 0
	for same < settledSamples && d.lives() {
		now := fmt.Sprint(d.peakMemory(t), d.descriptors())
		if now != before {
			before, same = now, 0
		}
		same++
		if system.NewClock().Sleep(ctx, sampleInterval) != nil {
			return
		}
	}
}

// peakMemory returns the peak of the process's resident memory in bytes, 0 if it has
// ended.
func (d *daemon) peakMemory(t *testing.T) int {
	t.Helper()
	status, err := os.Open(fmt.Sprintf("/proc/%d/status", d.command.Process.Pid))
	if err != nil {
		return 0
	}
	defer func() { _ = status.Close() }()
	lines := bufio.NewScanner(status)
	for lines.Scan() {
		value, ok := strings.CutPrefix(lines.Text(), "VmHWM:")
		if !ok {
			continue
		}
		kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(value, "kB")))
		if err != nil {
			t.Fatal(err)
		}
		return kilobytes << 10
	}
	return 0
}

// descriptors returns the number of descriptors that the process has open.
func (d *daemon) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.command.Process.Pid))
	if err != nil {
		return 0 // it has ended
	}
	return len(entries)
}

// watchDescriptors follows the number of descriptors until ctx or the process ends.
func (d *daemon) watchDescriptors(ctx context.Context) {
	for d.lives() && system.NewClock().Sleep(ctx, sampleInterval) == nil {
		now := d.descriptors()
		d.mu.Lock()
		d.mostDescriptors = max(d.mostDescriptors, now)
		d.mu.Unlock()
	}
}

func (d *daemon) peakDescriptors() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mostDescriptors
}

// newStore returns a store with the configuration and the registrations of backends.
func newStore(t *testing.T, b *backends) *emulator.Store {
	t.Helper()
	store := emulator.NewStore()
	route := func(name string) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "prefix": "/" + name + "/", "kind": "idempotent",
			"service": name, "attempts": 1, "timeout_ms": 30000,
		}
	}
	var routes, services []any
	for name, address := range b.addresses {
		routes = append(routes, route(name))
		services = append(services, map[string]any{"name": name, "max_connections": 2000})
		store.Put("servers", name, encode(t, map[string]any{
			"service": name, "address": address, "zone": "a", "slots": 2000, "state": "ready", "born": 1,
		}))
	}
	store.Put("op", "config", encode(t, map[string]any{
		"version": 1, "routes": routes, "services": services,
		"limits": map[string]any{"max_body_bytes": maxBodyBytes, "max_header_bytes": maxHeaderBytes, "header_timeout_ms": 10000, "idle_timeout_ms": 60000},
		"tenants": []any{
			map[string]any{"name": "ordinary", "api_keys": []any{ordinaryKey}},
			map[string]any{"name": "crowd", "api_keys": []any{crowdKey}},
		},
	}))
	return store
}

func encode(t *testing.T, body any) []byte {
	t.Helper()
	raw, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// The ports of daemons lie below the range of ephemeral ports, so that no connection
// takes them. Each is used once.
const (
	firstPort = 13000
	lastPort  = 19000
)

var nextPort = firstPort + os.Getpid()%(lastPort-firstPort)

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
