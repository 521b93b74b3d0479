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
	// calmInterval is the shortest time between two writes of origins that no daemon
	// needs unless all are lost and another version joins; backupInterval is the same for
	// daemons that write what the first ones write as well.
	calmInterval   = 500 * time.Millisecond
	backupInterval = time.Second
	// deleteInterval is the shortest time between two calls that delete expired rows.
	deleteInterval = 5 * time.Second
	// maxWrittenRows is the number of rows from which the origins that have not expired
	// are written anew, together: streams may last for hours.
	maxWrittenRows = 1024
	// sweepInterval is the time between two searches for the rows of processes that have
	// ended, by daemons that write the origins of all others.
	sweepInterval = time.Minute
)

// Journal keeps the origins of streams in the platform's store, where they outlive the
// loss of all daemons: the record of versions does not tell which version began a stream
// once another one has joined.
type Journal struct {
	origins  *Origins
	versions *Versions
	table    Table
	duty     func() (scope Scope, ok bool)
	clock    peer.Clock
	logger   *zap.Logger

	// Used only by Step.
	position   uint64      // of the last origin that is written
	scope      Scope       // of the origins that are written up to there
	era        uint64      // of the store to which they are written
	contested  bool        // at the last step
	steppedAt  time.Time   // the last look for origins to write
	rows       int         // written so far; numbers the next one
	written    []storedRow // not deleted yet
	superseded int         // of the written rows: the first ones, whose origins are being written anew
	sweptAt    time.Time   // the last search for rows of processes that have ended
	deletedAt  time.Time   // the last call that deleted expired rows

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
		scanning: newTurn(), sweptAt: clock.Now(),
	}
}

// Step writes the origins that are not in the store, and deletes rows that are not needed
// any more.
func (j *Journal) Step(ctx context.Context) {
	j.deleteExpired(ctx)
	scope, writes := j.duty()
	if !writes {
		return
	}
	now := j.clock.Now()
	j.contested = len(j.origins.contestedServices()) > 0
	urgent := j.contested || j.origins.dividedSince(j.position)
	interval := calmInterval
	if scope != ScopeAll {
		interval = backupInterval
	}
	if !urgent && !j.steppedAt.IsZero() && now.Sub(j.steppedAt) < interval {
		return
	}
	j.steppedAt = now
	if era := j.table.Era(); era != j.era || scope != j.scope {
		// A copy of the store may lack rows, and a larger scope has earlier origins.
		j.position, j.era, j.scope = 0, era, scope
	}
	if len(j.written) >= maxWrittenRows && j.superseded == 0 {
		j.position, j.superseded = 0, len(j.written)
	}
	for range maxRowsPerStep {
		switch result := j.writeRow(ctx, scope); result {
		case rowFailed:
			return
		case rowsComplete:
			j.dropSuperseded()
			j.sweep(ctx, scope)
			return
		}
	}
}

// Active reports whether the last step found streams that only their origins tell apart,
// so that more may begin soon. It must not be called during a step.
func (j *Journal) Active() bool {
	return j.contested
}

// rowResult is what became of a row that was to be written.
type rowResult int

const (
	rowFailed rowResult = iota
	rowWritten
	rowsComplete // written or not needed, and no further origins are known
)

// writeRow writes one row of origins.
func (j *Journal) writeRow(ctx context.Context, scope Scope) rowResult {
	origins, next := j.origins.Since(j.position, scope, maxRowOrigins)
	if len(origins) == 0 {
		j.position = next
		return rowsComplete
	}
	var left time.Duration
	for _, origin := range origins {
		left = max(left, origin.TimeLeft)
	}
	now := j.clock.Now()
	until, known := j.versions.storeTime(now.Add(left))
	if !known {
		return rowFailed
	}
	j.rows++
	key := models.RowKey{Partition: models.PartitionOrigins, Name: strconv.FormatUint(j.origins.Instance(), 36) + "-" + strconv.Itoa(j.rows)}
	_, err := j.table.Transact(ctx, models.Transaction{Writes: []models.Write{{Key: key, Value: encodeOrigins(origins, until)}}})
	if peer.OutcomeOf(err) != peer.OutcomeNotDone || err == nil {
		j.written = append(j.written, storedRow{key, now.Add(left)})
	}
	j.report("origins of streams not written", err)
	if err != nil {
		return rowFailed
	}
	j.position = next
	if len(origins) < maxRowOrigins {
		return rowsComplete
	}
	return rowWritten
}

// dropSuperseded makes the rows whose origins were written anew expire.
func (j *Journal) dropSuperseded() {
	now := j.clock.Now()
	for i := range j.superseded {
		j.written[i].expires = now.Add(-deleteMargin)
	}
	j.superseded = 0
}

// sweep deletes rows of processes that have ended, from time to time.
func (j *Journal) sweep(ctx context.Context, scope Scope) {
	now := j.clock.Now()
	if scope != ScopeAll || now.Sub(j.sweptAt) < sweepInterval {
		return
	}
	j.sweptAt = now
	_ = j.Scan(ctx) // reports its errors
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
	if len(expired) == 0 || len(expired) < maxDeletes && now.Sub(j.deletedAt) < deleteInterval {
		return
	}
	j.deletedAt = now
	if j.delete(ctx, expired) != nil {
		return
	}
	for _, row := range j.written[:j.superseded] {
		if slices.Contains(expired, row) {
			j.superseded--
		}
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
