package billing

import (
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
	// closeFraction is the fraction of the report deadline after which a window
	// is closed, provided that all VMs have written their final counts.
	closeFraction = 0.2
	// forceFraction is the fraction of the report deadline after which a window
	// is closed even if counts are missing. The remainder is left for the report.
	forceFraction = 0.8
	// earlyFraction is the fraction of the report deadline after which a window is
	// closed if few counts are missing: they change little, and another daemon still
	// has the time to take over and report.
	earlyFraction = 0.5
	// fewMissing is the largest share of the VMs whose counts may be missing then.
	fewMissing = 0.04
	// retryInterval is the pause after a window could not be closed or reported,
	// for instance because counts are missing.
	retryInterval = time.Second
	// abandonFactor is how far back windows are still closed and reported, in
	// multiples of the report deadline.
	abandonFactor = 4
	// maxDeletes limits the rows that one transaction deletes.
	maxDeletes = 90
)

const (
	// errIncomplete means that a VM has not yet written its final counts.
	errIncomplete = errors.ConstError("final counts of at least one VM are missing")
	// errUnknown means that the table has lost whether a window was reported, and
	// with which counts.
	errUnknown = errors.ConstError("the window may have been reported before the table returned from an older copy")
)

// Rows is the table that holds the counts.
type Rows interface {
	peer.Table
	// Range lists the rows of a partition whose names are in [from, to).
	Range(ctx context.Context, partition models.Partition, from, to string) ([]models.Row, error)
}

// Closer freezes and reports billing windows while this daemon holds the usage
// lease.
type Closer struct {
	rows     Rows
	leases   peer.Leases
	reports  peer.WindowReports
	clocks   Clocks
	logger   *zap.Logger
	settings Settings

	// Accessed only by Step.
	reported map[int64]bool
	// decided has the counts of the windows that were frozen when this daemon took
	// over, and of those that it has tried to freeze since.
	decided        map[int64]map[models.Workspace]int64
	horizon        horizon // of the current era
	unknownThrough int64   // windows up to this one may have been reported unknown to this daemon
	fence          uint64  // fencing number that the fields above belong to
	lastFailureAt  time.Time

	unreported atomic.Int64
}

// Clocks are the clocks that a Closer uses.
type Clocks struct {
	Monotonic peer.Clock // never goes back; for the lease's deadline
	Wall      peer.Clock // time of day; for the bounds of windows
}

// NewCloser returns a Closer.
func NewCloser(rows Rows, leases peer.Leases, reports peer.WindowReports, clocks Clocks, logger *zap.Logger, settings Settings) *Closer {
	return &Closer{
		rows:     rows,
		leases:   leases,
		reports:  reports,
		clocks:   clocks,
		logger:   logger,
		settings: settings,
		reported: map[int64]bool{},
		decided:  map[int64]map[models.Workspace]int64{},
	}
}

// Unreported returns the number of windows with requests that were not reported,
// since the table had lost whether they had been.
func (c *Closer) Unreported() int64 {
	return c.unreported.Load()
}

// Step closes and reports the windows that are due, oldest first, if this
// daemon holds the usage lease.
func (c *Closer) Step(ctx context.Context) {
	authority := c.leases.Authority(models.LeaseUsage)
	if !authority.Valid(c.clocks.Monotonic.Now()) {
		return
	}
	now := c.clocks.Wall.Now()
	closeBefore := now.Add(-c.closeDelay())
	last := windowNumber(closeBefore, c.settings.Window) - 1
	first := windowNumber(now.Add(-abandonFactor*c.settings.ReportDeadline), c.settings.Window)
	if authority.Fence != c.fence && (now.Sub(c.lastFailureAt) < retryInterval || !c.takeOver(ctx, authority, first, now)) {
		return
	}
	for number := first; number <= last; number++ {
		if c.reported[number] {
			continue
		}
		if now.Sub(c.lastFailureAt) < retryInterval || !c.close(ctx, authority, number, now) {
			return
		}
	}
	for number := range c.reported {
		if number < first {
			delete(c.reported, number)
			delete(c.decided, number)
		}
	}
}

// closeDelay returns how long after its end a window is closed.
func (c *Closer) closeDelay() time.Duration {
	return time.Duration(closeFraction * float64(c.settings.ReportDeadline))
}

// takeOver prepares for a new authority: it finds out which windows from first on
// earlier holders have frozen, and up to which one they may have reported windows
// that the table no longer shows. A daemon that continues as the holder
// knows that from before.
func (c *Closer) takeOver(ctx context.Context, authority models.Authority, first int64, now time.Time) bool {
	current, err := c.findHorizon(ctx, authority, now)
	if err != nil {
		c.lastFailureAt = now
		c.logger.Warn("failed to take over billing windows", zap.Uint64("fence", authority.Fence), zap.Error(err))
		return false
	}
	if authority.Continues == 0 || authority.Continues != c.fence {
		frozen, err := c.frozenWindows(ctx, authority, first, current)
		if err != nil {
			c.lastFailureAt = now
			c.logger.Warn("failed to list frozen billing windows", zap.Uint64("fence", authority.Fence), zap.Error(err))
			return false
		}
		c.decided = frozen
		c.unknownThrough = current.window
	}
	clear(c.reported)
	c.horizon = current
	c.fence = authority.Fence
	return true
}

// findHorizon returns the horizon of the table's era, which the first holder in
// the era writes. A table that has never returned from an older copy has none.
func (c *Closer) findHorizon(ctx context.Context, authority models.Authority, now time.Time) (horizon, error) {
	era := authority.Guard.Revision.Era()
	if era == 0 {
		return horizon{window: -1}, nil
	}
	key := models.RowKey{Partition: models.PartitionUsage, Name: horizonRow}
	rows, err := c.rows.Read(ctx, key)
	if err != nil {
		return horizon{}, errors.Trace(err)
	}
	if len(rows) > 0 {
		stored, err := decodeHorizon(rows[0].Value)
		if err != nil || stored.era == era {
			return stored, err
		}
	}
	// An earlier holder's clock may have been ahead of this one.
	current := horizon{era: era, window: windowNumber(now.Add(c.closeDelay()), c.settings.Window) - 1}
	value, err := encodeHorizon(current)
	if err != nil {
		return horizon{}, err
	}
	_, err = c.rows.Transact(ctx, models.Transaction{
		Conditions: []models.Condition{authority.Guard},
		Writes:     []models.Write{{Key: key, Value: value}},
	})
	if err != nil {
		return horizon{}, errors.Trace(err)
	}
	c.logger.Info("first holder of the usage lease in an era of the table", zap.Uint64("era", era), zap.Int64("windows-through", current.window))
	return current, nil
}

// frozenWindows returns the counts of the windows from first on that were frozen
// when the authority began. An earlier holder's clock may have been ahead.
func (c *Closer) frozenWindows(ctx context.Context, authority models.Authority, first int64, current horizon) (map[int64]map[models.Workspace]int64, error) {
	rows, err := c.rows.Range(ctx, models.PartitionUsage, frozenRowName(first), frozenPrefix+"\xff")
	if err != nil {
		return nil, errors.Trace(err)
	}
	frozen := map[int64]map[models.Workspace]int64{}
	for _, row := range rows {
		number, ok := parseFrozenRowName(row.Key.Name)
		if !ok {
			continue
		}
		stored, err := decodeCounts(row.Value)
		if err != nil {
			return nil, err
		}
		if current.trusts(stored, number) {
			frozen[number] = stored.requests
		}
	}
	// Without this, the rows may be those of a later era, in which some are gone.
	if _, err := c.rows.Transact(ctx, models.Transaction{Conditions: []models.Condition{authority.Guard}}); err != nil {
		return nil, errors.Annotate(err, "cannot confirm the list")
	}
	return frozen, nil
}

// close freezes and reports a window. It returns whether the next window may be
// processed.
func (c *Closer) close(ctx context.Context, authority models.Authority, number int64, now time.Time) bool {
	requests, err := c.freeze(ctx, authority, number, now)
	if errors.Is(err, errIncomplete) {
		c.lastFailureAt = now
		return false
	}
	if errors.Is(err, errUnknown) {
		c.reported[number] = true
		c.unreported.Add(1)
		c.logger.Warn("billing window not reported", zap.Int64("window", number), zap.Uint64("era", c.horizon.era), zap.Error(err))
		return true
	}
	if err != nil {
		c.lastFailureAt = now
		c.logger.Warn("failed to close billing window", zap.Int64("window", number), zap.Error(err))
		return false
	}
	if len(requests) == 0 {
		c.reported[number] = true
		return true
	}
	if err := c.reports.Report(ctx, authority, number, requests); err != nil {
		c.lastFailureAt = now
		c.logger.Warn("failed to report billing window", zap.Int64("window", number), zap.Error(err))
		return false
	}
	c.reported[number] = true
	c.logger.Info("billing window reported", zap.Int64("window", number), zap.Uint64("fence", authority.Fence), zap.Int64("requests", totalRequests(requests)))
	return true
}

// freeze returns the final counts of a window. They are stored in a row that is
// written once: if it exists already, its counts are returned. Counts that this
// daemon has decided on are never replaced by others, since an earlier write or
// report of them may have been lost from the table.
func (c *Closer) freeze(ctx context.Context, authority models.Authority, number int64, now time.Time) (map[models.Workspace]int64, error) {
	key := models.RowKey{Partition: models.PartitionUsage, Name: frozenRowName(number)}
	frozen, err := c.rows.Read(ctx, key)
	if err != nil {
		return nil, errors.Trace(err)
	}
	condition := models.Condition{Key: key}
	requests, decided := c.decided[number]
	if len(frozen) > 0 {
		stored, err := decodeCounts(frozen[0].Value)
		if err != nil {
			return nil, err
		}
		if c.horizon.trusts(stored, number) && (!decided || maps.Equal(stored.requests, requests)) {
			c.decided[number] = stored.requests
			return stored.requests, nil
		}
		condition.Revision = frozen[0].Revision
	}
	prefix := countRowPrefix(number)
	rows, err := c.rows.Range(ctx, models.PartitionUsage, prefix, prefix+"\xff")
	if err != nil {
		return nil, errors.Trace(err)
	}
	if !decided {
		if requests, err = c.decide(rows, number, now); err != nil {
			return nil, err
		}
		if len(requests) == 0 {
			c.deleteRows(ctx, authority, rows)
			return nil, nil
		}
	}
	value, err := encodeCounts(counts{era: c.horizon.era, requests: requests})
	if err != nil {
		return nil, err
	}
	transaction := models.Transaction{
		Conditions: []models.Condition{condition, authority.Guard},
		Writes:     []models.Write{{Key: key, Value: value}},
	}
	first := rows[:min(len(rows), maxDeletes)]
	transaction.Writes = append(transaction.Writes, deletesOf(first)...)
	if _, err := c.rows.Transact(ctx, transaction); err != nil {
		if !decided && peer.OutcomeOf(err) != peer.OutcomeUnknown {
			delete(c.decided, number)
		}
		return nil, errors.Trace(err)
	}
	c.deleteRows(ctx, authority, rows[len(first):])
	return requests, nil
}

// deleteRows deletes count rows that are no longer needed. What is left after a failure
// is never read again.
func (c *Closer) deleteRows(ctx context.Context, authority models.Authority, rows []models.Row) {
	for chunk := range slices.Chunk(rows, maxDeletes) {
		_, err := c.rows.Transact(ctx, models.Transaction{Conditions: []models.Condition{authority.Guard}, Writes: deletesOf(chunk)})
		if err != nil {
			c.logger.Warn("failed to delete usage counts of a closed billing window", zap.Int("rows", len(rows)), zap.Error(err))
			return
		}
	}
}

func deletesOf(rows []models.Row) []models.Write {
	deletes := make([]models.Write, 0, len(rows))
	for _, row := range rows {
		deletes = append(deletes, models.Write{Key: row.Key, Delete: true})
	}
	return deletes
}

// decide returns the counts with which a window is to be frozen, the sum of the
// count rows.
func (c *Closer) decide(rows []models.Row, number int64, now time.Time) (map[models.Workspace]int64, error) {
	latest := c.latestCounts(rows, number)
	requests := sumCounts(latest)
	if number <= c.unknownThrough {
		if len(requests) == 0 {
			return nil, nil
		}
		return nil, errUnknown
	}
	if !c.ready(latest, now.Sub(windowEnd(number, c.settings.Window))) {
		return nil, errIncomplete
	}
	if len(requests) > 0 {
		c.decided[number] = requests
	}
	return requests, nil
}

// latestCounts returns the most recent counts of each daemon process.
func (c *Closer) latestCounts(rows []models.Row, number int64) map[models.DaemonID]counts {
	sequences := map[models.DaemonID]uint64{}
	latest := map[models.DaemonID]counts{}
	for _, row := range rows {
		daemon, sequence, ok := parseCountRowName(row.Key.Name, number)
		if !ok || sequence <= sequences[daemon] {
			continue
		}
		counted, err := decodeCounts(row.Value)
		if err != nil {
			c.logger.Error("failed to decode usage counts of a daemon", zap.String("daemon", string(daemon)), zap.Error(err))
			continue
		}
		sequences[daemon] = sequence
		latest[daemon] = counted
	}
	return latest
}

// ready reports whether a window can be closed some time after its end: enough VMs
// have written counts after it.
func (c *Closer) ready(latest map[models.DaemonID]counts, sinceEnd time.Duration) bool {
	final := map[string]bool{}
	for _, counted := range latest {
		final[counted.vm] = final[counted.vm] || counted.final
	}
	vms := c.settings.VMs()
	missing := 0
	for _, vm := range vms {
		if !final[vm] {
			missing++
		}
	}
	elapsed := sinceEnd.Seconds() / c.settings.ReportDeadline.Seconds()
	few := float64(missing) <= fewMissing*float64(len(vms))
	return missing == 0 || elapsed >= forceFraction || elapsed >= earlyFraction && few
}

func sumCounts(latest map[models.DaemonID]counts) map[models.Workspace]int64 {
	requests := map[models.Workspace]int64{}
	for _, counted := range latest {
		for workspace, n := range counted.requests {
			requests[workspace] += n
		}
	}
	return requests
}

func totalRequests(requests map[models.Workspace]int64) int64 {
	var sum int64
	for _, n := range requests {
		sum += n
	}
	return sum
}
