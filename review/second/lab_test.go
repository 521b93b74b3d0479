package second

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"quincewinch/peer/system"
	"quincewinch/platform/emulator"
)

var clock = system.NewClock()

func sleep(d time.Duration) {
	_ = clock.Sleep(context.Background(), d) // fails only if the context ends
}

// must stops the case if one of its own steps fails.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// lab is a small deployment: the platform, backend servers and daemons as processes.
type lab struct {
	trouble   bool
	folder    string // temporary
	binary    string
	began     time.Time
	store     *emulator.Store
	duties    *http.Server
	dutiesAt  string
	daemons   []*daemon
	engines   []*engine
	recordMu  sync.Mutex
	record    *os.File
	keepsLogs bool
	oneCore   bool // daemons see one core, as on the machines of the deployment
}

// newLab reads the environment of a script: the program, the file of the record, and
// whether there is a disruption.
func newLab() (*lab, error) {
	l := &lab{trouble: os.Getenv("TROUBLE") != "0", binary: os.Getenv("REVIEW_PROGRAM"), began: clock.Now(), store: emulator.NewStore(), keepsLogs: os.Getenv("REVIEW_LOGS") != ""}
	if _, err := os.Stat(l.binary); err != nil {
		return nil, err
	}
	var err error
	if l.record, err = os.Create(os.Getenv("REVIEW_RECORD")); err != nil {
		return nil, err
	}
	if l.folder, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	return l, nil
}

// note writes a line of the record.
func (l *lab) note(format string, values ...any) {
	l.recordMu.Lock()
	defer l.recordMu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%8.3f  %s\n", clock.Now().Sub(l.began).Seconds(), fmt.Sprintf(format, values...))
}

// result writes what the case found, to the record and for who started it.
func (l *lab) result(format string, values ...any) {
	l.note(format, values...)
	_, _ = fmt.Fprintf(os.Stdout, format+"\n", values...)
}

// close ends all that the case started.
func (l *lab) close() {
	for _, d := range l.daemons {
		d.kill()
	}
	for _, e := range l.engines {
		e.crash()
	}
	if l.duties != nil {
		_ = l.duties.Close()
	}
	l.store.Close()
	if l.keepsLogs {
		fmt.Fprintln(os.Stderr, "logs in", l.folder)
	} else {
		_ = os.RemoveAll(l.folder) // what is left is in a temporary folder
	}
}

// longest is how long a case may take.
const longest = 116 * time.Second

// endWith ends all that the case started if it gets a signal, or takes too long.
func (l *lab) endWith(signals ...os.Signal) {
	got := make(chan os.Signal, 1)
	signal.Notify(got, signals...)
	go func() {
		select {
		case <-got:
		case <-clock.NewTimer(longest).C():
		}
		l.note("not run: ended early")
		l.close()
		os.Exit(int(notRun))
	}()
}

// listen listens at a free port.
func listen() (net.Listener, string) {
	listener, err := net.Listen("tcp4", host+":0")
	must(err)
	return listener, listener.Addr().String()
}

// host is a loopback address of this process, so that several may run at the same time.
var host = fmt.Sprintf("127.77.%d.%d", os.Getpid()/250%250, os.Getpid()%250+1)

// nextPort is the port to try next.
var nextPort = 21000

// freeAddresses returns addresses at which nothing listens. They lie below the ports that
// connections get, and none is given out twice.
func freeAddresses(n int) []string {
	var found []string
	for ; len(found) < n; nextPort++ {
		listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", host, nextPort))
		if err != nil {
			continue
		}
		found = append(found, listener.Addr().String())
		must(listener.Close())
	}
	return found
}

// daemon is one process of the system. It reaches the store at an address of its own, where
// the store may turn it away.
type daemon struct {
	lab        *lab
	name       string
	zone       string
	settings   string
	own        []string // addresses
	storeAt    string
	firstStart bool
	callers    string
	ready      string
	mu         sync.Mutex
	turnedAway bool
	calls      map[net.Conn]bool // connections to the store
	command    *exec.Cmd
}

// startDuties starts the platform's interface for reports and orders.
func (l *lab) startDuties(handler http.Handler) {
	listener, address := listen()
	l.duties = &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	l.dutiesAt = address
	go l.duties.Serve(listener) //nolint:errcheck // ends with the case
}

// addDaemons adds one daemon for each of the zones, and starts them.
func (l *lab) addDaemons(zones ...string) {
	addresses := freeAddresses(4 * len(zones))
	for i, zone := range zones {
		d := &daemon{lab: l, name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, calls: map[net.Conn]bool{}, firstStart: true}
		d.own = addresses[4*i : 4*i+4]
		d.callers, d.ready = d.own[0], d.own[1]
		var listener net.Listener
		listener, d.storeAt = listen()
		server := &http.Server{Handler: http.HandlerFunc(d.serveStore), ReadHeaderTimeout: 10 * time.Second, ConnState: d.storeConnection}
		go server.Serve(listener) //nolint:errcheck // ends with the case
		d.settings = filepath.Join(l.folder, d.name+".json")
		must(d.writeSettings())
		l.daemons = append(l.daemons, d)
	}
	for _, d := range l.daemons {
		d.start()
	}
}

// writeSettings renders the template of the deploy file with the figures of a small
// deployment, as at each start.
func (d *daemon) writeSettings() error {
	raw, err := json.MarshalIndent(map[string]any{
		"name": d.name, "zone": d.zone, "zones": []string{"a", "b", "c", "d"}, "first-start": d.firstStart,
		"callers":   map[string]any{"grace": "8s", "address": d.own[0]},
		"readiness": map[string]any{"address": d.own[1]},
		"daemons":   map[string]any{"address": d.own[2]},
		"metrics":   map[string]any{"address": d.own[3]},
		"store":     map[string]any{"notice": "3000ms", "leave": "2000ms", "address": d.storeAt},
		"duties":    map[string]any{"usage-window": "5s", "usage-latest": "10s", "address": d.lab.dutiesAt, "calls-a-second": 50, "usage": true, "supply": true},
		"lease":     map[string]any{"duration": "3000ms"},
		"retries":   map[string]any{"ratio": 0.2, "reserve": 54, "window": "10s"},
		"terms":     []string{"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "tenants", "leader", "platform"},
		"vm":        map[string]any{"descriptors": 4100, "memory-mb": 284},
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(d.settings, raw, 0o600)
}

func (d *daemon) start() {
	command := exec.Command(d.lab.binary, "entry")
	command.Env = append(os.Environ(), "QUINCEWINCH_CONFIG="+d.settings)
	if d.lab.oneCore {
		command.Env = append(command.Env, "GOMAXPROCS=1")
	}
	log, err := os.OpenFile(d.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	command.Stdout, command.Stderr = log, log
	must(command.Start())
	must(log.Close())
	d.command = command
	go func() {
		err := command.Wait()
		d.lab.note("process of %s ended: %v", d.name, err)
	}()
}

// kill ends the process, unless it has ended.
func (d *daemon) kill() {
	if d.command != nil {
		_ = d.command.Process.Signal(syscall.SIGKILL)
	}
}

// isReady asks the daemon as the platform does.
func (d *daemon) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + d.ready + "/quincewinch/readyz")
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (l *lab) awaitReady() {
	for _, d := range l.daemons {
		for tries := 0; !d.isReady(); tries++ {
			if tries == 100 {
				panic(d.name + " is not ready")
			}
			sleep(100 * time.Millisecond)
		}
	}
	l.note("%d daemons are ready", len(l.daemons))
}

// storeConnection keeps the connections of the daemon to the store.
func (d *daemon) storeConnection(c net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state {
	case http.StateNew:
		d.calls[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(d.calls, c)
	}
}

// turnAway makes the store turn the daemon away, with 503, or serve it again.
func (d *daemon) turnAway(away bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.turnedAway = away
	if away {
		for c := range d.calls {
			_ = c.Close() // calls that wait for changes end too
		}
	}
}

// serveStore serves the calls of the daemon to the store.
func (d *daemon) serveStore(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	away := d.turnedAway
	d.mu.Unlock()
	if away {
		w.Header().Set("Store-Era", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.lab.store.ServeHTTP(w, r)
}

func encode(body any) []byte {
	raw, err := json.Marshal(body)
	must(err)
	return raw
}
