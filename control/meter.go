package control

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

const (
	// maxClockError is how well the platform's time is to be known where that
	// decides on a count's window.
	maxClockError = 100 * time.Millisecond
	// maxAmbiguityWait is how long a count waits for that.
	maxAmbiguityWait = time.Minute
)

// UsageSettings are the times of billing windows.
type UsageSettings struct {
	Window time.Duration // length of a window
	Grace  time.Duration // from a window's end until it is closed
	// Retention is how long counts stay in the table after that. A daemon that is in
	// doubt about its last write for longer gives up what it may have written.
	Retention time.Duration
}

// DefaultUsageSettings returns the settings of a daemon.
func DefaultUsageSettings() UsageSettings {
	return UsageSettings{Window: 5 * time.Minute, Grace: 15 * time.Second, Retention: time.Hour}
}

// Meter counts what requests used, and writes the counts of each window into
// a row of its own in the table: totals, so that a repeated write counts
// nothing twice. A window's row is only written while the window is not
// closed; what comes later goes into the open window as use of its own one.
type Meter struct {
	daemon   models.DaemonID
	table    peer.Table
	clock    peer.Clock
	platform *PlatformClock
	timeline peer.Timeline
	settings UsageSettings

	writeMu sync.Mutex // one flush at a time

	mu           sync.Mutex
	pending      []requestCount // counted before the platform's time was known
	records      map[int64]*windowRecord
	oldestWindow int64 // no record is begun for windows before this one
	totals       map[models.Workspace]models.Usage
}

// requestCount is the use of one request.
type requestCount struct {
	workspace models.Workspace
	endedAt   time.Time
	usage     models.Usage
}

// windowRecord is what this daemon counts in one window.
type windowRecord struct {
	total         tally
	flushed       tally // what the table has
	maybeFlushed  tally // what it may have instead, after a lost answer; else nil
	revision      models.Revision
	uncertain     bool // the row has to be read before it is written again
	writeAttempts int  // tried, to name them
}

// NewMeter returns a meter without counts.
func NewMeter(daemon models.DaemonID, table peer.Table, clock peer.Clock, platform *PlatformClock, timeline peer.Timeline, settings UsageSettings) *Meter {
	return &Meter{
		daemon:   daemon,
		table:    table,
		clock:    clock,
		platform: platform,
		timeline: timeline,
		settings: settings,
		records:  map[int64]*windowRecord{},
		totals:   map[models.Workspace]models.Usage{},
	}
}

// Count implements peer.Meter.
func (m *Meter) Count(workspace models.Workspace, endedAt time.Time, usage models.Usage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.totals[workspace] = m.totals[workspace].Add(usage)
	m.pending = append(m.pending, requestCount{workspace: workspace, endedAt: endedAt, usage: usage})
}

// Totals returns the counts since the daemon's start.
func (m *Meter) Totals() map[models.Workspace]models.Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.totals)
}

// Step writes what was counted since the last one. What may belong to either
// of two windows waits until the platform's time is better known: it is late
// then rather than in the wrong window.
func (m *Meter) Step(ctx context.Context) {
	_ = m.writePending(ctx, m.ambiguous)
}

// Flush writes all that was counted, and returns the first error of a write.
func (m *Meter) Flush(ctx context.Context) error {
	return m.writePending(ctx, func(requestCount) bool { return false })
}

// writePending writes what was counted but for what is to wait.
func (m *Meter) writePending(ctx context.Context, deferred func(requestCount) bool) error {
	m.writeMu.Lock()
	defer m.writeMu.Unlock()
	now, _, known := m.platform.At(m.clock.Now())
	if !known && m.idle() {
		return nil
	}
	if !known {
		return notDone("the platform's time is not known yet")
	}
	current := windowStart(now, m.settings.Window)
	m.assignWindows(current, deferred)
	var failed error
	for _, window := range m.dirty() {
		if err := m.flushWindow(ctx, window, current); err != nil && failed == nil {
			failed = err
		}
	}
	m.evictRecords(current)
	return failed
}

// idle reports whether nothing waits.
func (m *Meter) idle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.pending) == 0
}

// ambiguous reports whether a count's window is not certain and may become so.
func (m *Meter) ambiguous(c requestCount) bool {
	at, bound, _ := m.platform.At(c.endedAt)
	if bound <= maxClockError || m.clock.Now().Sub(c.endedAt) > maxAmbiguityWait {
		return false
	}
	length := m.settings.Window
	return windowStart(at.Add(-bound), length) != windowStart(at.Add(bound), length)
}

// assignWindows assigns counts to the windows in which their requests ended.
func (m *Meter) assignWindows(current int64, deferred func(requestCount) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var waiting []requestCount
	for _, c := range m.pending {
		if deferred(c) {
			waiting = append(waiting, c)
			continue
		}
		at, _, _ := m.platform.At(c.endedAt)
		window := windowStart(at, m.settings.Window)
		target := window
		if window < m.oldestWindow {
			target = current
		}
		record := m.record(target)
		record.total.add(tally{usageEntry{window, c.workspace}: c.usage})
	}
	m.pending = waiting
}

// record returns the record of a window. The lock is held.
func (m *Meter) record(window int64) *windowRecord {
	record, ok := m.records[window]
	if !ok {
		record = &windowRecord{total: tally{}, flushed: tally{}}
		m.records[window] = record
	}
	return record
}

// dirty returns the windows whose row is behind, oldest first.
func (m *Meter) dirty() []int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var windows []int64
	for window, record := range m.records {
		if len(record.total.minus(record.flushed)) > 0 {
			windows = append(windows, window)
		}
	}
	slices.Sort(windows)
	return windows
}

// flushWindow writes the row of one window, or moves what it lacks to the current
// window when it is closed.
func (m *Meter) flushWindow(ctx context.Context, window, current int64) error {
	m.mu.Lock()
	record := *m.records[window]
	record.total = maps.Clone(record.total)
	m.records[window].writeAttempts++
	m.mu.Unlock()
	if record.uncertain {
		return m.reconcile(ctx, window, record, current)
	}
	value, err := encodeTally(record.total)
	if err != nil {
		return err
	}
	key := countKey(window, m.daemon)
	revision, err := m.table.Transact(ctx, models.Transaction{
		ID:         key.Name + "/" + strconv.Itoa(record.writeAttempts),
		Conditions: []models.Condition{{Key: usageKey(closedPrefix, window, "")}, {Key: key, Revision: record.revision}},
		Writes:     []models.Write{{Key: key, Value: value}},
	})
	switch {
	case err == nil:
		m.markFlushed(window, record.total, revision)
		return nil
	case peer.OutcomeOf(err) == peer.OutcomeConflict:
		return m.reconcile(ctx, window, record, current)
	case peer.OutcomeOf(err) == peer.OutcomeUnknown:
		m.markUncertain(window, record.total)
	}
	return err
}

// reconcile finds out what the table has of a window. The closing is read first:
// once it is there, the counts do not change any more.
func (m *Meter) reconcile(ctx context.Context, window int64, record windowRecord, current int64) error {
	closed, err := m.table.Read(ctx, usageKey(closedPrefix, window, ""))
	if err != nil {
		m.markUncertain(window, record.maybeFlushed)
		return err
	}
	rows, err := m.table.Read(ctx, countKey(window, m.daemon))
	if err != nil {
		m.markUncertain(window, record.maybeFlushed)
		return err
	}
	flushed, revision, err := record.tableState(rows)
	if err != nil {
		return err
	}
	m.markFlushed(window, flushed, revision)
	if len(closed) == 0 {
		return nil
	}
	if err := m.confirmReads(ctx, closed[0], models.Condition{Key: countKey(window, m.daemon), Revision: revision}); err != nil {
		m.markUncertain(window, record.maybeFlushed)
		return err
	}
	m.moveLateCounts(window, max(current, window+int64(m.settings.Window/time.Second)))
	return nil
}

// confirmReads makes sure that the readings of a closed window and of its counts
// did not lag: what they showed still stands, and so stands for good.
func (m *Meter) confirmReads(ctx context.Context, closed models.Row, counts models.Condition) error {
	_, err := m.table.Transact(ctx, models.Transaction{
		Conditions: []models.Condition{{Key: closed.Key, Revision: closed.Revision}, counts},
	})
	return err
}

// tableState returns what the table has. Of a row that was cleaned up, it is what
// was last written, as far as that may have arrived: nothing is counted twice.
func (r windowRecord) tableState(rows []models.Row) (tally, models.Revision, error) {
	switch {
	case len(rows) == 0:
		return tally{}, 0, nil
	case rows[0].Deleted && r.maybeFlushed != nil:
		return r.maybeFlushed, rows[0].Revision, nil
	case rows[0].Deleted:
		return r.flushed, rows[0].Revision, nil
	}
	flushed, err := decodeTally(rows[0].Value)
	return flushed, rows[0].Revision, err
}

func (m *Meter) markFlushed(window int64, flushed tally, revision models.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	record := m.records[window]
	record.flushed = flushed
	record.revision = revision
	record.uncertain = false
	record.maybeFlushed = nil
}

func (m *Meter) markUncertain(window int64, maybeFlushed tally) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records[window].uncertain = true
	m.records[window].maybeFlushed = maybeFlushed
}

// moveLateCounts makes what a closed window lacks an adjustment in a later one.
func (m *Meter) moveLateCounts(window, to int64) {
	m.mu.Lock()
	record := m.records[window]
	late := record.total.minus(record.flushed)
	record.total = maps.Clone(record.flushed)
	m.record(to).total.add(late)
	m.mu.Unlock()
	for _, entry := range late.entries() {
		m.timeline.Record(models.Event{
			Kind:      models.EventUsage,
			Workspace: entry.workspace,
			What:      "use of window " + formatWindow(entry.window) + " goes to window " + formatWindow(to) + " as an adjustment",
			Why:       "it came in after its window was closed",
		})
	}
}

// evictRecords drops the records of windows that are complete and long past.
func (m *Meter) evictRecords(current int64) {
	past := current - 2*int64(m.settings.Window/time.Second)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.oldestWindow = max(m.oldestWindow, past)
	for window, record := range m.records {
		if window < past && !record.uncertain && len(record.total.minus(record.flushed)) == 0 {
			delete(m.records, window)
		}
	}
}

// windowStart returns the start of the window of an instant, in seconds.
func windowStart(platform time.Time, length time.Duration) int64 {
	seconds := int64(length / time.Second)
	return platform.Unix() / seconds * seconds
}

func formatWindow(window int64) string {
	return time.Unix(window, 0).UTC().Format(time.RFC3339)
}
