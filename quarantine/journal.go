package quarantine

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/peer"
)

const (
	// turnDelay is how long a daemon waits for each of those before it, up to maxTurns, to
	// write what all know.
	turnDelay = 500 * time.Millisecond
	maxTurns  = 4
	// mergeDelay is how long a row of a crash waits for further news of it, such as parts
	// that turn out to be sound.
	mergeDelay = 2 * time.Second
	// retryInterval is the shortest time between a failed call and the next one.
	retryInterval = 500 * time.Millisecond
	// compareInterval is the time between two comparisons with the stored rows while
	// nothing changes: rows expire.
	compareInterval = 5 * time.Second
	// maxStepWrites and maxStepBytes bound one transaction; the store takes 100 entries
	// and 1 MB in base64.
	maxStepWrites = 90
	maxStepBytes  = 512 << 10
)

// Table is the platform's table store.
type Table interface {
	// Changes lists all rows of a partition after revision zero.
	Changes(ctx context.Context, partition models.Partition, after models.Revision) (models.Changes, error)
	Transact(ctx context.Context, transaction models.Transaction) (models.Revision, error)
	// Era returns the latest era of the store that is known here, 0 if none is.
	Era() uint64
}

// Journal keeps crashes and blocks in the platform's store, where they outlive the loss of
// all daemons. Any daemon writes what it knows and the store lacks; the others find it
// there, as each reads the rows before it writes.
type Journal struct {
	quarantine *Quarantine
	table      Table
	turn       func() (rank int, ok bool)
	clock      peer.Clock
	logger     *zap.Logger
	tried      atomic.Bool

	// Used only by Step.
	rows         map[models.RowKey]storedRow // as last read; nil: never
	offset       time.Duration               // from the local clock to the store's
	era          uint64                      // of the rows
	revision     uint64                      // of the quarantine, when it was last compared
	comparedAt   time.Time
	unsettled    bool      // crashes were too young to be written
	pendingSince time.Time // when a row was first found to be written; zero: none is
	failedAt     time.Time // the last call, if it failed
}

// NewJournal returns a journal of a quarantine. The function turn returns how many daemons
// in touch come before this one in writing; ok is false if others write for this one.
func NewJournal(quarantine *Quarantine, table Table, turn func() (rank int, ok bool), clock peer.Clock, logger *zap.Logger) *Journal {
	return &Journal{quarantine: quarantine, table: table, turn: turn, clock: clock, logger: logger}
}

// Tried reports whether a first attempt to read the rows has ended.
func (j *Journal) Tried() bool {
	return j.tried.Load()
}

// Step reads the rows at first and after a return of the store from an older copy. Then it
// writes what the store lacks, and deletes what has expired or was lifted.
func (j *Journal) Step(ctx context.Context) {
	if !j.failedAt.IsZero() && j.clock.Now().Sub(j.failedAt) < retryInterval {
		return
	}
	if j.rows == nil || j.era != j.table.Era() {
		err := j.read(ctx)
		j.tried.Store(true)
		if err != nil {
			return
		}
	}
	rank, ok := j.turn()
	if !ok || !j.due(rank) || j.read(ctx) != nil {
		return
	}
	transaction, _ := j.compare()
	if len(transaction.Writes) == 0 {
		return
	}
	_, err := j.table.Transact(ctx, transaction)
	if peer.OutcomeOf(err) == peer.OutcomeConflict {
		return // another daemon has written; the next step reads its rows
	}
	j.report("crashes not written to the store", err)
	if err == nil {
		j.logger.Info("crashes written to the store", zap.Int("rows", len(transaction.Writes)))
		j.pendingSince = time.Time{}
	}
}

// due reports whether there are rows to write and it is this daemon's turn.
func (j *Journal) due(rank int) bool {
	now := j.clock.Now()
	j.quarantine.Settle()
	revision, _ := j.quarantine.Revision()
	if j.pendingSince.IsZero() && !j.unsettled && revision == j.revision && now.Sub(j.comparedAt) < compareInterval {
		return false
	}
	transaction, urgent := j.compare()
	if len(transaction.Writes) == 0 {
		return false
	}
	if j.pendingSince.IsZero() {
		j.pendingSince = now
	}
	delay := time.Duration(min(rank, maxTurns)) * turnDelay
	if !urgent {
		delay += mergeDelay
	}
	return now.Sub(j.pendingSince) >= delay
}

// read reads all rows, and adds what they tell to the quarantine.
func (j *Journal) read(ctx context.Context) error {
	changes, err := j.table.Changes(ctx, models.PartitionCrashes, 0)
	if err == nil && changes.PlatformTime.IsZero() {
		err = errors.New("the store does not state its time")
	}
	j.report("crashes not read from the store", err)
	if err != nil {
		return err
	}
	known := j.rows
	j.rows = map[models.RowKey]storedRow{}
	j.era = changes.Through.Era()
	j.comparedAt = time.Time{}
	j.offset = changes.PlatformTime.Sub(j.clock.Now())
	evidence := &models.CrashEvidence{}
	for _, row := range changes.Rows {
		stored, err := decodeRow(row)
		if err != nil {
			if _, ok := known[row.Key]; !ok {
				j.logger.Warn("row of a crash not readable", zap.String("row", row.Key.Name), zap.Error(err))
			}
			stored = storedRow{unreadable: true}
		}
		stored.revision = row.Revision
		j.rows[row.Key] = stored
		// What has been refuted and forgotten since a row was learned must not come back.
		if known[row.Key].revision != row.Revision {
			stored.addTo(evidence, changes.PlatformTime)
		}
	}
	if known == nil {
		endUnconfirmed(evidence.Blocks)
	}
	if known == nil && len(changes.Rows) > 0 {
		j.logger.Info("crashes read from the store", zap.Int("crashes", len(evidence.Crashes)), zap.Int("blocks", len(evidence.Blocks)))
	}
	j.quarantine.Learn(evidence)
	return nil
}

// endUnconfirmed makes the probes of parts due that no probe has confirmed yet. If such a
// part is sound, all requests of a kind may share it, and a start ends the outage.
func endUnconfirmed(blocks []models.PartBlock) {
	for i, b := range blocks {
		if !b.Whole && b.Count == 1 {
			blocks[i].Duration = min(b.Duration, b.Age)
		}
	}
}

// compare returns a transaction that makes the rows what they should be. Urgent is set if
// it has more than news of crashes that are stored.
func (j *Journal) compare() (transaction models.Transaction, urgent bool) {
	now := j.clock.Now()
	j.comparedAt = now
	wanted := j.wanted(j.quarantine.Evidence(0), now.Add(j.offset))
	j.revision, _ = j.quarantine.Revision()
	size := 0
	write := func(write models.Write) {
		if size+len(write.Value) > maxStepBytes || len(transaction.Writes) == maxStepWrites {
			return
		}
		size += len(write.Value)
		stored, ok := j.rows[write.Key]
		urgent = urgent || !ok || write.Delete || stored.block != nil
		transaction.Conditions = append(transaction.Conditions, models.Condition{Key: write.Key, Revision: stored.revision})
		transaction.Writes = append(transaction.Writes, write)
	}
	for _, key := range sortedKeys(j.rows) {
		if _, ok := wanted[key]; !ok && !j.rows[key].unreadable {
			write(models.Write{Key: key, Delete: true})
		}
	}
	j.unsettled = false
	for _, key := range sortedKeys(wanted) {
		row := wanted[key]
		j.unsettled = j.unsettled || row.unsettled
		if !row.unsettled && row.addsTo(j.rows[key]) {
			write(models.Write{Key: key, Value: row.encode()})
		}
	}
	if len(transaction.Writes) == 0 {
		j.pendingSince = time.Time{}
	}
	return transaction, urgent
}

// wanted returns the rows that evidence calls for at a time of the store's clock.
func (j *Journal) wanted(evidence *models.CrashEvidence, at time.Time) map[models.RowKey]storedRow {
	rows := map[models.RowKey]storedRow{}
	if evidence == nil {
		return rows
	}
	for _, block := range evidence.Blocks {
		rows[blockKey(block.ID)] = newBlockRow(block, at)
	}
	stored := sortedKeys(j.rows)
	for _, crash := range evidence.Crashes {
		if crash.Refuted || len(crash.Runs) == 0 {
			continue
		}
		row := newCrashRow(crash, evidence.Sound, at)
		key := crashKey(crash)
		known := slices.IndexFunc(stored, func(key models.RowKey) bool { return j.rows[key].crash.isSame(row.crash) })
		if known >= 0 {
			key = stored[known]
		}
		rows[key] = row
	}
	return rows
}

func sortedKeys(rows map[models.RowKey]storedRow) []models.RowKey {
	return slices.SortedFunc(maps.Keys(rows), func(a, b models.RowKey) int { return cmp.Compare(a.Name, b.Name) })
}

// report notes the result of a call, and logs the first of several failures.
func (j *Journal) report(message string, err error) {
	if err == nil {
		j.failedAt = time.Time{}
		return
	}
	if j.failedAt.IsZero() {
		j.logger.Warn(message, zap.Error(err))
	}
	j.failedAt = j.clock.Now()
}
