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
	schedules = flag.Int("spread-schedules", 10000, "seeded schedules of the property test")
	firstSeed = flag.Uint64("spread-seed", 1, "seed of the first schedule")
)

const (
	shards          = 12
	collectAt       = 800 // percent of the heap: worlds are small and many
	actions         = 32
	nestedDepth     = 2
	nestedShare     = 30 // one boundary in so many lets something else happen
	longestPause    = 8 * time.Second
	settledIn       = 4 * round
	healedFor       = 9 * round
	openedFor       = 45 * time.Second
	openedSchedules = 20 // one schedule in so many runs on until all take edits
)

// zonesOf are the deployments that schedules take turns with.
var zonesOf = [][]models.Zone{
	{"a", "b"}, {"a", "a", "b"}, {"a", "b", "c"}, {"a", "a", "b"}, {"a", "b"}, {"a", "a", "b", "c"},
}

// schedule makes things happen at random, from one seed.
type schedule struct {
	*world
	random *rand.Rand
	depth  int
}

func newSchedule(seed uint64) *schedule {
	s := &schedule{random: rand.New(rand.NewPCG(seed, 0))}
	s.world = newWorld(zonesOf[seed%uint64(len(zonesOf))]...)
	s.run(settledIn)
	s.boundary = s.interrupt
	return s
}

// interrupt lets others act in the midst of a daemon's call, for a short time
// or as long as a pause.
func (s *schedule) interrupt(*node) {
	if s.depth >= nestedDepth || s.random.IntN(nestedShare) != 0 {
		return
	}
	s.depth++
	defer func() { s.depth-- }()
	for range 1 + s.random.IntN(3) {
		s.act()
	}
	if s.random.IntN(4) == 0 {
		s.clock.now = s.clock.now.Add(time.Duration(s.random.Int64N(int64(longestPause))))
		s.act()
	}
}

func (s *schedule) some() *node {
	return s.nodes[s.random.IntN(len(s.nodes))]
}

// restart kills a daemon, if that is not done yet, and starts one in its place.
func (s *schedule) restart(n *node) {
	if !n.dead {
		s.kill(n)
		s.start(n.self.Zone, n.self.Address)
	}
}

// act does one thing.
func (s *schedule) act() {
	n := s.some()
	switch s.random.IntN(28) {
	case 0:
		s.cut(n, s.some(), s.random.IntN(3) > 0)
	case 1:
		s.isolate(s.random.IntN(2) == 0, n)
	case 2, 3:
		n.storeCut = !n.storeCut
	case 4:
		s.store.SetFaults(platform.Faults{Down: s.random.IntN(2) == 0})
	case 5:
		s.store.SetFaults(platform.Faults{LoseAnswer: func(models.Transaction) bool { return s.random.IntN(2) == 0 }})
	case 6:
		n.freeze()
	case 7:
		n.lag = nil
	case 8:
		s.restart(n)
	case 9:
		n.membership.Leave()
		n.gossip.Push(context.Background())
		_ = n.membership.Deregister(context.Background())
		s.restart(n)
	case 10, 11:
		_ = n.put(s.random.IntN(9))
	case 12:
		_, _ = n.withdraw(models.KeyID("k" + strconv.Itoa(1+s.random.IntN(2))))
	case 13:
		s.clock.now = s.clock.now.Add(time.Duration(s.random.Int64N(int64(longestPause))))
	default:
		s.clock.now = s.clock.now.Add(time.Duration(s.random.Int64N(int64(round))))
		n.step()
	}
}

// TestSchedules runs every check of the invariants after each of many seeded
// schedules of cuts, pauses, kills, restarts, lost answers, lagging reads,
// outages, edits and withdrawals.
func TestSchedules(t *testing.T) {
	percent := debug.SetGCPercent(collectAt)
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
	s.run(healedFor)
	for _, n := range s.nodes {
		n.observe(true)
		if !n.admits("k0") {
			t.Errorf("seed %d: %s does not admit a valid key after all is healed: %v", seed, n.self.ID, n.configuration.Evidence())
		}
		equalToBuild(t, seed, n)
	}
	if seed%openedSchedules == 0 {
		s.run(openedFor)
		for _, n := range s.nodes {
			if !n.editing.Open() {
				t.Errorf("seed %d: %s takes no edits after all is healed", seed, n.self.ID)
			}
		}
	}
	for _, violation := range invariant.Check(s.history) {
		t.Errorf("seed %d: %s: %s", seed, violation.Promise, violation.Detail)
	}
}

// equalToBuild asserts that the configuration is what the naive way makes of
// the same rows.
func equalToBuild(t *testing.T, seed uint64, n *node) {
	t.Helper()
	config := n.configuration.Config()
	built, faults := table.Build(n.configuration.Rows(), config.Through)
	if len(faults) > 0 || !reflect.DeepEqual(built, config) {
		t.Errorf("seed %d: %s has %v in force, built anew it is %v, faults %v", seed, n.self.ID, config, built, faults)
	}
}
