// Package billing counts the requests that backend servers started to run, and
// reports them to the platform per billing window. Each daemon writes its
// counts to rows of its own. The holder of the usage lease sums them, freezes
// the sum in a row that is written once, and reports it.
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
	// settleDelay is how long after a window's end its final counts are written.
	// A request is counted when its first event arrives, since that shows that it
	// has started.
	settleDelay = 250 * time.Millisecond
	// retainedWindows is the number of past windows whose counts are kept in
	// memory.
	retainedWindows = 4
	// writeRetryInterval is the time between write attempts while writes fail.
	writeRetryInterval = time.Second
	// flushesPerWindow is how often counts are written during a window if there
	// are fewer than largeFleetVMs VMs. A daemon that is killed then loses at most
	// the counts of that fraction of a window.
	flushesPerWindow = 4
	// largeFleetVMs is the number of VMs from which counts are written only after
	// the window's end, since one VM's counts are then a small part of the total.
	largeFleetVMs = 40
)

// Settings are the settings of counters and closers.
type Settings struct {
	Window         time.Duration   // length of a billing window
	ReportDeadline time.Duration   // from a window's end to when its report is due
	VMs            func() []string // VMs that may have counts
}

// CountTable is the table that a Counter writes to.
type CountTable interface {
	peer.Table
	// Era returns the latest era of the table that is known here, 0 if none is.
	Era() uint64
}

// Counter counts requests per window and workspace. It implements
// relay.UsageMeter.
type Counter struct {
	vm       string
	daemon   models.DaemonID
	table    CountTable
	clock    peer.Clock // wall clock
	logger   *zap.Logger
	settings Settings
	first    int64 // window in which this process began to count

	mu          sync.Mutex
	windows     map[int64]*windowCounts
	writes      uint64
	failing     bool // the last write failed
	lastWriteAt time.Time
	written     bool   // counts have been written
	era         uint64 // of the table, as last known
}

// windowCounts are the counts of this daemon in one window.
type windowCounts struct {
	requests  map[models.Workspace]int64
	changed   bool // since the last write
	final     bool // the last write came after the window's end
	writtenAt time.Time
}

// NewCounter returns a Counter. The daemon ID must be unique to this process,
// so that no two processes write the same row. The clock is the wall clock.
func NewCounter(vm string, daemon models.DaemonID, table CountTable, clock peer.Clock, logger *zap.Logger, settings Settings) *Counter {
	return &Counter{
		vm:       vm,
		daemon:   daemon,
		table:    table,
		clock:    clock,
		logger:   logger,
		settings: settings,
		first:    windowNumber(clock.Now(), settings.Window),
		windows:  map[int64]*windowCounts{},
	}
}

// Count counts a request that a backend server has just started to run.
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

// Step writes the counts that are due.
func (c *Counter) Step(ctx context.Context) {
	now := c.clock.Now()
	if c.inBackoff(now) {
		return
	}
	c.observeEra(c.table.Era())
	for number, requests := range c.takeDue(now, false) {
		c.write(ctx, number, requests)
	}
}

// Flush writes all counts that have not been written. It is called at a planned
// stop.
func (c *Counter) Flush(ctx context.Context) {
	for number, requests := range c.takeDue(c.clock.Now(), true) {
		c.write(ctx, number, requests)
	}
}

// inBackoff reports whether the last write failed less than writeRetryInterval
// ago.
func (c *Counter) inBackoff(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failing && now.Sub(c.lastWriteAt) < writeRetryInterval
}

// takeDue returns the counts to be written and marks them as written. With all,
// it includes changed counts that are not due yet.
func (c *Counter) takeDue(now time.Time, all bool) map[int64]map[models.Workspace]int64 {
	frequent := len(c.settings.VMs()) < largeFleetVMs
	c.mu.Lock()
	defer c.mu.Unlock()
	// A window is closed once all VMs have said that their counts are final, those
	// without any too.
	if last := windowNumber(now, c.settings.Window) - 1; last >= c.first && c.windows[last] == nil {
		c.windows[last] = &windowCounts{requests: map[models.Workspace]int64{}, writtenAt: now}
	}
	due := map[int64]map[models.Workspace]int64{}
	for number, w := range c.windows {
		if windowNumber(now, c.settings.Window)-number > retainedWindows {
			delete(c.windows, number)
			continue
		}
		over := !now.Before(windowEnd(number, c.settings.Window).Add(settleDelay))
		stale := frequent && now.Sub(w.writtenAt) >= c.settings.Window/flushesPerWindow
		if w.changed && (all || over || stale) || over && !w.final {
			due[number] = maps.Clone(w.requests)
			w.changed = false
			w.final = over
			w.writtenAt = now
		}
	}
	return due
}

// write stores a window's current counts in a new row. The sequence number in
// the row's name orders it after earlier rows, including those of calls that
// timed out and take effect later.
func (c *Counter) write(ctx context.Context, number int64, requests map[models.Workspace]int64) {
	c.mu.Lock()
	c.writes++
	name := countRowName(number, c.daemon, c.writes)
	c.lastWriteAt = c.clock.Now()
	final := c.lastWriteAt.After(windowEnd(number, c.settings.Window))
	c.mu.Unlock()
	value, err := encodeCounts(counts{vm: c.vm, final: final, requests: requests})
	if err != nil {
		c.logger.Error("failed to encode usage counts of a billing window", zap.Error(err))
		return
	}
	key := models.RowKey{Partition: models.PartitionUsage, Name: name}
	revision, err := c.table.Transact(ctx, models.Transaction{Writes: []models.Write{{Key: key, Value: value}}})
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.failing = false
		if !c.written {
			c.written = true
			c.era = revision.Era()
		}
		return
	}
	if !c.failing {
		c.logger.Warn("failed to write usage counts of a billing window; retrying until the store answers", zap.Int64("window", number), zap.Error(err))
	}
	c.failing = true
	if w, ok := c.windows[number]; ok {
		w.changed = true
		w.final = false
	}
}

// observeEra records the era of the table. If the table has returned from an older
// copy, all counts in memory are written again.
func (c *Counter) observeEra(era uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if era == c.era {
		return
	}
	c.era = era
	if !c.written {
		return
	}
	for _, w := range c.windows {
		w.changed = true
		w.final = false
	}
}

// windowNumber returns the number of the window that contains a time, counted
// from the Unix epoch.
func windowNumber(at time.Time, length time.Duration) int64 {
	return at.UnixNano() / int64(length)
}

// windowEnd returns the end of a window.
func windowEnd(number int64, length time.Duration) time.Time {
	return time.Unix(0, (number+1)*int64(length))
}
