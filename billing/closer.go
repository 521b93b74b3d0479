package billing

import (
	"context"
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
	// retryInterval is the pause after a window could not be closed or reported,
	// for instance because counts are missing.
	retryInterval = time.Second
	// abandonFactor is how far back windows are still closed and reported, in
	// multiples of the report deadline.
	abandonFactor = 4
	// maxDeletes limits the rows that one transaction deletes.
	maxDeletes = 90
)

// errIncomplete means that a VM has not yet written its final counts.
const errIncomplete = errors.ConstError("final counts of at least one VM are missing")

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
	reported      map[int64]bool
	fence         uint64 // fencing number at the last step
	lastFailureAt time.Time
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
	}
}

// Step closes and reports the windows that are due, oldest first, if this
// daemon holds the usage lease.
func (c *Closer) Step(ctx context.Context) {
	authority := c.leases.Authority(models.LeaseUsage)
	if !authority.Valid(c.clocks.Monotonic.Now()) {
		return
	}
	now := c.clocks.Wall.Now()
	if authority.Fence != c.fence {
		// The lease may have had another holder in the meantime, so it is unknown
		// which windows have been reported.
		c.fence = authority.Fence
		clear(c.reported)
	}
	closeBefore := now.Add(-time.Duration(closeFraction * float64(c.settings.ReportDeadline)))
	last := windowNumber(closeBefore, c.settings.Window) - 1
	first := windowNumber(now.Add(-abandonFactor*c.settings.ReportDeadline), c.settings.Window)
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
		}
	}
}

// close freezes and reports a window. It returns whether the next window may be
// processed.
func (c *Closer) close(ctx context.Context, authority models.Authority, number int64, now time.Time) bool {
	requests, err := c.freeze(ctx, authority, number, now)
	if errors.Is(err, errIncomplete) {
		c.lastFailureAt = now
		return false
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
// written once: if it exists already, its counts are returned.
func (c *Closer) freeze(ctx context.Context, authority models.Authority, number int64, now time.Time) (map[models.Workspace]int64, error) {
	key := models.RowKey{Partition: models.PartitionUsage, Name: frozenRowName(number)}
	frozen, err := c.rows.Read(ctx, key)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(frozen) > 0 {
		sum, err := decodeCounts(frozen[0].Value)
		return sum.requests, err
	}
	prefix := countRowPrefix(number)
	rows, err := c.rows.Range(ctx, models.PartitionUsage, prefix, prefix+"\xff")
	if err != nil {
		return nil, errors.Trace(err)
	}
	latest := c.latestCounts(rows, number)
	forced := now.Sub(windowEnd(number, c.settings.Window)) >= time.Duration(forceFraction*float64(c.settings.ReportDeadline))
	if !forced && !c.complete(latest) {
		return nil, errIncomplete
	}
	requests := sumCounts(latest)
	if len(requests) == 0 {
		return nil, nil
	}
	value, err := encodeCounts(counts{requests: requests})
	if err != nil {
		return nil, err
	}
	transaction := models.Transaction{
		Conditions: []models.Condition{{Key: key}, authority.Guard},
		Writes:     []models.Write{{Key: key, Value: value}},
	}
	for i, row := range rows {
		if i < maxDeletes {
			transaction.Writes = append(transaction.Writes, models.Write{Key: row.Key, Delete: true})
		}
	}
	if _, err := c.rows.Transact(ctx, transaction); err != nil {
		return nil, errors.Trace(err)
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

// complete reports whether every VM has written counts after the window's end.
func (c *Closer) complete(latest map[models.DaemonID]counts) bool {
	final := map[string]bool{}
	for _, counted := range latest {
		final[counted.vm] = final[counted.vm] || counted.final
	}
	for _, vm := range c.settings.VMs() {
		if !final[vm] {
			return false
		}
	}
	return true
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
