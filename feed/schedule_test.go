package feed_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
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
	schedules = flag.Int("schedules", 2000, "number of seeded schedules to run")
	firstSeed = flag.Uint64("seed", 1, "seed of the first schedule")
)

const (
	// propagationBound is the time within which a daemon that reaches the store
	// must know a change, whatever fails elsewhere.
	propagationBound = 3 * time.Second
	// callTimeout is the timeout of a call to the store, beyond its wait.
	callTimeout = 700 * time.Millisecond
	// leaveTimeout is how long a removed registration may be kept after an outage
	// of the store.
	leaveTimeout     = 2 * time.Second
	scheduleDuration = 20 * time.Second
	checkInterval    = 100 * time.Millisecond
	zoneSize         = 4 // daemons of the zone
	// followerSpacing separates the calls of all followers, so that no two act at
	// once and a seed can be replayed.
	followerSpacing = 20 * time.Microsecond
)

// scheduleDaemon is a daemon of a schedule.
type scheduleDaemon struct {
	address       netip.AddrPort
	connection    *emulator.Connection
	reader        *feed.Reader
	configuration *routing.Configuration
	fleet         *routing.Fleet
	version       uint64 // the highest version seen in force
}

// schedule is a seeded random schedule of changes and faults.
type schedule struct {
	t       *testing.T
	seed    uint64
	random  *rand.Rand
	clock   peer.Clock
	store   *emulator.Store
	daemons []*scheduleDaemon

	mu          sync.Mutex
	readerIndex int // index of the zone's reader in daemons
	silent      map[netip.AddrPort]bool

	version   uint64
	writtenAt time.Time
	goneAt    map[models.EngineID]time.Time // when a registration was removed or began to drain
	startedAt map[models.EngineID]time.Time // start of the registered incarnation
	states    map[models.EngineID]string    // of the registered engines
}

func newSchedule(t *testing.T, seed uint64) *schedule {
	s := &schedule{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 0)), clock: system.NewClock(), store: emulator.NewStore(),
		silent: map[netip.AddrPort]bool{}, goneAt: map[models.EngineID]time.Time{}, startedAt: map[models.EngineID]time.Time{},
		states: map[models.EngineID]string{},
	}
	s.configure()
	for i := range 6 {
		s.register(engineName(i), "ready")
	}
	for i := range zoneSize {
		d := &scheduleDaemon{
			address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1),
			connection: emulator.NewConnection(s.store),
		}
		store := platform.NewStore(d.address, &http.Client{Transport: d.connection}, callTimeout)
		d.reader = feed.NewReader(store)
		source := feed.NewSource(d.reader, s, scheduleZone{s, i}, s.clock, zap.NewNop())
		d.configuration = routing.NewConfiguration(platform.NewRouting(source), s.clock, zap.NewNop(), followWait)
		d.fleet = routing.NewFleet(platform.NewRegistrations(source), s.clock, zap.NewNop(), followWait, leaveTimeout)
		s.daemons = append(s.daemons, d)
	}
	return s
}

// run runs the schedule and checks the daemons at every step.
func (s *schedule) run(injectEvent, check func()) {
	stop := s.start()
	defer stop()
	for end := s.clock.Now().Add(scheduleDuration); s.clock.Now().Before(end); {
		if s.random.IntN(4) == 0 {
			injectEvent()
		}
		// Sleep fails only when the test ends.
		_ = s.clock.Sleep(s.t.Context(), checkInterval)
		check()
	}
}

// start makes all daemons follow the store.
func (s *schedule) start() (stop func()) {
	ctx, cancel := context.WithCancel(s.t.Context())
	var running sync.WaitGroup
	var spacing time.Duration
	follow := func(step func(context.Context)) {
		spacing += followerSpacing
		pause := spacing
		running.Go(func() {
			for s.clock.Sleep(ctx, pause) == nil {
				step(ctx)
				pause = time.Millisecond
			}
		})
	}
	for _, d := range s.daemons {
		follow(d.configuration.Step)
		follow(d.fleet.Step)
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// injectEvent makes one random change or fault.
func (s *schedule) injectEvent() {
	d := s.daemons[s.random.IntN(zoneSize)]
	id := engineName(s.random.IntN(6))
	switch s.random.IntN(9) {
	case 0, 1:
		s.configure()
	case 2:
		s.register(id, "ready")
	case 3:
		s.register(id, "draining")
	case 4:
		s.remove(id)
	case 5:
		s.store.Compact()
	case 6:
		d.connection.Set(emulator.Fault(s.random.IntN(4)), 0)
	case 7:
		d.connection.Set(emulator.FaultNone, time.Duration(s.random.IntN(2))*300*time.Millisecond)
	case 8:
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.random.IntN(2) == 0 {
			s.readerIndex = s.random.IntN(zoneSize)
			return
		}
		s.silent[d.address] = !s.silent[d.address]
	}
}

func (s *schedule) configure() {
	s.version += 1 + s.random.Uint64N(3)
	s.writtenAt = s.clock.Now()
	s.writeConfiguration()
}

func (s *schedule) writeConfiguration() {
	s.put(string(platform.PartitionOperators), "config", map[string]any{"version": s.version})
}

func (s *schedule) register(id models.EngineID, state string) {
	now := s.clock.Now()
	if state == "ready" {
		delete(s.goneAt, id)
		s.startedAt[id] = now
	} else {
		s.goneAt[id] = now
	}
	s.states[id] = state
	s.writeRegistration(id)
}

func (s *schedule) remove(id models.EngineID) {
	s.goneAt[id] = s.clock.Now()
	delete(s.states, id)
	s.writeRegistration(id)
}

// writeRegistration writes the registration of an engine as it should be.
func (s *schedule) writeRegistration(id models.EngineID) {
	state, ok := s.states[id]
	if !ok {
		s.store.Remove(string(platform.PartitionUpstreams), string(id))
		return
	}
	s.put(string(platform.PartitionUpstreams), string(id), map[string]any{
		"service": "s", "address": "10.1.0.1:80", "zone": "z", "slots": 8, "state": state, "born": s.startedAt[id].UnixMilli(),
	})
}

func (s *schedule) put(table, key string, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.Put(table, key, raw)
}

// check compares the state of each daemon with what was written.
func (s *schedule) check() {
	now := s.clock.Now()
	for i, d := range s.daemons {
		var version uint64
		if current := d.configuration.Routing(); current != nil {
			version = current.Version
		}
		if version < d.version {
			s.t.Fatalf("seed %d: daemon %d returned from version %d to %d", s.seed, i, d.version, version)
		}
		d.version = version
		if !d.connection.HealthySince(now.Add(-2 * propagationBound)) {
			continue
		}
		if version < s.version && now.Sub(s.writtenAt) > propagationBound {
			s.t.Fatalf("seed %d: daemon %d has version %d, %s after version %d", s.seed, i, version, now.Sub(s.writtenAt), s.version)
		}
		snapshot := d.fleet.Snapshot()
		if snapshot == nil {
			s.t.Fatalf("seed %d: daemon %d has no snapshot of the fleet", s.seed, i)
		}
		for _, upstream := range snapshot.ByService["s"] {
			if at, gone := s.goneAt[upstream.ID]; gone && now.Sub(at) > propagationBound+leaveTimeout {
				s.t.Fatalf("seed %d: daemon %d sends requests to %s, which left %s ago", s.seed, i, upstream.ID, now.Sub(at))
			}
		}
	}
}

// Changes implements feed.Daemons.
func (s *schedule) Changes(ctx context.Context, from netip.AddrPort, partition models.Partition, after models.Revision, wait time.Duration) (models.Changes, error) {
	for _, d := range s.daemons {
		if d.address == from {
			return queryReader(ctx, d.reader, func() bool { return s.isSilent(from) }, partition, after, wait)
		}
	}
	return models.Changes{}, peer.NewFailure(peer.OutcomeNotDone, "no daemon at this address", nil)
}

func (s *schedule) isSilent(address netip.AddrPort) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent[address]
}

// scheduleZone is one daemon's view of the zone. It implements feed.Zone.
type scheduleZone struct {
	schedule *schedule
	self     int
}

// Reader implements feed.Zone.
func (v scheduleZone) Reader() (netip.AddrPort, bool) {
	v.schedule.mu.Lock()
	defer v.schedule.mu.Unlock()
	return v.schedule.daemons[v.schedule.readerIndex].address, v.schedule.readerIndex != v.self
}

// HasFollowers implements feed.Zone.
func (v scheduleZone) HasFollowers() bool {
	_, other := v.Reader()
	return !other
}

func engineName(i int) models.EngineID {
	return models.EngineID(fmt.Sprintf("engine-%d", i))
}

// TestPropagationInRandomSchedules checks that changes reach all daemons of a
// zone, which follow an emulated store through each other, while the store
// refuses calls, loses responses, hangs, is slow and compacts its history, and
// while the reader is replaced and stops answering.
func TestPropagationInRandomSchedules(t *testing.T) {
	for i := range uint64(*schedules) {
		if t.Failed() {
			return
		}
		synctest.Test(t, func(t *testing.T) {
			s := newSchedule(t, *firstSeed+i)
			s.run(s.injectEvent, s.check)
		})
	}
}
