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
	// closeShare is the part of the time until a report is due after which a
	// window is closed: half is left for a store or a platform that fails.
	closeShare = 0.45
	// lateFactor is how many times the time until a report is due it is still
	// tried.
	lateFactor = 4
	// mostDeletes bounds the rows that one transaction of the store deletes.
	mostDeletes = 90
)

// Rows is the part of the store that holds the counts.
type Rows interface {
	peer.Table
	// Range lists the rows of a partition whose names lie between from and to,
	// the latter left out.
	Range(ctx context.Context, partition models.Partition, from, to string) ([]models.Row, error)
}

// Closer freezes and reports windows while this daemon holds the lease.
type Closer struct {
	rows    Rows
	leases  peer.Leases
	reports peer.WindowReports
	clock   peer.Clock // for the lease
	wall    peer.Clock // for the windows
	logger  *zap.Logger
	window  time.Duration
	latest  time.Duration // from a window's end to its report

	// Used by Step alone.
	reported map[int64]bool
	fence    uint64 // of the authority at the last step
}

// NewCloser returns a closer that has reported nothing.
func NewCloser(rows Rows, leases peer.Leases, reports peer.WindowReports, clock, wall peer.Clock, logger *zap.Logger, window, latest time.Duration) *Closer {
	return &Closer{
		rows:     rows,
		leases:   leases,
		reports:  reports,
		clock:    clock,
		wall:     wall,
		logger:   logger,
		window:   window,
		latest:   latest,
		reported: map[int64]bool{},
	}
}

// Step closes and reports the windows that are due.
func (c *Closer) Step(ctx context.Context) {
	authority := c.leases.Authority(models.LeaseUsage)
	if !authority.Valid(c.clock.Now()) {
		return
	}
	now := c.wall.Now()
	if authority.Fence != c.fence {
		// Another holder may have reported some windows or not.
		c.fence = authority.Fence
		clear(c.reported)
	}
	closed := now.Add(-time.Duration(closeShare * float64(c.latest)))
	last := windowOf(closed, c.window) - 1
	first := windowOf(now.Add(-lateFactor*c.latest), c.window)
	for number := first; number <= last; number++ {
		if !c.reported[number] && !c.close(ctx, authority, number) {
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
func (c *Closer) close(ctx context.Context, authority models.Authority, number int64) bool {
	requests, err := c.freeze(ctx, authority, number)
	if err != nil {
		c.logger.Warn("billing window not closed", zap.Int64("window", number), zap.Error(err))
		return false
	}
	if len(requests) == 0 {
		c.reported[number] = true
		return true
	}
	if err := c.reports.Report(ctx, authority, number, requests); err != nil {
		c.logger.Warn("billing window not reported", zap.Int64("window", number), zap.Error(err))
		return false
	}
	c.reported[number] = true
	c.logger.Info("billing window reported", zap.Int64("window", number), zap.Uint64("fence", authority.Fence), zap.Int64("requests", total(requests)))
	return true
}

// freeze returns the counts that a window has once and for all. Whoever writes
// the frozen row first decides.
func (c *Closer) freeze(ctx context.Context, authority models.Authority, number int64) (map[models.Workspace]int64, error) {
	key := models.RowKey{Partition: models.PartitionUsage, Name: frozenName(number)}
	frozen, err := c.rows.Read(ctx, key)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(frozen) > 0 {
		return decodeCounts(frozen[0].Value)
	}
	prefix := countPrefixOf(number)
	rows, err := c.rows.Range(ctx, models.PartitionUsage, prefix, prefix+"\xff")
	if err != nil {
		return nil, errors.Trace(err)
	}
	requests := c.sum(rows, number)
	if len(requests) == 0 {
		return nil, nil
	}
	value, err := encodeCounts(requests)
	if err != nil {
		return nil, err
	}
	transaction := models.Transaction{
		Conditions: []models.Condition{{Key: key}, authority.Guard},
		Writes:     []models.Write{{Key: key, Value: value}},
	}
	for i, row := range rows {
		if i < mostDeletes {
			transaction.Writes = append(transaction.Writes, models.Write{Key: row.Key, Delete: true})
		}
	}
	if _, err := c.rows.Transact(ctx, transaction); err != nil {
		return nil, errors.Trace(err)
	}
	return requests, nil
}

// sum adds up the last row of each daemon.
func (c *Closer) sum(rows []models.Row, number int64) map[models.Workspace]int64 {
	type latest struct {
		write uint64
		row   models.Row
	}
	byDaemon := map[models.DaemonID]latest{}
	for _, row := range rows {
		daemon, write, ok := parseCountName(row.Key.Name, number)
		if ok && write > byDaemon[daemon].write {
			byDaemon[daemon] = latest{write: write, row: row}
		}
	}
	sum := map[models.Workspace]int64{}
	for daemon, l := range byDaemon {
		requests, err := decodeCounts(l.row.Value)
		if err != nil {
			c.logger.Error("counts of a daemon not decoded", zap.String("daemon", string(daemon)), zap.Error(err))
			continue
		}
		for workspace, n := range requests {
			sum[workspace] += n
		}
	}
	return sum
}

func total(requests map[models.Workspace]int64) int64 {
	var sum int64
	for _, n := range requests {
		sum += n
	}
	return sum
}
