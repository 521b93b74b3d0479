package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

const (
	// authorityMargin is how long before the end of the authority a step is
	// cancelled.
	authorityMargin = 250 * time.Millisecond
	// deleteBatchSize is the maximum number of rows deleted in one transaction.
	deleteBatchSize = 100
)

// WindowCloser closes billing windows and reports them while this daemon holds
// the usage lease. A window passes through these states, each written in a
// transaction guarded by the authority:
//   - closed: no counts can be written to the window any more;
//   - frozen: the sums of the counts are stored; every holder computes the same
//     sums;
//   - reported: the platform has accepted the frozen sums.
type WindowCloser struct {
	table    UsageTable
	reports  peer.UsageReports
	leases   peer.Leases
	clock    peer.Clock
	platform *PlatformClock
	timeline peer.Timeline
	settings UsageSettings

	stepMu  sync.Mutex
	stopped bool

	stepped    bool
	era        uint64    // of the table, as last known
	restoredAt time.Time // when era was last seen to rise

	fence         uint64 // of the authority under which rows were read
	through       models.Revision
	rows          map[models.RowKey]models.Row
	writeAttempts uint64          // part of the transaction IDs
	sent          map[string]bool // IDs of accepted reports in unreported windows
	lag           time.Duration   // see Lag
}

// NewWindowCloser returns a closer that has read no rows yet.
func NewWindowCloser(table UsageTable, reports peer.UsageReports, leases peer.Leases, clock peer.Clock, platform *PlatformClock, timeline peer.Timeline, settings UsageSettings) *WindowCloser {
	return &WindowCloser{
		table:    table,
		reports:  reports,
		leases:   leases,
		clock:    clock,
		platform: platform,
		timeline: timeline,
		settings: settings,
	}
}

// Stop waits for a step in progress and makes later steps do nothing. It must be
// called before the lease is released.
func (c *WindowCloser) Stop() {
	c.stepMu.Lock()
	defer c.stepMu.Unlock()
	c.stopped = true
}

// Lag returns the time since the end of the grace period of the oldest window
// that could not be reported. It is 0 if no window is late or another daemon
// holds the usage lease.
func (c *WindowCloser) Lag() time.Duration {
	c.stepMu.Lock()
	defer c.stepMu.Unlock()
	return c.lag
}

// Step advances every window whose grace period has passed as far as possible,
// and deletes old counts.
func (c *WindowCloser) Step(ctx context.Context) {
	c.stepMu.Lock()
	defer c.stepMu.Unlock()
	c.lag = 0
	authority := c.leases.Authority(models.LeaseUsage)
	c.observeEra() // after the authority was read, so that its era is known
	if authority.Fence == 0 || c.stopped {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, authority.Deadline.Add(-authorityMargin))
	defer cancel()
	now, bound, known := c.platform.At(c.clock.Now())
	if !known || c.readChanges(ctx, authority) != nil {
		return
	}
	// latestStart is the latest start of a window whose grace period has passed
	// for every value of the platform's time within the error bound.
	latestStart := now.Add(-bound - c.settings.Grace - c.settings.Window)
	waiting := c.clock.Now().Before(c.restoredAt.Add(c.settings.Grace))
	for _, window := range c.unreportedWindows() {
		start := time.Unix(window, 0)
		if start.After(latestStart) {
			continue
		}
		if waiting || c.advance(ctx, authority, window) != nil {
			c.lag = max(c.lag, latestStart.Sub(start))
		}
	}
	c.deleteOldCounts(ctx, authority, latestStart.Add(-c.settings.Retention))
}

// observeEra records when the table returned from an older copy. Meters then write
// the counts again that the copy lacks, so windows are closed only after the grace
// period.
func (c *WindowCloser) observeEra() {
	era := c.table.Era()
	if c.stepped && era > c.era {
		c.restoredAt = c.clock.Now()
	}
	c.stepped = true
	c.era = era
}

// readChanges applies the rows that changed since the last read. Under a new
// authority it reads the partition from the start.
func (c *WindowCloser) readChanges(ctx context.Context, authority models.Authority) error {
	if c.fence != authority.Fence {
		c.fence = authority.Fence
		c.through = 0
		c.rows = map[models.RowKey]models.Row{}
		c.sent = map[string]bool{}
	}
	changes, err := c.table.Changes(ctx, models.PartitionUsage, c.through)
	if err != nil {
		return err
	}
	for _, row := range changes.Rows {
		if row.Deleted {
			delete(c.rows, row.Key)
			continue
		}
		c.rows[row.Key] = row
	}
	c.through = changes.Through
	return nil
}

// unreportedWindows returns the windows not yet reported, oldest first.
func (c *WindowCloser) unreportedWindows() []int64 {
	windows := map[int64]bool{}
	for key := range c.rows {
		if _, window, ok := parseUsageKey(key); ok && !c.hasRow(reportedPrefix, window) {
			windows[window] = true
		}
	}
	return slices.Sorted(maps.Keys(windows))
}

func (c *WindowCloser) hasRow(prefix string, window int64) bool {
	_, ok := c.rows[usageKey(prefix, window, "")]
	return ok
}

// advance takes a window through its remaining states.
func (c *WindowCloser) advance(ctx context.Context, authority models.Authority, window int64) error {
	if !c.hasRow(closedPrefix, window) {
		if err := c.writeRow(ctx, authority, closedPrefix, window, nil); err != nil {
			return err
		}
		// Counts may have been written until the window was closed, so only a later
		// read is complete.
		if err := c.readChanges(ctx, authority); err != nil {
			return err
		}
	}
	if c.through < c.rows[usageKey(closedPrefix, window, "")].Revision {
		return notDoneError("the usage rows were read before the window was closed")
	}
	if !c.hasRow(frozenPrefix, window) {
		if err := c.freeze(ctx, authority, window); err != nil {
			return err
		}
	}
	if err := c.report(ctx, authority, window); err != nil {
		return err
	}
	if err := c.writeRow(ctx, authority, reportedPrefix, window, nil); err != nil {
		return err
	}
	c.recordEvent(window, "reported", "the platform accepted the figures of all workspaces")
	return nil
}

// freeze stores the sums of the counts of a closed window.
func (c *WindowCloser) freeze(ctx context.Context, authority models.Authority, window int64) error {
	sums := tally{}
	for key, row := range c.rows {
		if prefix, rowWindow, ok := parseUsageKey(key); !ok || prefix != countPrefix || rowWindow != window {
			continue
		}
		counts, err := decodeTally(row.Value)
		if err != nil {
			return err
		}
		sums.add(counts)
	}
	value, err := encodeTally(sums)
	if err != nil {
		return err
	}
	if err := c.writeRow(ctx, authority, frozenPrefix, window, value); err != nil {
		return err
	}
	c.recordEvent(window, "frozen", "its grace time had passed")
	return nil
}

// report sends the reports of a frozen window that are not yet accepted.
func (c *WindowCloser) report(ctx context.Context, authority models.Authority, window int64) error {
	frozen, err := decodeTally(c.rows[usageKey(frozenPrefix, window, "")].Value)
	if err != nil {
		return err
	}
	var lastErr error
	for _, report := range buildReports(window, c.settings.Window, frozen) {
		if c.sent[report.ID] {
			continue
		}
		report.Fence = authority.Fence
		if err := c.sendReport(ctx, authority, report); err != nil {
			lastErr = err
			continue
		}
		c.sent[report.ID] = true
	}
	return lastErr
}

// sendReport sends one report unless the platform has accepted it already. The
// lookup by ID resolves an earlier attempt whose answer was lost.
func (c *WindowCloser) sendReport(ctx context.Context, authority models.Authority, report models.UsageReport) error {
	if _, accepted, err := c.reports.Accepted(ctx, report.ID); err != nil || accepted {
		return err
	}
	if !authority.Valid(c.clock.Now()) || ctx.Err() != nil {
		return notDoneError("the authority ended before the report was sent")
	}
	err := c.reports.Report(ctx, report)
	if err != nil && peer.OutcomeOf(err) == peer.OutcomeRefused {
		c.timeline.Record(models.Event{
			Kind:      models.EventUsage,
			Workspace: report.Workspace,
			Lease:     models.LeaseUsage,
			What:      "usage report " + report.ID + " was refused",
			Why:       err.Error(),
		})
	}
	return err
}

// writeRow creates a row of a window, guarded by the authority. It fails if the
// row exists.
func (c *WindowCloser) writeRow(ctx context.Context, authority models.Authority, prefix string, window int64, value []byte) error {
	key := usageKey(prefix, window, "")
	if value == nil {
		value = []byte("{}")
	}
	// A transaction that was cancelled after lost answers stays cancelled under its
	// ID, so each attempt has an ID of its own.
	c.writeAttempts++
	revision, err := c.table.Transact(ctx, models.Transaction{
		ID:         key.Name + "/" + formatUint(authority.Fence) + "/" + formatUint(c.writeAttempts),
		Conditions: []models.Condition{authority.Guard, {Key: key}},
		Writes:     []models.Write{{Key: key, Value: value}},
	})
	if err != nil {
		return err
	}
	c.rows[key] = models.Row{Key: key, Revision: revision, Value: value}
	return nil
}

// deleteOldCounts deletes the counts of reported windows that started before a
// time.
func (c *WindowCloser) deleteOldCounts(ctx context.Context, authority models.Authority, before time.Time) {
	var keys []models.RowKey
	for key := range c.rows {
		prefix, window, ok := parseUsageKey(key)
		old := time.Unix(window, 0).Before(before)
		if ok && old && prefix == countPrefix && c.hasRow(reportedPrefix, window) {
			keys = append(keys, key)
		}
	}
	for batch := range slices.Chunk(keys, deleteBatchSize) {
		transaction := models.Transaction{Conditions: []models.Condition{authority.Guard}}
		for _, key := range batch {
			transaction.Writes = append(transaction.Writes, models.Write{Key: key, Delete: true})
		}
		if _, err := c.table.Transact(ctx, transaction); err != nil {
			return
		}
		for _, key := range batch {
			delete(c.rows, key)
		}
	}
}

func (c *WindowCloser) recordEvent(window int64, what, why string) {
	c.timeline.Record(models.Event{
		Kind:  models.EventUsage,
		Lease: models.LeaseUsage,
		What:  "window " + formatWindow(window) + " " + what,
		Why:   why,
	})
}
