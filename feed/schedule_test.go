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
	// noticeTime is within which a change is known to a daemon that reaches the
	// store, whatever happens to others.
	noticeTime = 3 * time.Second
	// callTimeout is that of one call of the store, beyond its wait.
	callTimeout = 700 * time.Millisecond
	// keepTime is how long a registration that is gone may be kept where the
	// store failed before.
	keepTime = 2 * time.Second
	playTime = 20 * time.Second
	lookTime = 100 * time.Millisecond
	sites    = 4 // daemons of the zone
)

// wire carries one daemon's calls of the store, and fails as the store may.
type wire struct {
	store *emulator.Store
	clock peer.Clock

	mu       sync.Mutex
	fault    emulator.Fault
	late     time.Duration // of each answer
	changed  chan struct{}
	failedAt time.Time // when it last was not whole
}

// RoundTrip implements http.RoundTripper.
func (w *wire) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	fault, late, changed := w.state()
	if fault == emulator.FaultUnavailable {
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, nil
	}
	if fault == emulator.FaultHang {
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
			if fault, _, changed = w.state(); fault == emulator.FaultHang {
				<-ctx.Done()
				return nil, ctx.Err()
			}
		case response := <-answer:
			if err := w.clock.Sleep(ctx, late); err != nil {
				return nil, err
			}
			if fault == emulator.FaultLoseAnswer {
				return nil, io.ErrUnexpectedEOF
			}
			return response, nil
		}
	}
}

func (w *wire) state() (emulator.Fault, time.Duration, chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault, w.late, w.changed
}

func (w *wire) set(fault emulator.Fault, late time.Duration) {
	now := w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fault != emulator.FaultNone || w.late > 0 || fault != emulator.FaultNone || late > 0 {
		w.failedAt = now
	}
	w.fault, w.late = fault, late
	close(w.changed)
	w.changed = make(chan struct{})
}

// whole reports whether nothing was wrong since a time.
func (w *wire) whole(since time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault == emulator.FaultNone && w.late == 0 && w.failedAt.Before(since)
}

// site is one daemon of a schedule.
type site struct {
	address       netip.AddrPort
	wire          *wire
	reader        *feed.Reader
	configuration *routing.Configuration
	fleet         *routing.Fleet
	version       uint64 // the highest that was in force
}

// play is one seeded schedule.
type play struct {
	t      *testing.T
	seed   uint64
	random *rand.Rand
	clock  peer.Clock
	store  *emulator.Store
	sites  []*site

	mu     sync.Mutex
	first  int // the reader of the zone
	silent map[netip.AddrPort]bool

	version   uint64
	writtenAt time.Time
	goneAt    map[models.EngineID]time.Time // registrations removed or draining
}

func newPlay(t *testing.T, seed uint64) *play {
	p := &play{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 0)), clock: system.NewClock(), store: emulator.NewStore(),
		silent: map[netip.AddrPort]bool{}, goneAt: map[models.EngineID]time.Time{},
	}
	p.configure()
	for i := range 6 {
		p.register(engineName(i), "ready")
	}
	for i := range sites {
		s := &site{
			address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1),
			wire:    &wire{store: p.store, clock: p.clock, changed: make(chan struct{})},
		}
		store := platform.NewStore(s.address, &http.Client{Transport: s.wire}, callTimeout)
		s.reader = feed.NewReader(store)
		source := feed.NewSource(s.reader, p, playMember{p, i}, p.clock, zap.NewNop())
		s.configuration = routing.NewConfiguration(platform.NewRouting(source), p.clock, zap.NewNop(), watch)
		s.fleet = routing.NewFleet(platform.NewRegistrations(source), p.clock, zap.NewNop(), watch, keepTime)
		p.sites = append(p.sites, s)
	}
	return p
}

// run plays the schedule.
func (p *play) run() {
	ctx, stop := context.WithCancel(p.t.Context())
	var running sync.WaitGroup
	follow := func(step func(context.Context)) {
		running.Go(func() {
			for p.clock.Sleep(ctx, time.Millisecond) == nil {
				step(ctx)
			}
		})
	}
	for _, s := range p.sites {
		follow(s.configuration.Step)
		follow(s.fleet.Step)
	}
	for end := p.clock.Now().Add(playTime); p.clock.Now().Before(end); {
		if p.random.IntN(4) == 0 {
			p.act()
		}
		// Ends early only with the test.
		_ = p.clock.Sleep(ctx, lookTime)
		p.check()
	}
	stop()
	running.Wait()
}

// act does one thing.
func (p *play) act() {
	s := p.sites[p.random.IntN(sites)]
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
		s.wire.set(emulator.Fault(p.random.IntN(4)), 0)
	case 7:
		s.wire.set(emulator.FaultNone, time.Duration(p.random.IntN(2))*300*time.Millisecond)
	case 8:
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.random.IntN(2) == 0 {
			p.first = p.random.IntN(sites)
			return
		}
		p.silent[s.address] = !p.silent[s.address]
	}
}

func (p *play) configure() {
	p.version += 1 + p.random.Uint64N(3)
	p.writtenAt = p.clock.Now()
	p.put(string(platform.PartitionOperators), "config", map[string]any{"version": p.version})
}

func (p *play) register(id models.EngineID, state string) {
	delete(p.goneAt, id)
	if state != "ready" {
		p.goneAt[id] = p.clock.Now()
	}
	p.put(string(platform.PartitionUpstreams), string(id), map[string]any{
		"service": "s", "address": "10.1.0.1:80", "zone": "z", "slots": 8, "state": state,
	})
}

func (p *play) put(table, key string, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		p.t.Fatal(err)
	}
	p.store.Put(table, key, raw)
}

// check holds what each daemon goes by against what was written.
func (p *play) check() {
	now := p.clock.Now()
	for i, s := range p.sites {
		var version uint64
		if current := s.configuration.Routing(); current != nil {
			version = current.Version
		}
		if version < s.version {
			p.t.Fatalf("seed %d: daemon %d went back from version %d to %d", p.seed, i, s.version, version)
		}
		s.version = version
		if !s.wire.whole(now.Add(-2 * noticeTime)) {
			continue
		}
		if version < p.version && now.Sub(p.writtenAt) > noticeTime {
			p.t.Fatalf("seed %d: daemon %d has version %d, %s after version %d", p.seed, i, version, now.Sub(p.writtenAt), p.version)
		}
		snapshot := s.fleet.Snapshot()
		if snapshot == nil {
			p.t.Fatalf("seed %d: daemon %d knows no backend server", p.seed, i)
		}
		for _, upstream := range snapshot.ByService["s"] {
			if at, gone := p.goneAt[upstream.ID]; gone && now.Sub(at) > noticeTime+keepTime {
				p.t.Fatalf("seed %d: daemon %d gives work to %s, which is gone for %s", p.seed, i, upstream.ID, now.Sub(at))
			}
		}
	}
}

// Changes implements feed.Daemons.
func (p *play) Changes(ctx context.Context, from netip.AddrPort, partition models.Partition, after models.Revision, wait time.Duration) (models.Changes, error) {
	for _, s := range p.sites {
		if s.address == from {
			return ask(ctx, s.reader, func() bool { return p.isSilent(from) }, partition, after, wait)
		}
	}
	return models.Changes{}, peer.NewFailure(peer.OutcomeNotDone, "nobody listens", nil)
}

func (p *play) isSilent(address netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent[address]
}

// playMember is one daemon's view of the zone. It implements feed.Zone.
type playMember struct {
	play *play
	self int
}

// Reader implements feed.Zone.
func (m playMember) Reader() (netip.AddrPort, bool) {
	m.play.mu.Lock()
	defer m.play.mu.Unlock()
	return m.play.sites[m.play.first].address, m.play.first != m.self
}

// Shared implements feed.Zone.
func (m playMember) Shared() bool {
	_, other := m.Reader()
	return !other
}

func engineName(i int) models.EngineID {
	return models.EngineID(fmt.Sprintf("engine-%d", i))
}

// TestNewsInManySchedules plays a zone whose daemons follow an emulated store
// through each other, while the store refuses some of them, loses answers, falls
// silent, is late and forgets its history, and while readers change and fall
// silent.
func TestNewsInManySchedules(t *testing.T) {
	for i := range uint64(*schedules) {
		if t.Failed() {
			return
		}
		synctest.Test(t, func(t *testing.T) { newPlay(t, *firstSeed+i).run() })
	}
}
