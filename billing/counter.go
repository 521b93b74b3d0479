// Package billing counts the requests that backend servers began to run, and
// reports each billing window once. Counts of one daemon go into rows of its
// own; the holder of the lease adds them up, freezes the sum, and reports it.
package billing

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/peer"
)

const (
	// settleDelay is how long after a window's end its counts are written: a
	// request counts when its first event is here, which tells of its start.
	settleDelay = 250 * time.Millisecond
	// retainedWindows is how many past windows a daemon still counts for.
	retainedWindows = 4
	// writeRetryInterval is the time between two writes while they fail.
	writeRetryInterval = time.Second
	// flushesPerWindow is how often counts are written while a window lasts,
	// where there are few VMs: one that is killed loses no more than that part
	// of its counts.
	flushesPerWindow = 4
	// largeFleetVMs is from where on they are written after the window's end only:
	// what one VM loses is a small part of all.
	largeFleetVMs = 40
)

// Settings of counters and closers.
type Settings struct {
	Window         time.Duration   // length of a billing window
	ReportDeadline time.Duration   // from a window's end to its report
	VMs            func() []string // those that may have counts
}

// Counter counts requests by window and workspace. It implements
// relay.UsageMeter.
type Counter struct {
	vm       string
	daemon   models.DaemonID
	table    peer.Table
	clock    peer.Clock // tells the time of day
	logger   *zap.Logger
	settings Settings

	mu          sync.Mutex
	windows     map[int64]*windowCounts
	writes      uint64
	failing     bool // the latest write failed
	lastWriteAt time.Time
}

// windowCounts is what a daemon counted in one window.
type windowCounts struct {
	requests  map[models.Workspace]int64
	changed   bool // since the last write
	final     bool // the last write came after the window's end
	writtenAt time.Time
}

// NewCounter returns a counter. Daemon names this process on its VM: two
// processes never write the same row. The clock tells the time of day.
func NewCounter(vm string, daemon models.DaemonID, table peer.Table, clock peer.Clock, logger *zap.Logger, settings Settings) *Counter {
	return &Counter{
		vm:       vm,
		daemon:   daemon,
		table:    table,
		clock:    clock,
		logger:   logger,
		settings: settings,
		windows:  map[int64]*windowCounts{},
	}
}

// Count counts a request that a backend server has just begun to run.
func (c *Counter) Count(workspace models.Workspace) {
	at := c.clock.Now()
	number := windowNumber(at, c.settings.Window)
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.windows[number]
	if !ok {
		w = &windowCounts{requests: map[models.Workspace]int64{}, writtenAt: at}
		c.windows[number] = w
	}
	w.requests[workspace]++
	w.changed = true
}

// Step writes counts that are due.
func (c *Counter) Step(ctx context.Context) {
	now := c.clock.Now()
	if c.inBackoff(now) {
		return
	}
	for number, requests := range c.takeDue(now, false) {
		c.write(ctx, number, requests)
	}
}

// Flush writes all counts, at a planned stop.
func (c *Counter) Flush(ctx context.Context) {
	for number, requests := range c.takeDue(c.clock.Now(), true) {
		c.write(ctx, number, requests)
	}
}

// inBackoff reports whether the store failed a moment ago.
func (c *Counter) inBackoff(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failing && now.Sub(c.lastWriteAt) < writeRetryInterval
}

func (c *Counter) takeDue(now time.Time, all bool) map[int64]map[models.Workspace]int64 {
	few := len(c.settings.VMs()) < largeFleetVMs
	c.mu.Lock()
	defer c.mu.Unlock()
	due := map[int64]map[models.Workspace]int64{}
	for number, w := range c.windows {
		if windowNumber(now, c.settings.Window)-number > retainedWindows {
			delete(c.windows, number)
			continue
		}
		over := !now.Before(windowEnd(number, c.settings.Window).Add(settleDelay))
		stale := few && now.Sub(w.writtenAt) >= c.settings.Window/flushesPerWindow
		if w.changed && (all || over || stale) || over && !w.final {
			due[number] = maps.Clone(w.requests)
			w.changed = false
			w.final = over
			w.writtenAt = now
		}
	}
	return due
}

// write puts a window's counts so far into a row of its own. A row written
// before, or one that a lost call writes late, is told from it by its number.
func (c *Counter) write(ctx context.Context, number int64, requests map[models.Workspace]int64) {
	c.mu.Lock()
	c.writes++
	name := countRowName(number, c.daemon, c.writes)
	c.lastWriteAt = c.clock.Now()
	final := c.lastWriteAt.After(windowEnd(number, c.settings.Window))
	c.mu.Unlock()
	value, err := encodeCounts(counts{vm: c.vm, final: final, requests: requests})
	if err != nil {
		c.logger.Error("counts of a window not encoded", zap.Error(err))
		return
	}
	key := models.RowKey{Partition: models.PartitionUsage, Name: name}
	_, err = c.table.Transact(ctx, models.Transaction{Writes: []models.Write{{Key: key, Value: value}}})
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.failing = false
		return
	}
	if !c.failing {
		c.logger.Warn("counts of a window not written, to be tried until the store is back", zap.Int64("window", number), zap.Error(err))
	}
	c.failing = true
	if w, ok := c.windows[number]; ok {
		w.changed = true
		w.final = false
	}
}

// windowNumber returns the number of the window that a time is in, counted from
// the start of 1970.
func windowNumber(at time.Time, length time.Duration) int64 {
	return at.UnixNano() / int64(length)
}

// windowEnd returns the end of a window.
func windowEnd(number int64, length time.Duration) time.Time {
	return time.Unix(0, (number+1)*int64(length))
}
