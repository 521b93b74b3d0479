package control

import (
	"context"
	"flag"
	"math/rand/v2"
	"reflect"
	"runtime/debug"
	"strconv"
	"testing"
	"time"

	"quincewinch/invariant"
	"quincewinch/models"
	"quincewinch/standin/platform"
	"quincewinch/table"
)

var (
	schedules = flag.Int("spread-schedules", 10000, "number of seeded schedules in the property test")
	firstSeed = flag.Uint64("spread-seed", 1, "seed of the first schedule")
)

const (
	shards            = 12
	heapGrowthPercent = 800 // for SetGCPercent: many small worlds are created
	actions           = 32
	maxNestedDepth    = 2
	interruptOneIn    = 30 // one boundary in so many is interrupted
	maxPause          = 8 * time.Second
	startupTime       = 4 * stepInterval
	recoveryTime      = 9 * stepInterval
	reopenTime        = 45 * time.Second
	reopenOneIn       = 20 // one schedule in so many runs on until all daemons accept edits
)

// zoneLayouts are the zones of the daemons; schedules choose one by seed.
var zoneLayouts = [][]models.Zone{
	{"a", "b"}, {"a", "a", "b"}, {"a", "b", "c"}, {"a", "a", "b"}, {"a", "b"}, {"a", "a", "b", "c"},
}

// schedule runs random actions and faults from one seed.
type schedule struct {
	*world
	random *rand.Rand
	depth  int
}

func newSchedule(seed uint64) *schedule {
	s := &schedule{random: rand.New(rand.NewPCG(seed, 0))}
	s.world = newWorld(zoneLayouts[seed%uint64(len(zoneLayouts))]...)
	s.run(startupTime)
	s.onBoundary = s.interrupt
	return s
}

// interrupt runs other actions in the middle of a daemon's call, sometimes with
// a pause of the daemon.
func (s *schedule) interrupt(*testDaemon) {
	if s.depth >= maxNestedDepth || s.random.IntN(interruptOneIn) != 0 {
		return
	}
	s.depth++
	defer func() { s.depth-- }()
	for range 1 + s.random.IntN(3) {
		s.act()
	}
	if s.random.IntN(4) == 0 {
		s.clock.now = s.clock.now.Add(time.Duration(s.random.Int64N(int64(maxPause))))
		s.act()
	}
}

func (s *schedule) randomDaemon() *testDaemon {
	return s.daemons[s.random.IntN(len(s.daemons))]
}

// restart kills a daemon that is running and starts one at its address.
func (s *schedule) restart(td *testDaemon) {
	if !td.dead {
		s.kill(td)
		s.start(td.self.Zone, td.self.Address)
	}
}

// act runs one random action; most are steps of a daemon.
func (s *schedule) act() {
	td := s.randomDaemon()
	switch s.random.IntN(28) {
	case 0:
		s.cut(td, s.randomDaemon(), s.random.IntN(3) > 0)
	case 1:
		s.isolate(s.random.IntN(2) == 0, td)
	case 2, 3:
		td.storeCut = !td.storeCut
	case 4:
		s.store.SetFaults(platform.Faults{Down: s.random.IntN(2) == 0})
	case 5:
		s.store.SetFaults(platform.Faults{LoseAnswer: func(models.Transaction) bool { return s.random.IntN(2) == 0 }})
	case 6:
		td.freezeReads()
	case 7:
		td.laggedReads = nil
	case 8:
		s.restart(td)
	case 9:
		td.membership.Leave()
		td.gossip.Push(context.Background())
		_ = td.membership.Deregister(context.Background())
		s.restart(td)
	case 10, 11:
		_ = td.put(s.random.IntN(9))
	case 12:
		_, _ = td.withdraw(models.KeyID("k" + strconv.Itoa(1+s.random.IntN(2))))
	case 13:
		s.clock.now = s.clock.now.Add(time.Duration(s.random.Int64N(int64(maxPause))))
	default:
		s.clock.now = s.clock.now.Add(time.Duration(s.random.Int64N(int64(stepInterval))))
		td.step()
	}
}

// TestSchedules checks all invariants after each of many seeded schedules of
// network cuts, pauses, kills, restarts, lost answers, lagging reads, outages,
// edits and withdrawals.
func TestSchedules(t *testing.T) {
	percent := debug.SetGCPercent(heapGrowthPercent)
	t.Cleanup(func() { debug.SetGCPercent(percent) })
	for shard := range shards {
		t.Run("shard "+strconv.Itoa(shard), func(t *testing.T) {
			t.Parallel()
			for i := shard; i < *schedules; i += shards {
				runSchedule(t, *firstSeed+uint64(i))
			}
		})
	}
}

func runSchedule(t *testing.T, seed uint64) {
	t.Helper()
	s := newSchedule(seed)
	for range actions {
		s.act()
	}
	s.heal()
	s.run(recoveryTime)
	for _, td := range s.daemons {
		td.observe(true)
		if !td.admits("k0") {
			t.Errorf("seed %d: %s does not admit a valid key after all faults ended: evidence %v", seed, td.self.ID, td.configuration.Evidence())
		}
		assertMatchesRebuild(t, seed, td)
	}
	if seed%reopenOneIn == 0 {
		s.run(reopenTime)
		for _, td := range s.daemons {
			if !td.editing.Open() {
				t.Errorf("seed %d: %s accepts no edits after all faults ended", seed, td.self.ID)
			}
		}
	}
	for _, violation := range invariant.Check(s.history) {
		t.Errorf("seed %d: %s: %s", seed, violation.Invariant, violation.Detail)
	}
}

// assertMatchesRebuild asserts that the configuration, which is updated
// incrementally, equals one built from scratch from the same rows.
func assertMatchesRebuild(t *testing.T, seed uint64, td *testDaemon) {
	t.Helper()
	config := td.configuration.Config()
	built, faults := table.Build(td.configuration.Rows(), config.Through)
	if len(faults) > 0 || !reflect.DeepEqual(built, config) {
		t.Errorf("seed %d: %s has %v in force, rebuilt from its rows it is %v, faults %v", seed, td.self.ID, config, built, faults)
	}
}
