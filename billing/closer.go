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
	// closeFraction is the part of the time until a report is due after which a
	// window is closed where all daemons have written their counts.
	closeFraction = 0.2
	// forceFraction is the part of that time after which it is closed without
	// those that are missing; the rest is for the report.
	forceFraction = 0.8
	// retryInterval is the time between two looks for counts that are missing.
	retryInterval = time.Second
	// abandonFactor is how many times the time until a report is due it is still
	// tried.
	abandonFactor = 4
	// maxDeletes bounds the rows that one transaction of the store deletes.
	maxDeletes = 90
)

// errIncomplete says that counts of some VM are missing and are waited for.
const errIncomplete = errors.ConstError("counts of some VM are missing")

// Rows is the part of the store that holds the counts.
type Rows interface {
	peer.Table
	// Range lists the rows of a partition whose names lie between from and to,
	// the latter left out.
	Range(ctx context.Context, partition models.Partition, from, to string) ([]models.Row, error)
}

// Closer freezes and reports windows while this daemon holds the lease.
type Closer struct {
	rows     Rows
	leases   peer.Leases
	reports  peer.WindowReports
	clocks   Clocks
	logger   *zap.Logger
	settings Settings

	// Used by Step alone.
	reported      map[int64]bool
	fence         uint64 // of the authority at the last step
	lastFailureAt time.Time
}

// Clocks are those of a closer.
type Clocks struct {
	Monotonic peer.Clock // never goes back
	Wall      peer.Clock // tells the time of day, which windows go by
}

// NewCloser returns a closer that has reported nothing.
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

// Step closes and reports the windows that are due.
func (c *Closer) Step(ctx context.Context) {
	authority := c.leases.Authority(models.LeaseUsage)
	if !authority.Valid(c.clocks.Monotonic.Now()) {
		return
	}
	now := c.clocks.Wall.Now()
	if authority.Fence != c.fence {
		// Another holder may have reported some windows or not.
		c.fence = authority.Fence
		clear(c.reported)
	}
	closed := now.Add(-time.Duration(closeFraction * float64(c.settings.ReportDeadline)))
	last := windowNumber(closed, c.settings.Window) - 1
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

// close reports a window, and returns whether the next one may be tried.
func (c *Closer) close(ctx context.Context, authority models.Authority, number int64, now time.Time) bool {
	requests, err := c.freeze(ctx, authority, number, now)
	if errors.Is(err, errIncomplete) {
		c.lastFailureAt = now
		return false
	}
	if err != nil {
		c.lastFailureAt = now
		c.logger.Warn("billing window not closed", zap.Int64("window", number), zap.Error(err))
		return false
	}
	if len(requests) == 0 {
		c.reported[number] = true
		return true
	}
	if err := c.reports.Report(ctx, authority, number, requests); err != nil {
		c.lastFailureAt = now
		c.logger.Warn("billing window not reported", zap.Int64("window", number), zap.Error(err))
		return false
	}
	c.reported[number] = true
	c.logger.Info("billing window reported", zap.Int64("window", number), zap.Uint64("fence", authority.Fence), zap.Int64("requests", totalRequests(requests)))
	return true
}

// freeze returns the counts that a window has once and for all. Whoever writes
// the frozen row first decides.
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

// latestCounts returns the counts that each process wrote last.
func (c *Closer) latestCounts(rows []models.Row, number int64) map[models.DaemonID]counts {
	writes := map[models.DaemonID]uint64{}
	latest := map[models.DaemonID]counts{}
	for _, row := range rows {
		daemon, write, ok := parseCountRowName(row.Key.Name, number)
		if !ok || write <= writes[daemon] {
			continue
		}
		counted, err := decodeCounts(row.Value)
		if err != nil {
			c.logger.Error("counts of a daemon not decoded", zap.String("daemon", string(daemon)), zap.Error(err))
			continue
		}
		writes[daemon] = write
		latest[daemon] = counted
	}
	return latest
}

// complete reports whether all VMs have written counts after the window's end.
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
