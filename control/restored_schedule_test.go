package control

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"quincewinch/models"
	"quincewinch/table"
)

const (
	// restoreWithin limits the transactions that a restore loses.
	restoreWithin = 12
	// restoredShare is the number of schedules per schedule with a restore.
	restoredShare = 5
	// restoredActions is the number of actions before and after a restore.
	restoredActions = 24
)

// restoredSchedule runs random cuts, lagging reads, edits and withdrawals from one
// seed, with one restore of the table. No daemon ends, since a lost edit is gone
// with the daemons that know it.
type restoredSchedule struct {
	*world
	random    *rand.Rand
	weight    float64 // accepted last
	withdrawn map[models.KeyID]bool
}

func (s *restoredSchedule) act() {
	td := s.daemons[s.random.IntN(len(s.daemons))]
	switch s.random.IntN(24) {
	case 0:
		s.cut(td, s.daemons[s.random.IntN(len(s.daemons))], s.random.IntN(3) > 0)
	case 1:
		s.isolate(s.random.IntN(2) == 0, td)
	case 2:
		td.storeCut = !td.storeCut
	case 3, 4, 5:
		weight := 2 + s.random.IntN(1000)
		if td.put(weight) == nil {
			s.weight = float64(weight)
		}
	case 6:
		id := models.KeyID("k" + strconv.Itoa(1+s.random.IntN(2)))
		if _, err := td.withdraw(id); err == nil {
			s.withdrawn[id] = true
		}
	default:
		s.clock.now = s.clock.now.Add(stepInterval / 2)
		td.step()
	}
}

// TestRestoredSchedules checks after each of many seeded schedules that the edits
// and withdrawals that were accepted are in force, and in the table.
func TestRestoredSchedules(t *testing.T) {
	for shard := range shards {
		t.Run("shard "+strconv.Itoa(shard), func(t *testing.T) {
			t.Parallel()
			for i := shard; i < max(1, *schedules/restoredShare); i += shards {
				runRestoredSchedule(t, *firstSeed+uint64(i))
			}
		})
	}
}

func runRestoredSchedule(t *testing.T, seed uint64) {
	t.Helper()
	s := &restoredSchedule{
		world:     newWorld(zoneLayouts[seed%uint64(len(zoneLayouts))]...),
		random:    rand.New(rand.NewPCG(seed, 2)),
		weight:    1,
		withdrawn: map[models.KeyID]bool{},
	}
	s.run(warmUpTime)
	started := s.store.Revision().Version()
	for range restoredActions {
		s.act()
	}
	s.store.Restore(max(started, s.store.Revision().Version()-uint64(s.random.IntN(restoreWithin))))
	for range restoredActions {
		s.act()
	}
	s.heal()
	s.run(recoveryTime)
	rows, err := s.store.Read(t.Context(), workspaceKey, table.Key(table.KindKey, "k1"), table.Key(table.KindKey, "k2"))
	if err != nil || len(rows) != 3 {
		t.Fatalf("seed %d: %d of 3 rows in the table, %v", seed, len(rows), err)
	}
	for _, td := range s.daemons {
		if got := td.configuration.Config().Workspaces["w"].Weight; got != s.weight {
			t.Errorf("seed %d: %s has weight %v in force, want %v", seed, td.self.ID, got, s.weight)
		}
		for id := range s.withdrawn {
			if td.admits(id) {
				t.Errorf("seed %d: %s admits the withdrawn key %s", seed, td.self.ID, id)
			}
		}
		if !td.admits("k0") {
			t.Errorf("seed %d: %s does not admit a valid key: evidence %v", seed, td.self.ID, td.configuration.Evidence())
		}
		for _, row := range rows {
			if !row.Equal(td.configuration.Row(row.Key)) {
				t.Errorf("seed %d: %s has %v in force, the table %v", seed, td.self.ID, td.configuration.Row(row.Key), row)
			}
		}
		assertMatchesRebuild(t, seed, td)
	}
}
