package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"quincewinch/config"
	"quincewinch/entry"
	"quincewinch/peer/system"
	"quincewinch/platform/emulator"
	"quincewinch/standin/silence"
)

const (
	// contactTime is how long a partition may last before it must not matter any more
	// to callers.
	contactTime = 3 * time.Second
	// cutTime is how long daemons are cut off from backend servers.
	cutTime = 7 * time.Second
	// warmUpTime is how long requests are sent before daemons are cut off.
	warmUpTime = 2 * time.Second
	// requestInterval is the time between two requests to one daemon.
	requestInterval = 40 * time.Millisecond
	// callerTimeout is how long a caller waits for an answer.
	callerTimeout = 2 * time.Second
	// backendWorkTime is how long a backend server works on a request.
	backendWorkTime = 15 * time.Millisecond
	// requestsPerConnection is after how many requests a backend server closes a
	// connection.
	requestsPerConnection = 10
)

// attempt is one request of a caller, which is not repeated.
type attempt struct {
	daemon string
	sentAt time.Time
	status int // 0: no answer, or an incomplete one
}

// cutOffFleet is a deployment of two zones with callers at each daemon.
type cutOffFleet struct {
	t         *testing.T
	is        *is.I
	clock     interface{ Now() time.Time }
	store     *emulator.Store
	partition *partition
	addresses map[string]string // for callers, by daemon

	mu       sync.Mutex
	attempts []attempt
}

func newCutOffFleet(t *testing.T) *cutOffFleet {
	t.Helper()
	f := &cutOffFleet{
		t: t, is: is.New(t), clock: system.NewClock(), store: emulator.NewStore(),
		partition: newPartition(t), addresses: map[string]string{},
	}
	for i := range 4 {
		f.startBackend(fmt.Sprintf("engine-%d", i), "llm", zoneOf(i), &emulator.Server{Events: 3})
	}
	for i := range 2 {
		f.startBackend(fmt.Sprintf("plain-%d", i), "desk", zoneOf(i), &emulator.Server{})
	}
	f.configure()
	store := httptest.NewServer(f.store)
	t.Cleanup(store.Close)
	for i := range 4 {
		f.startDaemon(fmt.Sprintf("vm-%d", i), zoneOf(i), store.Listener.Addr().String())
	}
	return f
}

// zoneOf returns the zone of a numbered daemon or backend server.
func zoneOf(i int) string {
	return string(rune('a' + i%2))
}

func (f *cutOffFleet) startBackend(id, service, zone string, server *emulator.Server) {
	server.ID = id
	listening := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Context().Value(servedKey{}).(*atomic.Int64).Add(1) >= requestsPerConnection {
			w.Header().Set("Connection", "close")
		}
		timer := system.NewClock().NewTimer(backendWorkTime)
		<-timer.C()
		server.ServeHTTP(w, r)
	}))
	f.is.NoErr(listening.Listener.Close())
	listener, err := silence.Listen(f.t.Context())
	f.is.NoErr(err)
	listening.Listener = listener
	listening.Config.ConnState = f.partition.watch
	listening.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, servedKey{}, &atomic.Int64{})
	}
	listening.Start()
	f.t.Cleanup(listening.Close)
	row := map[string]any{
		"service": service, "address": listening.Listener.Addr().String(), "zone": zone, "slots": 32, "state": "ready", "version": "v1",
	}
	if server.Events > 0 {
		row["stage"] = "decode"
	}
	f.put("servers", id, row)
}

// servedKey is the context key of the number of requests that a connection has served.
type servedKey struct{}

func (f *cutOffFleet) put(table, key string, row map[string]any) {
	raw, err := json.Marshal(row)
	f.is.NoErr(err)
	f.store.Put(table, key, raw)
}

func (f *cutOffFleet) configure() {
	route := func(name, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "prefix": "/" + name + "/", "kind": kind, "service": service,
			"attempts": attempts, "timeout_ms": callerTimeout.Milliseconds(), "resumable": kind == "stream",
		}
	}
	f.put("op", "config", map[string]any{
		"version": 1,
		"routes": []any{
			route("draft", "stream", "llm", 3),
			route("reserve", "non_idempotent", "desk", 2),
			route("lookup", "idempotent", "desk", 3),
		},
		"services": []any{
			map[string]any{"name": "llm", "max_connections": 200, "engine": map[string]any{"slots": 32, "kv_capacity": 100000}},
			map[string]any{"name": "desk", "max_connections": 200},
		},
		"limits":  map[string]any{"max_body_bytes": 1000},
		"tenants": []any{map[string]any{"name": "sales", "api_keys": []any{"key-1"}}},
	})
}

func (f *cutOffFleet) startDaemon(name, zone, store string) {
	f.addresses[name] = freeAddress(f.t)
	parsed, err := config.ParseEntry([]byte(fmt.Sprintf(`{"name": %q, "zone": %q, "zones": ["a", "b"], "first-start": true,
		"callers": {"address": %q, "grace": "200ms"}, "readiness": {"address": %q}, "daemons": {"address": %q},
		"metrics": {"address": %q}, "store": {"address": %q, "notice": "3s"}}`,
		name, zone, f.addresses[name], freeAddress(f.t), freeAddress(f.t), freeAddress(f.t), store)))
	f.is.NoErr(err)
	daemon := entry.New(parsed, zap.NewNop(), system.NewClock(), system.NewWallClock(), func() int64 { return 0 })
	daemon.WrapUpstreamDial(f.partition.wrapDial(name))
	f.is.NoErr(daemon.Start(f.t.Context()))
	f.t.Cleanup(func() { daemon.Stop(context.Background()) })
	for !daemon.Ready() {
		f.wait(requestInterval)
	}
}

func (f *cutOffFleet) wait(d time.Duration) {
	timer := system.NewClock().NewTimer(d)
	<-timer.C()
}

// call sends requests to all daemons at a steady rate until ctx ends, and waits for
// their answers.
func (f *cutOffFleet) call(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	defer client.CloseIdleConnections()
	var calling sync.WaitGroup
	routes := []string{"draft", "reserve", "lookup"}
	for i := 0; ctx.Err() == nil; i++ {
		for name, address := range f.addresses {
			calling.Go(func() { f.send(client, name, address, routes[i%len(routes)], fmt.Sprintf("%s-%d", name, i)) })
		}
		f.wait(requestInterval)
	}
	calling.Wait()
}

func (f *cutOffFleet) send(client *http.Client, daemon, address, route, id string) {
	result := attempt{daemon: daemon, sentAt: f.clock.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/"+route+"/x", strings.NewReader("body of "+id))
	f.is.NoErr(err)
	request.GetBody = nil // without it, the transport cannot repeat the request
	request.Host = "h.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("X-Api-Key", "key-1")
	request.Header.Set("Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	if route == "draft" {
		request.Header.Set("Prompt-Prefix", "a:100,b:10")
		request.Header.Set("Token-Count", "110,20")
	}
	if answer, err := client.Do(request); err == nil {
		if _, err := io.Copy(io.Discard, answer.Body); err == nil {
			result.status = answer.StatusCode
		}
		answer.Body.Close()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts = append(f.attempts, result)
}

// share counts requests and those that were served.
type share struct {
	served, sent int
}

// count counts the requests sent in a period, to the given daemons and to the others.
func (f *cutOffFleet) count(from, to time.Time, cutOff map[string]bool) (there, others share) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.attempts {
		if a.sentAt.Before(from) || a.sentAt.After(to) {
			continue
		}
		counted := &others
		if cutOff[a.daemon] {
			counted = &there
		}
		counted.sent++
		if a.status == http.StatusOK {
			counted.served++
		}
	}
	return there, others
}

// checkServed checks that callers of the daemons that are cut off are served about as
// often as those of the others.
func checkServed(t *testing.T, there, others share) {
	t.Helper()
	is := is.New(t)
	is.True(there.sent > 0 && others.served > 0)
	worse := 3*there.served*others.sent < 2*others.served*there.sent
	sent := there.sent + others.sent
	failed := sent - there.served - others.served
	is.True(!worse || failed <= 10+sent/50) // callers of daemons that are cut off are served
}

func TestDaemonsCutOffFromBackendServersAreServed(t *testing.T) {
	t.Parallel()
	for _, how := range []outage{outageHang, outageReset, outageRefuseNew} {
		t.Run(string(how), func(t *testing.T) {
			t.Parallel()
			f := newCutOffFleet(t)
			ctx, stop := context.WithCancel(t.Context())
			var calling sync.WaitGroup
			calling.Go(func() { f.call(ctx) })
			f.wait(warmUpTime)
			cutOff := map[string]bool{"vm-0": true, "vm-2": true} // all of zone a
			began := f.clock.Now()
			f.partition.cut(how, "vm-0", "vm-2")
			f.wait(cutTime)
			ended := f.clock.Now()
			stop()
			calling.Wait()
			f.partition.heal()
			before, _ := f.count(began.Add(-warmUpTime), began, cutOff)
			there, others := f.count(began.Add(contactTime), ended, cutOff)
			t.Logf("served at daemons cut off: %d of %d before, then %d of %d; at the others: %d of %d", before.served, before.sent, there.served, there.sent, others.served, others.sent)
			checkServed(t, there, others)
		})
	}
}
