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
	// maxClockError is the error of the platform's time up to which a count is
	// assigned to a window without further wait.
	maxClockError = 100 * time.Millisecond
	// maxAmbiguityWait is how long a count waits for a smaller error.
	maxAmbiguityWait = time.Minute
)

// UsageSettings holds the durations of billing windows.
type UsageSettings struct {
	Window time.Duration // length of a window
	Grace  time.Duration // from a window's end until it is closed
	// Retention is how long counts stay in the table after Grace. A daemon that
	// does not learn the outcome of its last write within that time treats the
	// write as committed: its counts may be lost but are never billed twice.
	Retention time.Duration
}

// DefaultUsageSettings returns the settings that a daemon uses.
func DefaultUsageSettings() UsageSettings {
	return UsageSettings{Window: 5 * time.Minute, Grace: 15 * time.Second, Retention: time.Hour}
}

// Meter counts the usage of requests and writes the counts of each window to a
// row of this daemon's in the table. Rows hold totals, so that a repeated write
// counts nothing twice. A row is only written until its window is closed; later
// counts go into the row of an open window, labelled with the window that they
// belong to.
type Meter struct {
	daemon   models.DaemonID
	table    UsageTable
	clock    peer.Clock
	platform *PlatformClock
	timeline peer.Timeline
	settings UsageSettings

	writeMu sync.Mutex // serializes writes to the table

	mu           sync.Mutex
	pending      []requestCount // not yet assigned to a window
	records      map[int64]*windowRecord
	oldestWindow int64  // no record is created for an earlier window
	era          uint64 // of the table, as last known
	totals       map[models.Workspace]models.Usage
}

// requestCount is the usage of one request.
type requestCount struct {
	workspace models.Workspace
	endedAt   time.Time
	usage     models.Usage
}

// windowRecord holds this daemon's counts for the row of one window.
type windowRecord struct {
	total         tally
	flushed       tally // known to be in the table
	maybeFlushed  tally // may be in the table instead, after a lost answer; else nil
	stored        tally // has been in the table, in this era or an earlier one
	attempted     tally // may be in the table of this era, after a lost answer; else nil
	maybeReported bool  // the window may have been reported in an earlier era
	revision      models.Revision
	uncertain     bool // the row must be read before the next write
	writeAttempts int  // part of the transaction IDs
}

// NewMeter returns a meter without counts.
func NewMeter(daemon models.DaemonID, table UsageTable, clock peer.Clock, platform *PlatformClock, timeline peer.Timeline, settings UsageSettings) *Meter {
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

// Totals returns the usage counted since the daemon started.
func (m *Meter) Totals() map[models.Workspace]models.Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.totals)
}

// Step writes the counts added since the last step. A count that may belong to
// either of two windows waits until the platform's time is known more exactly:
// a late count is better than one in the wrong window.
func (m *Meter) Step(ctx context.Context) {
	_ = m.writePending(ctx, m.ambiguous)
}

// Flush writes all counts, ambiguous ones included, and returns the first error.
func (m *Meter) Flush(ctx context.Context) error {
	return m.writePending(ctx, func(requestCount, time.Time) bool { return false })
}

// writePending writes all counts except those that deferred selects.
func (m *Meter) writePending(ctx context.Context, deferred func(c requestCount, now time.Time) bool) error {
	m.writeMu.Lock()
	defer m.writeMu.Unlock()
	local := m.clock.Now()
	now, _, known := m.platform.At(local)
	if !known && m.idle() {
		return nil
	}
	if !known {
		return notDoneError("the platform's time is not known yet")
	}
	m.observeEra(m.table.Era())
	current := windowStart(now, m.settings.Window)
	m.assignWindows(current, func(c requestCount) bool { return deferred(c, local) })
	var firstErr error
	for _, window := range m.dirty() {
		if err := m.flushWindow(ctx, window, current); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	m.evictRecords(current)
	return firstErr
}

// idle reports whether no count is pending.
func (m *Meter) idle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.pending) == 0
}

// ambiguous reports whether a count's window is uncertain and waiting may still
// settle it.
func (m *Meter) ambiguous(c requestCount, now time.Time) bool {
	at, bound, _ := m.platform.At(c.endedAt)
	if bound <= maxClockError || now.Sub(c.endedAt) > maxAmbiguityWait {
		return false
	}
	length := m.settings.Window
	return windowStart(at.Add(-bound), length) != windowStart(at.Add(bound), length)
}

// assignWindows assigns each pending count to the window in which its request
// ended. A count for a window before oldestWindow goes into the current record.
func (m *Meter) assignWindows(current int64, deferred func(requestCount) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var remaining []requestCount
	for _, c := range m.pending {
		if deferred(c) {
			remaining = append(remaining, c)
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
	m.pending = remaining
}

// record returns the record of a window and creates it if needed. The caller
// holds m.mu.
func (m *Meter) record(window int64) *windowRecord {
	record, ok := m.records[window]
	if !ok {
		record = &windowRecord{total: tally{}, flushed: tally{}}
		m.records[window] = record
	}
	return record
}

// dirty returns the windows that have counts to be flushed or whose row must be
// read, oldest first.
func (m *Meter) dirty() []int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var windows []int64
	for window, record := range m.records {
		if record.uncertain || len(record.total.minus(record.flushed)) > 0 {
			windows = append(windows, window)
		}
	}
	slices.Sort(windows)
	return windows
}

// flushWindow writes the row of one window, after reading it if that is needed.
// If the window is closed, it moves the counts missing from the row to the
// current window.
func (m *Meter) flushWindow(ctx context.Context, window, current int64) error {
	record := m.snapshot(window)
	if record.uncertain {
		if err := m.reconcile(ctx, window, record, current); err != nil {
			return err
		}
		record = m.snapshot(window)
	}
	if len(record.total.minus(record.flushed)) == 0 {
		return nil
	}
	value, err := encodeTally(record.total)
	if err != nil {
		return err
	}
	m.markAttempted(window, record.total)
	key := countKey(window, m.daemon)
	revision, err := m.table.Transact(ctx, models.Transaction{
		ID:         key.Name + "/" + strconv.Itoa(record.writeAttempts),
		Conditions: []models.Condition{{Key: usageKey(closedPrefix, window, "")}, {Key: key, Revision: record.revision}},
		Writes:     []models.Write{{Key: key, Value: value}},
	})
	switch {
	case err == nil:
		m.markWritten(window, record.total, revision)
		return nil
	case peer.OutcomeOf(err) == peer.OutcomeConflict, peer.OutcomeOf(err) == peer.OutcomeRestored:
		return m.reconcile(ctx, window, record, current)
	case peer.OutcomeOf(err) == peer.OutcomeUnknown:
		m.markUncertain(window, record.total)
	}
	return err
}

// snapshot returns a copy of a window's record, for one more attempt to write it.
func (m *Meter) snapshot(window int64) windowRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records[window].writeAttempts++
	record := *m.records[window]
	record.total = maps.Clone(record.total)
	return record
}

// reconcile reads which counts of a window the table holds. It reads the closed
// row first: once that exists, the counts no longer change.
func (m *Meter) reconcile(ctx context.Context, window int64, record windowRecord, current int64) error {
	closed, rows, err := m.readWindow(ctx, window)
	if err != nil {
		m.markUncertain(window, record.maybeFlushed)
		return err
	}
	flushed, revision, err := record.tableState(rows)
	if err != nil {
		return err
	}
	if len(closed) == 0 {
		m.markFlushed(window, flushed, revision)
		return nil
	}
	if err := m.confirmReads(ctx, closed[0], models.Condition{Key: countKey(window, m.daemon), Revision: revision}); err != nil {
		m.markUncertain(window, record.maybeFlushed)
		return err
	}
	m.markFlushed(window, flushed, revision)
	m.moveLateCounts(window, max(current, window+int64(m.settings.Window/time.Second)))
	return nil
}

// readWindow reads the closed row and the count row of a window. It fails if they
// are not of the era that was last observed.
func (m *Meter) readWindow(ctx context.Context, window int64) (closed, counts []models.Row, err error) {
	if closed, err = m.table.Read(ctx, usageKey(closedPrefix, window, "")); err != nil {
		return nil, nil, err
	}
	if counts, err = m.table.Read(ctx, countKey(window, m.daemon)); err != nil {
		return nil, nil, err
	}
	for _, row := range slices.Concat(closed, counts) {
		if row.Revision.Era() != m.era {
			return nil, nil, notDoneError("a usage row is of another era of the table")
		}
	}
	return closed, counts, nil
}

// confirmReads verifies that the reads of a closed window and its counts were
// not stale, with a transaction that only succeeds if neither row has changed.
// Since the window is closed, the counts are then final.
func (m *Meter) confirmReads(ctx context.Context, closed models.Row, counts models.Condition) error {
	_, err := m.table.Transact(ctx, models.Transaction{
		Conditions: []models.Condition{{Key: closed.Key, Revision: closed.Revision}, counts},
	})
	return err
}

// tableState returns the counts and the revision of the row that was read. If
// the row has been deleted by cleanup, it returns the counts of the last write
// that may have been committed, so that nothing is counted twice.
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
	record.stored = merge(record.stored, flushed)
}

// markAttempted records that counts may be in the table from now on. A write
// without effect in this era may have had one in the era before: the table also
// loses the marker by which it would be found.
func (m *Meter) markAttempted(window int64, total tally) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records[window].attempted = merge(m.records[window].attempted, total)
}

// markWritten records that this daemon has written the row of a window.
func (m *Meter) markWritten(window int64, total tally, revision models.Revision) {
	m.markFlushed(window, total, revision)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records[window].attempted = nil
}

func (m *Meter) markUncertain(window int64, maybeFlushed tally) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records[window].uncertain = true
	m.records[window].maybeFlushed = maybeFlushed
}

// moveLateCounts moves the counts missing from a closed window into a later one
// as an adjustment. Counts that an earlier era of the table had are left out if
// they may have been reported then.
func (m *Meter) moveLateCounts(window, target int64) {
	m.mu.Lock()
	record := m.records[window]
	missing := record.total.minus(record.flushed)
	late := missing
	if record.maybeReported {
		late = record.total.minus(merge(record.flushed, record.stored))
	}
	record.total = maps.Clone(record.flushed)
	record.stored = record.flushed
	record.attempted = nil
	if len(late) > 0 {
		m.record(target).total.add(late)
	}
	m.mu.Unlock()
	for _, entry := range late.entries() {
		m.recordEvent(entry, "goes to window "+formatWindow(target)+" as an adjustment", "it came in after its window was closed")
	}
	for _, entry := range missing.minus(late).entries() {
		m.recordEvent(entry, "is not reported again", "the table lost it, and it may have been reported before")
	}
}

func (m *Meter) recordEvent(entry usageEntry, what, why string) {
	m.timeline.Record(models.Event{
		Kind:      models.EventUsage,
		Workspace: entry.workspace,
		What:      "use of window " + formatWindow(entry.window) + " " + what,
		Why:       why,
	})
}

// evictRecords drops fully flushed records of windows that started more than two
// window lengths before the current one.
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

// windowStart returns the start, in Unix seconds, of the window that contains an
// instant of the platform's time.
func windowStart(platform time.Time, length time.Duration) int64 {
	seconds := int64(length / time.Second)
	return platform.Unix() / seconds * seconds
}

func formatWindow(window int64) string {
	return time.Unix(window, 0).UTC().Format(time.RFC3339)
}
