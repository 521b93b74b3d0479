package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"quincewinch/config"
	"quincewinch/entry"
	"quincewinch/peer/system"
	"quincewinch/platform/emulator"
	"quincewinch/standin/endless"
)

// deployment is one daemon with an emulated store, model engine and plain
// service.
type deployment struct {
	t             *testing.T
	is            *is.I
	store         *emulator.Store
	engine        *emulator.Server
	plain         *emulator.Server
	callerAddress string
	storeAddress  string
	// daemonsAddress is where the daemon that started last listens for others.
	daemonsAddress string
	daemon         *entry.Daemon
}

// givenAddresses holds the results of freeAddress.
var givenAddresses sync.Map

// freeAddress returns a loopback address on which nothing listens, another with
// each call. Its IP is that of no other server or connection of these tests: one
// of them could take the port before the caller does.
func freeAddress(t *testing.T) string {
	t.Helper()
	for {
		listener, err := net.Listen("tcp", "127.0.0.2:0")
		is.New(t).NoErr(err)
		address := listener.Addr().String()
		is.New(t).NoErr(listener.Close())
		if _, given := givenAddresses.LoadOrStore(address, true); !given {
			return address
		}
	}
}

func start(t *testing.T) *deployment {
	t.Helper()
	d := prepare(t)
	d.daemon = d.startDaemon("vm-1", d.callerAddress)
	return d
}

// prepare starts everything but the daemon.
func prepare(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{
		t: t, is: is.New(t), store: emulator.NewStore(),
		engine:        &emulator.Server{ID: "i-engine", Events: 3},
		plain:         &emulator.Server{ID: "i-plain"},
		callerAddress: freeAddress(t),
	}
	d.register("i-engine", "llm", "decode", d.engine)
	d.register("i-plain", "desk", "", d.plain)
	d.configure(1, "key-1")
	store := httptest.NewServer(d.store)
	t.Cleanup(store.Close)
	d.storeAddress = store.Listener.Addr().String()
	return d
}

// startDaemon starts a daemon and waits until it is ready.
func (d *deployment) startDaemon(name, callerAddress string) *entry.Daemon {
	d.t.Helper()
	t := d.t
	d.daemonsAddress = freeAddress(t)
	settings := fmt.Sprintf(`{"name": %q, "zone": "z", "first-start": true, "callers": {"address": %q, "grace": "200ms"},
		"readiness": {"address": %q}, "daemons": {"address": %q}, "metrics": {"address": %q}, "store": {"address": %q, "notice": "1ms"}}`,
		name, callerAddress, freeAddress(t), d.daemonsAddress, freeAddress(t), d.storeAddress)
	parsed, err := config.ParseEntry([]byte(settings))
	d.is.NoErr(err)
	daemon := entry.New(parsed, zap.NewNop(), system.NewClock(), system.NewWallClock(), func() int64 { return 0 })
	d.is.NoErr(daemon.Start(d.t.Context()))
	t.Cleanup(func() { daemon.Stop(context.Background()) })
	for !daemon.Ready() {
	}
	return daemon
}

func (d *deployment) register(id, service, stage string, handler http.Handler) {
	d.registerVersion(id, service, stage, "v1", handler)
}

// registerVersion starts a backend server of a software version.
func (d *deployment) registerVersion(id, service, stage, version string, handler http.Handler) *httptest.Server {
	server := httptest.NewServer(handler)
	d.t.Cleanup(server.Close)
	row := map[string]any{
		"service": service, "address": netip.MustParseAddrPort(server.Listener.Addr().String()).String(),
		"zone": "z", "slots": 8, "state": "ready", "version": version,
	}
	if stage != "" {
		row["stage"] = stage
	}
	raw, err := json.Marshal(row)
	d.is.NoErr(err)
	d.store.Put("servers", id, raw)
	return server
}

// configure writes a version of the configuration that holds one API key.
func (d *deployment) configure(version int, key string) {
	raw, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "draft", "host": "h.example", "prefix": "/draft/", "kind": "stream", "service": "llm", "attempts": 1, "sticky": true, "timeout_ms": 5000},
			map[string]any{"name": "chat", "host": "h.example", "prefix": "/chat/", "kind": "stream", "resumable": true, "service": "chat", "attempts": 1, "sticky": true, "timeout_ms": 5000},
			map[string]any{"name": "reserve", "host": "h.example", "prefix": "/reserve/", "kind": "non_idempotent", "service": "desk", "attempts": 1, "timeout_ms": 5000},
			map[string]any{"name": "trouble", "host": "h.example", "prefix": "/trouble/", "kind": "non_idempotent", "service": "trouble", "attempts": 1, "timeout_ms": 60000},
			map[string]any{"name": "trouble-stream", "host": "h.example", "prefix": "/trouble-stream/", "kind": "stream", "service": "trouble", "attempts": 1, "timeout_ms": 60000},
			map[string]any{"name": "trouble-again", "host": "h.example", "prefix": "/trouble-again/", "kind": "idempotent", "service": "trouble", "attempts": 2, "timeout_ms": 60000},
			map[string]any{"name": "trouble-resumed", "host": "h.example", "prefix": "/trouble-resumed/", "kind": "stream", "resumable": true, "service": "trouble", "attempts": 2, "timeout_ms": 60000},
		},
		"services": []any{
			map[string]any{"name": "llm", "engine": map[string]any{"slots": 8, "kv_capacity": 100000}},
			map[string]any{"name": "chat", "engine": map[string]any{"slots": 8, "kv_capacity": 100000}},
			map[string]any{"name": "desk"},
			map[string]any{"name": "trouble"},
		},
		"limits":  map[string]any{"max_body_bytes": 1000},
		"tenants": []any{map[string]any{"name": "sales", "api_keys": []any{key}}},
	})
	d.is.NoErr(err)
	d.store.Put("op", "config", raw)
}

// post sends a request and returns the status and body of the answer.
func (d *deployment) post(path, id, key string) (int, string) {
	d.t.Helper()
	request, err := http.NewRequestWithContext(d.t.Context(), http.MethodPost, "http://"+d.callerAddress+path, strings.NewReader("body"))
	d.is.NoErr(err)
	request.Host = "h.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("X-Api-Key", key)
	request.Header.Set("Deadline-Ms", "60000")
	request.Header.Set("Prompt-Prefix", "a:100,b:10")
	request.Header.Set("Token-Count", "110,20")
	answer, err := http.DefaultClient.Do(request)
	d.is.NoErr(err)
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	d.is.NoErr(err)
	return answer.StatusCode, string(body)
}

func TestDeployment(t *testing.T) {
	d := start(t)
	t.Run("stream arrives complete", func(t *testing.T) {
		is := is.New(t)
		status, body := d.post("/draft/x", "r1", "key-1")
		is.Equal(status, http.StatusOK)
		is.Equal(body, "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\n")
	})
	t.Run("backend server sees the workspace but not the key", func(t *testing.T) {
		is := is.New(t)
		status, body := d.post("/reserve/x?y=1", "r2", "key-1")
		is.Equal(status, http.StatusOK)
		is.Equal(body, "answer of i-plain to r2")
		is.Equal(d.plain.Runs(), []emulator.Run{{ID: "r2", Method: http.MethodPost, Target: "/reserve/x?y=1", Body: "body", Workspace: "sales"}})
	})
	t.Run("unknown key and unknown route are rejected", func(t *testing.T) {
		is := is.New(t)
		status, _ := d.post("/reserve/x", "r3", "key-2")
		is.Equal(status, http.StatusUnauthorized)
		status, _ = d.post("/nowhere/x", "r4", "key-1")
		is.Equal(status, http.StatusNotFound)
		is.Equal(len(d.plain.Runs()), 1)
	})
	t.Run("requests are served during a store outage", func(t *testing.T) {
		is := is.New(t)
		d.store.SetFault(func(*http.Request) emulator.Fault { return emulator.FaultUnavailable })
		status, _ := d.post("/reserve/x", "r5", "key-1")
		is.Equal(status, http.StatusOK)
		d.store.SetFault(func(*http.Request) emulator.Fault { return emulator.FaultNone })
	})
	t.Run("configuration change replaces the key", func(t *testing.T) {
		is := is.New(t)
		d.configure(2, "key-3")
		status := 0
		for status != http.StatusOK {
			status, _ = d.post("/reserve/x", "r6", "key-3")
		}
		status, _ = d.post("/reserve/x", "r7", "key-1")
		is.Equal(status, http.StatusUnauthorized)
	})
}

func TestAnswersWithoutEndAreErrors(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nUpstream-Signature: s\r\n"
	tests := []struct {
		name, path, first, repeated string
	}{
		{"header", "/trouble/x", header, "A: x\r\n"},
		{"body", "/trouble/x", header + "\r\n", "\x00garbage"},
		{"body in chunks", "/trouble/x", header + "Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + strings.Repeat("x", 1000) + "\r\n"},
		{"event", "/trouble-stream/x", header + "\r\n", "data: x\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := start(t)
			handler := endless.NewHandler(test.first, test.repeated)
			d.register("i-trouble", "trouble", "", handler)
			status := http.StatusServiceUnavailable
			for status == http.StatusServiceUnavailable { // until the server is known
				status, _ = d.post(test.path, "r1", "key-1")
			}
			is.Equal(status, http.StatusBadGateway)
			<-handler.Closed()
		})
	}
}
