package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"quincewinch/peer"
	"quincewinch/peer/system"
	"quincewinch/platform/emulator"
)

// Guarantees of the deployment. The times are those of the users'
// deployments.
const (
	leaseTime    = 3 * time.Second
	retryRatio   = 0.2
	retryWindow  = 10 * time.Second
	retryReserve = 20
	// applyTime is how long a change of the configuration may take to apply on
	// daemons that reach the store.
	applyTime = 3 * time.Second
	// recoveryTime is how long it may take until all requests are served again
	// after the faults end.
	recoveryTime = 15 * time.Second
)

const (
	daemonCount       = 4
	zoneCount         = 2
	engineCount       = 4
	plainServiceCount = 2
)

// world is a test deployment: daemon processes, emulated backend servers and an
// emulated platform.
type world struct {
	t        *testing.T
	clock    peer.Clock
	random   *rand.Rand // source of randomness for faults
	store    *emulator.Store
	duties   *emulator.Duties
	backends []*backend
	daemons  []*process
	began    time.Time

	mu             sync.Mutex
	stalled        time.Duration // total time during which this machine did not run the test
	version        int
	key            string                 // the valid key, as of the last change of the configuration
	withdrawn      map[string]time.Time   // by key: when the store received its withdrawal
	valid          map[string]time.Time   // by key: when the store received it
	suspectPeriods map[string][]period    // by daemon: when it may have been cut off from the store
	resumedAt      map[string][]time.Time // by daemon: when it resumed after a pause
	injected       map[string]int         // number of faults by kind
}

// period is a time interval.
type period struct {
	from, to time.Time
}

func newWorld(t *testing.T, binary string, seed uint64) *world {
	t.Helper()
	w := &world{
		t: t, clock: system.NewClock(), random: rand.New(rand.NewPCG(seed, 0)),
		store: emulator.NewStore(), duties: emulator.NewDuties(),
		withdrawn: map[string]time.Time{}, valid: map[string]time.Time{},
		suspectPeriods: map[string][]period{}, resumedAt: map[string][]time.Time{}, injected: map[string]int{},
	}
	w.began = w.clock.Now()
	for i := range engineCount + plainServiceCount {
		id, service, events := fmt.Sprintf("engine-%d", i), "llm", eventsPerStream
		if i >= engineCount {
			id, service, events = fmt.Sprintf("plain-%d", i), "desk", 0
		}
		b := newBackend(t, id, service, events, rand.New(rand.NewPCG(seed, uint64(i+1))))
		b.restart = func() {
			b.started.Store(w.clock.Now().UnixMilli())
			w.register(b, "ready")
		}
		w.backends = append(w.backends, b)
		w.register(b, "ready")
	}
	w.changeKey(1)
	store := httptest.NewServer(w.store)
	t.Cleanup(store.CloseClientConnections)
	duties := httptest.NewServer(w.duties)
	t.Cleanup(duties.CloseClientConnections)
	for i := range daemonCount {
		name, zone := fmt.Sprintf("vm-%d", i), string(rune('a'+i%zoneCount))
		w.daemons = append(w.daemons, newProcess(t, binary, name, zone, store.Listener.Addr().String(), duties.Listener.Addr().String(), w.stalledTime))
	}
	for _, b := range w.backends {
		b.proxy.tellApart(w.daemonOf)
	}
	for _, daemon := range w.daemons {
		daemon.start()
		t.Cleanup(daemon.kill)
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go w.watchStalls(ctx)
	return w
}

// register writes the registration row of a backend server.
func (w *world) register(b *backend, state string) {
	row := map[string]any{"service": b.service, "address": b.proxy.address(), "zone": "a", "slots": 32, "state": state, "born": b.started.Load()}
	if b.service == "llm" {
		row["stage"] = "decode"
	}
	w.store.Put("servers", b.id, encode(w.t, row))
}

// maxVersionStep is the largest step between two versions of the configuration.
const maxVersionStep = 3

// changeKey increments the version of the configuration by step and writes a
// configuration whose only key is a new one.
func (w *world) changeKey(step int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.key
	w.version += step
	w.key = fmt.Sprintf("key-%d", w.version)
	route := func(name, kind, service string, attempts int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": "h.example", "prefix": "/" + name + "/", "kind": kind,
			"service": service, "attempts": attempts, "timeout_ms": 2500,
		}
		for field, value := range more {
			r[field] = value
		}
		return r
	}
	w.store.Put("op", "config", encode(w.t, map[string]any{
		"version": w.version,
		"routes": []any{
			route(kindDraft, "stream", "llm", 3, map[string]any{"sticky": true, "resumable": true, "target_latency_ms": 500}),
			route(kindReserve, "non_idempotent", "desk", 2, nil),
			route(kindLookup, "idempotent", "desk", 3, nil),
		},
		"services": []any{
			map[string]any{"name": "llm", "max_connections": 200, "engine": map[string]any{"slots": 32, "kv_capacity": 100000}},
			map[string]any{"name": "desk", "max_connections": 200},
		},
		"limits":  map[string]any{"max_body_bytes": 10000},
		"tenants": []any{map[string]any{"name": "sales", "api_keys": []any{w.key}}},
	}))
	w.valid[w.key] = w.clock.Now()
	if before != "" {
		w.withdrawn[before] = w.clock.Now()
	}
}

// keys returns the valid key, and a withdrawn key if there is one.
func (w *world) keys() (valid, withdrawn string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key := range w.withdrawn {
		return w.key, key
	}
	return w.key, ""
}

const (
	// stallCheckInterval is the interval between checks for stalls.
	stallCheckInterval = 20 * time.Millisecond
	// minStall is how late a check must be to count as a stall: scheduling
	// alone does not delay it that much while a CPU is free.
	minStall = 200 * time.Millisecond
)

// drawDaemons draws one daemon, those of one zone, or all.
func (w *world) drawDaemons() []*process {
	first := w.random.IntN(len(w.daemons))
	switch w.random.IntN(3) {
	case 0:
		return w.daemons[first : first+1]
	case 1:
		var zone []*process
		for i, daemon := range w.daemons {
			if i%zoneCount == first%zoneCount {
				zone = append(zone, daemon)
			}
		}
		return zone
	}
	return w.daemons
}

// watchStalls records, until ctx ends, when this machine did not run the test
// and so probably not the daemons either. Time limits are extended accordingly.
func (w *world) watchStalls(ctx context.Context) {
	for {
		begun := w.clock.Now()
		if w.clock.Sleep(ctx, stallCheckInterval) != nil {
			return
		}
		late := w.clock.Now().Sub(begun) - stallCheckInterval
		if late < minStall {
			continue
		}
		w.countInjected("stall")
		w.mu.Lock()
		w.stalled += late
		for _, daemon := range w.daemons {
			w.suspectPeriods[daemon.name] = append(w.suspectPeriods[daemon.name], period{begun, begun.Add(late + catchUpTime)})
		}
		w.mu.Unlock()
	}
}

// stalledTime returns how long the machine has stalled so far.
func (w *world) stalledTime() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stalled
}

// markSuspect records that a daemon may be cut off from the store for d from
// now on.
func (w *world) markSuspect(daemon string, d time.Duration) {
	now := w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.suspectPeriods[daemon] = append(w.suspectPeriods[daemon], period{now, now.Add(d)})
}

// healthyDuring reports whether no suspect period of a daemon overlaps the
// interval between from and to.
func (w *world) healthyDuring(daemon string, from, to time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.suspectPeriods[daemon] {
		if p.from.Before(to) && from.Before(p.to) {
			return false
		}
	}
	return true
}

func (w *world) countInjected(kind string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.injected[kind]++
}

func encode(t *testing.T, body any) []byte {
	t.Helper()
	raw, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}
