package resume

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/peer"
)

const (
	// maxRowOrigins bounds the origins in one row. Each takes up to 21 bytes, and a row
	// up to 64 KiB.
	maxRowOrigins = 3000
	// maxRowsPerStep bounds the rows that one step writes.
	maxRowsPerStep = 8
	// maxDeletes is the most rows of one transaction; the store takes 100 entries.
	maxDeletes = 90
	// minScanInterval is the shortest time between two reads of all rows.
	minScanInterval = 500 * time.Millisecond
	// deleteMargin is how long after the end of its origins a row is deleted.
	deleteMargin = 5 * time.Second
)

// Journal keeps, in the platform's store, the origins of streams that cannot be told
// from the record of versions: while more than one version may have begun them, or for
// a route that leads to several services. They outlive the loss of all daemons.
type Journal struct {
	origins  *Origins
	versions *Versions
	table    Table
	duty     func() (scope Scope, ok bool)
	clock    peer.Clock
	logger   *zap.Logger

	// Used only by Step.
	position  uint64                      // of the last origin that is written
	contested map[models.ServiceName]bool // at the last step
	rows      int                         // written so far; numbers the next one
	written   []storedRow                 // not deleted yet

	scanning  turn
	scannedAt time.Time // guarded by scanning
	scanErr   error     // guarded by scanning

	mu      sync.Mutex
	failing bool
}

// storedRow is a row of origins, all of which have expired at a time of the local clock.
type storedRow struct {
	key     models.RowKey
	expires time.Time
}

// NewJournal returns a journal of origins. The function duty returns the scope of the
// origins that this daemon writes; ok is false if other daemons write them all.
func NewJournal(origins *Origins, versions *Versions, table Table, duty func() (scope Scope, ok bool), clock peer.Clock, logger *zap.Logger) *Journal {
	return &Journal{
		origins: origins, versions: versions, table: table, duty: duty, clock: clock, logger: logger,
		contested: map[models.ServiceName]bool{}, scanning: newTurn(),
	}
}

// Step writes the origins that are needed, and deletes rows that are not any more.
func (j *Journal) Step(ctx context.Context) {
	j.deleteExpired(ctx)
	scope, writes := j.duty()
	if !writes {
		return
	}
	contested := j.origins.contestedServices()
	for service := range contested {
		if !j.contested[service] {
			// The streams that have begun so far are needed too.
			j.position = 0
		}
	}
	j.contested = contested
	if len(contested) == 0 && !j.origins.dividedSince(j.position) {
		return
	}
	for range maxRowsPerStep {
		if !j.writeRow(ctx, scope) {
			return
		}
	}
}

// Active reports whether the last step found origins that are needed, so that more may
// be soon. It must not be called during a step.
func (j *Journal) Active() bool {
	return len(j.contested) > 0
}

// writeRow writes one row of origins that are needed. It reports whether there may be
// more.
func (j *Journal) writeRow(ctx context.Context, scope Scope) (more bool) {
	divided := j.origins.dividedSince(j.position)
	origins, next := j.origins.Since(j.position, scope, maxRowOrigins)
	full := len(origins) == maxRowOrigins
	origins = slices.DeleteFunc(origins, func(origin models.StreamOrigin) bool {
		return !divided && !j.contested[origin.Software.Service]
	})
	if len(origins) == 0 {
		j.position = next
		return full
	}
	var left time.Duration
	for _, origin := range origins {
		left = max(left, origin.TimeLeft)
	}
	now := j.clock.Now()
	until, known := j.versions.storeTime(now.Add(left))
	if !known {
		return false
	}
	j.rows++
	key := models.RowKey{Partition: models.PartitionOrigins, Name: strconv.FormatUint(j.origins.Instance(), 36) + "-" + strconv.Itoa(j.rows)}
	_, err := j.table.Transact(ctx, models.Transaction{Writes: []models.Write{{Key: key, Value: encodeOrigins(origins, until)}}})
	if peer.OutcomeOf(err) != peer.OutcomeNotDone || err == nil {
		j.written = append(j.written, storedRow{key, now.Add(left)})
	}
	j.report("origins of streams not written", err)
	if err != nil {
		return false
	}
	j.position = next
	return full
}

// deleteExpired deletes the rows of origins that have expired.
func (j *Journal) deleteExpired(ctx context.Context) {
	now := j.clock.Now()
	var expired []storedRow
	for _, row := range j.written {
		if len(expired) < maxDeletes && now.Sub(row.expires) >= deleteMargin {
			expired = append(expired, row)
		}
	}
	if len(expired) == 0 || j.delete(ctx, expired) != nil {
		return
	}
	j.written = slices.DeleteFunc(j.written, func(row storedRow) bool { return slices.Contains(expired, row) })
}

func (j *Journal) delete(ctx context.Context, rows []storedRow) error {
	var transaction models.Transaction
	for _, row := range rows {
		transaction.Writes = append(transaction.Writes, models.Write{Key: row.key, Delete: true})
	}
	_, err := j.table.Transact(ctx, transaction)
	j.report("rows of expired origins not deleted", err)
	return err
}

// Scan learns the origins in the store. Calls within minScanInterval share one read.
func (j *Journal) Scan(ctx context.Context) error {
	now := j.clock.Now()
	if err := j.scanning.take(ctx); err != nil {
		return err
	}
	defer j.scanning.release()
	if !j.scannedAt.IsZero() && now.Sub(j.scannedAt) < minScanInterval {
		return j.scanErr
	}
	j.scannedAt = j.clock.Now()
	ctx = context.WithoutCancel(ctx) // other callers use the result
	changes, err := j.table.Changes(ctx, models.PartitionOrigins, 0)
	j.scanErr = err
	j.report("origins of streams not read", err)
	if err != nil {
		return err
	}
	var expired []storedRow
	learned := 0
	for _, row := range changes.Rows {
		origins, until, err := decodeOrigins(row, changes.PlatformTime)
		if err != nil {
			j.logger.Warn("row of origins not readable", zap.String("row", row.Key.Name), zap.Error(err))
		}
		if changes.PlatformTime.Sub(until) >= deleteMargin {
			expired = append(expired, storedRow{key: row.Key})
			continue
		}
		j.origins.Learn(origins, scopeStored)
		learned += len(origins)
	}
	j.logger.Info("origins of streams read from the store", zap.Int("rows", len(changes.Rows)), zap.Int("origins", learned), zap.Int("expired-rows", len(expired)))
	if len(expired) > 0 {
		return j.delete(ctx, expired[:min(len(expired), maxDeletes)])
	}
	return nil
}

// report logs the first of several failures.
func (j *Journal) report(message string, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if err != nil && !j.failing {
		j.logger.Warn(message, zap.Error(err))
	}
	j.failing = err != nil
}
