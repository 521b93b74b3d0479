package feed_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"quincewinch/feed"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/system"
	"quincewinch/platform"
	"quincewinch/platform/emulator"
	"quincewinch/routing"
)

var (
	schedules = flag.Int("schedules", 2000, "how many seeded schedules to play")
	firstSeed = flag.Uint64("seed", 1, "the first seed")
)

const (
	// propagationBound is within which a change is known to a daemon that reaches the
	// store, whatever happens to others.
	propagationBound = 3 * time.Second
	// callTimeout is that of one call of the store, beyond its wait.
	callTimeout = 700 * time.Millisecond
	// leaveTimeout is how long a registration that is gone may be kept where the
	// store failed before.
	leaveTimeout     = 2 * time.Second
	scheduleDuration = 20 * time.Second
	checkInterval    = 100 * time.Millisecond
	zoneSize         = 4 // daemons of the zone
)

// faultyTransport carries one daemon's calls of the store, and fails as the store may.
type faultyTransport struct {
	store *emulator.Store
	clock peer.Clock

	mu          sync.Mutex
	fault       emulator.Fault
	latency     time.Duration // of each answer
	changed     chan struct{}
	lastFaultAt time.Time // when it last was not whole
}

// RoundTrip implements http.RoundTripper.
func (w *faultyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	fault, late, changed := w.state()
	if fault == emulator.FaultRefuse {
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, nil
	}
	if fault == emulator.FaultSilence {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	answer := make(chan *http.Response, 1)
	go func() {
		recorder := httptest.NewRecorder()
		w.store.ServeHTTP(recorder, r.WithContext(ctx))
		answer <- recorder.Result()
	}()
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
			// What waits when the store falls silent hears nothing any more.
			if fault, _, changed = w.state(); fault == emulator.FaultSilence {
				<-ctx.Done()
				return nil, ctx.Err()
			}
		case response := <-answer:
			if err := w.clock.Sleep(ctx, late); err != nil {
				return nil, err
			}
			if fault == emulator.FaultLose {
				return nil, io.ErrUnexpectedEOF
			}
			return response, nil
		}
	}
}

func (w *faultyTransport) state() (emulator.Fault, time.Duration, chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault, w.latency, w.changed
}

func (w *faultyTransport) set(fault emulator.Fault, late time.Duration) {
	now := w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fault != emulator.FaultNone || w.latency > 0 || fault != emulator.FaultNone || late > 0 {
		w.lastFaultAt = now
	}
	w.fault, w.latency = fault, late
	close(w.changed)
	w.changed = make(chan struct{})
}

// healthySince reports whether nothing was wrong since a time.
func (w *faultyTransport) healthySince(since time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault == emulator.FaultNone && w.latency == 0 && w.lastFaultAt.Before(since)
}

// scheduleDaemon is one daemon of a schedule.
type scheduleDaemon struct {
	address       netip.AddrPort
	transport     *faultyTransport
	reader        *feed.Reader
	configuration *routing.Configuration
	fleet         *routing.Fleet
	version       uint64 // the highest that was in force
}

// schedule is one seeded schedule.
type schedule struct {
	t       *testing.T
	seed    uint64
	random  *rand.Rand
	clock   peer.Clock
	store   *emulator.Store
	daemons []*scheduleDaemon

	mu          sync.Mutex
	readerIndex int // the reader of the zone
	silent      map[netip.AddrPort]bool

	version   uint64
	writtenAt time.Time
	goneAt    map[models.EngineID]time.Time // registrations removed or draining
}

func newSchedule(t *testing.T, seed uint64) *schedule {
	p := &schedule{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 0)), clock: system.NewClock(), store: emulator.NewStore(),
		silent: map[netip.AddrPort]bool{}, goneAt: map[models.EngineID]time.Time{},
	}
	p.configure()
	for i := range 6 {
		p.register(engineName(i), "ready")
	}
	for i := range zoneSize {
		s := &scheduleDaemon{
			address:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1),
			transport: &faultyTransport{store: p.store, clock: p.clock, changed: make(chan struct{})},
		}
		store := platform.NewStore(s.address, &http.Client{Transport: s.transport}, callTimeout)
		s.reader = feed.NewReader(store)
		source := feed.NewSource(s.reader, p, scheduleZone{p, i}, p.clock, zap.NewNop())
		s.configuration = routing.NewConfiguration(platform.NewRouting(source), p.clock, zap.NewNop(), followWait)
		s.fleet = routing.NewFleet(platform.NewRegistrations(source), p.clock, zap.NewNop(), followWait, leaveTimeout)
		p.daemons = append(p.daemons, s)
	}
	return p
}

// run plays the schedule.
func (p *schedule) run() {
	ctx, stop := context.WithCancel(p.t.Context())
	var running sync.WaitGroup
	follow := func(step func(context.Context)) {
		running.Go(func() {
			for p.clock.Sleep(ctx, time.Millisecond) == nil {
				step(ctx)
			}
		})
	}
	for _, s := range p.daemons {
		follow(s.configuration.Step)
		follow(s.fleet.Step)
	}
	for end := p.clock.Now().Add(scheduleDuration); p.clock.Now().Before(end); {
		if p.random.IntN(4) == 0 {
			p.injectEvent()
		}
		// Ends early only with the test.
		_ = p.clock.Sleep(ctx, checkInterval)
		p.check()
	}
	stop()
	running.Wait()
}

// injectEvent does one thing.
func (p *schedule) injectEvent() {
	s := p.daemons[p.random.IntN(zoneSize)]
	id := engineName(p.random.IntN(6))
	switch p.random.IntN(9) {
	case 0, 1:
		p.configure()
	case 2:
		p.register(id, "ready")
	case 3:
		p.register(id, "draining")
	case 4:
		p.store.Remove(string(platform.PartitionUpstreams), string(id))
		p.goneAt[id] = p.clock.Now()
	case 5:
		p.store.Compact()
	case 6:
		s.transport.set(emulator.Fault(p.random.IntN(4)), 0)
	case 7:
		s.transport.set(emulator.FaultNone, time.Duration(p.random.IntN(2))*300*time.Millisecond)
	case 8:
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.random.IntN(2) == 0 {
			p.readerIndex = p.random.IntN(zoneSize)
			return
		}
		p.silent[s.address] = !p.silent[s.address]
	}
}

func (p *schedule) configure() {
	p.version += 1 + p.random.Uint64N(3)
	p.writtenAt = p.clock.Now()
	p.put(string(platform.PartitionOperators), "config", map[string]any{"version": p.version})
}

func (p *schedule) register(id models.EngineID, state string) {
	delete(p.goneAt, id)
	if state != "ready" {
		p.goneAt[id] = p.clock.Now()
	}
	p.put(string(platform.PartitionUpstreams), string(id), map[string]any{
		"service": "s", "address": "10.1.0.1:80", "zone": "z", "slots": 8, "state": state,
	})
}

func (p *schedule) put(table, key string, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		p.t.Fatal(err)
	}
	p.store.Put(table, key, raw)
}

// check holds what each daemon goes by against what was written.
func (p *schedule) check() {
	now := p.clock.Now()
	for i, s := range p.daemons {
		var version uint64
		if current := s.configuration.Routing(); current != nil {
			version = current.Version
		}
		if version < s.version {
			p.t.Fatalf("seed %d: daemon %d went back from version %d to %d", p.seed, i, s.version, version)
		}
		s.version = version
		if !s.transport.healthySince(now.Add(-2 * propagationBound)) {
			continue
		}
		if version < p.version && now.Sub(p.writtenAt) > propagationBound {
			p.t.Fatalf("seed %d: daemon %d has version %d, %s after version %d", p.seed, i, version, now.Sub(p.writtenAt), p.version)
		}
		snapshot := s.fleet.Snapshot()
		if snapshot == nil {
			p.t.Fatalf("seed %d: daemon %d knows no backend server", p.seed, i)
		}
		for _, upstream := range snapshot.ByService["s"] {
			if at, gone := p.goneAt[upstream.ID]; gone && now.Sub(at) > propagationBound+leaveTimeout {
				p.t.Fatalf("seed %d: daemon %d gives work to %s, which is gone for %s", p.seed, i, upstream.ID, now.Sub(at))
			}
		}
	}
}

// Changes implements feed.Daemons.
func (p *schedule) Changes(ctx context.Context, from netip.AddrPort, partition models.Partition, after models.Revision, wait time.Duration) (models.Changes, error) {
	for _, s := range p.daemons {
		if s.address == from {
			return queryReader(ctx, s.reader, func() bool { return p.isSilent(from) }, partition, after, wait)
		}
	}
	return models.Changes{}, peer.NewFailure(peer.OutcomeNotDone, "nobody listens", nil)
}

func (p *schedule) isSilent(address netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent[address]
}

// scheduleZone is one daemon's view of the zone. It implements feed.Zone.
type scheduleZone struct {
	schedule *schedule
	self     int
}

// Reader implements feed.Zone.
func (m scheduleZone) Reader() (netip.AddrPort, bool) {
	m.schedule.mu.Lock()
	defer m.schedule.mu.Unlock()
	return m.schedule.daemons[m.schedule.readerIndex].address, m.schedule.readerIndex != m.self
}

// HasFollowers implements feed.Zone.
func (m scheduleZone) HasFollowers() bool {
	_, other := m.Reader()
	return !other
}

func engineName(i int) models.EngineID {
	return models.EngineID(fmt.Sprintf("engine-%d", i))
}

// TestPropagationInRandomSchedules plays a zone whose daemons follow an emulated store
// through each other, while the store refuses some of them, loses answers, falls
// silent, is late and forgets its history, and while readers change and fall
// silent.
func TestPropagationInRandomSchedules(t *testing.T) {
	for i := range uint64(*schedules) {
		if t.Failed() {
			return
		}
		synctest.Test(t, func(t *testing.T) { newSchedule(t, *firstSeed+i).run() })
	}
}
