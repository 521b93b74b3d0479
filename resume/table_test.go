package resume_test

import (
	"context"
	"maps"
	"sync"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/system"
)

// table is the platform's table store in memory. It implements resume.Table.
type table struct {
	mu      sync.Mutex
	rows    map[models.RowKey]models.Row
	version uint64
	era     uint64 // beyond the first
	away    bool   // fails all calls
	delay   time.Duration
	reads   int
	writes  int // rows
	commits int
}

func newTable() *table {
	return &table{rows: map[models.RowKey]models.Row{}}
}

// Changes implements resume.Table.
func (t *table) Changes(ctx context.Context, partition models.Partition, _ models.Revision) (models.Changes, error) {
	if err := system.NewClock().Sleep(ctx, t.delay); err != nil {
		return models.Changes{}, peer.NewFailure(peer.OutcomeUnknown, "given up", err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if t.away {
		return models.Changes{}, peer.NewFailure(peer.OutcomeNotDone, "away", nil)
	}
	changes := models.Changes{Through: models.NewRevision(t.era+1, t.version), PlatformTime: system.NewClock().Now()}
	for key, row := range t.rows {
		if key.Partition == partition {
			changes.Rows = append(changes.Rows, row)
		}
	}
	return changes, nil
}

// Transact implements resume.Table.
func (t *table) Transact(_ context.Context, transaction models.Transaction) (models.Revision, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.away {
		return 0, peer.NewFailure(peer.OutcomeNotDone, "away", nil)
	}
	for _, condition := range transaction.Conditions {
		if t.rows[condition.Key].Revision != condition.Revision {
			return 0, peer.NewFailure(peer.OutcomeConflict, "changed", nil)
		}
	}
	t.version++
	t.commits++
	revision := models.NewRevision(t.era+1, t.version)
	for _, write := range transaction.Writes {
		t.writes++
		if write.Delete {
			delete(t.rows, write.Key)
			continue
		}
		t.rows[write.Key] = models.Row{Key: write.Key, Revision: revision, Value: write.Value}
	}
	return revision, nil
}

// Era implements resume.Table.
func (t *table) Era() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era + 1
}

// restore replaces the store by a copy without rows of origins.
func (t *table) restore() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.era++
	maps.DeleteFunc(t.rows, func(key models.RowKey, _ models.Row) bool { return key.Partition == models.PartitionOrigins })
}

func (t *table) setAway(away bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.away = away
}

// count returns the number of rows of a partition.
func (t *table) count(partition models.Partition) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for key := range t.rows {
		if key.Partition == partition {
			count++
		}
	}
	return count
}
