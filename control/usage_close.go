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
	// closeMargin is how long before its authority ends a report stops.
	closeMargin = 250 * time.Millisecond
	// cleanBatch is the number of rows deleted in one transaction.
	cleanBatch = 100
)

// Closer ends billing windows and reports them, while this daemon holds the
// lease on usage. A window takes these steps, each a transaction under the
// authority's guard: closed, from which on no count of it can be written;
// frozen, the sums of the counts, which are the same whoever works them out;
// reported, when the platform has accepted the frozen figures.
type Closer struct {
	table    peer.Table
	reports  peer.UsageReports
	leases   peer.Leases
	clock    peer.Clock
	platform *PlatformClock
	timeline peer.Timeline
	settings UsageSettings

	stepping sync.Mutex
	stopped  bool

	fence   uint64 // of the authority under which the rest was read
	through models.Revision
	rows    map[models.RowKey]models.Row
	writes  uint64          // tried so far
	sent    map[string]bool // reports accepted, of windows not yet reported
	behind  time.Duration   // how late the oldest window is that is not reported
}

// NewCloser returns a closer of windows.
func NewCloser(table peer.Table, reports peer.UsageReports, leases peer.Leases, clock peer.Clock, platform *PlatformClock, timeline peer.Timeline, settings UsageSettings) *Closer {
	return &Closer{
		table:    table,
		reports:  reports,
		leases:   leases,
		clock:    clock,
		platform: platform,
		timeline: timeline,
		settings: settings,
	}
}

// Stop waits for a step under way and keeps others from starting. It goes
// before the lease is given up.
func (c *Closer) Stop() {
	c.stepping.Lock()
	defer c.stepping.Unlock()
	c.stopped = true
}

// Behind returns how long after its grace time the oldest window is that is
// not reported; 0 where none is late or another daemon is in charge.
func (c *Closer) Behind() time.Duration {
	c.stepping.Lock()
	defer c.stepping.Unlock()
	return c.behind
}

// Step takes each window one step or more further.
func (c *Closer) Step(ctx context.Context) {
	c.stepping.Lock()
	defer c.stepping.Unlock()
	c.behind = 0
	authority := c.leases.Authority(models.LeaseUsage)
	if authority.Fence == 0 || c.stopped {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, authority.Deadline.Add(-closeMargin))
	defer cancel()
	now, bound, known := c.platform.At(c.clock.Now())
	if !known || c.read(ctx, authority) != nil {
		return
	}
	// A window is over when it is over by any clock within the bound.
	over := now.Add(-bound - c.settings.Grace - c.settings.Window)
	for _, window := range c.open() {
		start := time.Unix(window, 0)
		if start.After(over) {
			continue
		}
		if err := c.advance(ctx, authority, window); err != nil {
			c.behind = max(c.behind, over.Sub(start))
		}
	}
	c.clean(ctx, authority, over.Add(-c.settings.Keep))
}

// read takes in what has changed.
func (c *Closer) read(ctx context.Context, authority models.Authority) error {
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

// open returns the windows that are not reported, oldest first.
func (c *Closer) open() []int64 {
	windows := map[int64]bool{}
	for key := range c.rows {
		if _, window, ok := usageWindow(key); ok && !c.has(reportedPrefix, window) {
			windows[window] = true
		}
	}
	return slices.Sorted(maps.Keys(windows))
}

func (c *Closer) has(prefix string, window int64) bool {
	_, ok := c.rows[usageKey(prefix, window, "")]
	return ok
}

// advance takes a window through the steps that it lacks.
func (c *Closer) advance(ctx context.Context, authority models.Authority, window int64) error {
	if !c.has(closedPrefix, window) {
		if err := c.write(ctx, authority, closedPrefix, window, nil); err != nil {
			return err
		}
		// Only a reading after the closing has all counts.
		if err := c.read(ctx, authority); err != nil {
			return err
		}
	}
	if c.through < c.rows[usageKey(closedPrefix, window, "")].Revision {
		return notDoneError("the reading is older than the closing")
	}
	if !c.has(frozenPrefix, window) {
		if err := c.freeze(ctx, authority, window); err != nil {
			return err
		}
	}
	if err := c.report(ctx, authority, window); err != nil {
		return err
	}
	if err := c.write(ctx, authority, reportedPrefix, window, nil); err != nil {
		return err
	}
	c.note(window, "reported", "the platform accepted the figures of all workspaces")
	return nil
}

// freeze writes the sums of a closed window.
func (c *Closer) freeze(ctx context.Context, authority models.Authority, window int64) error {
	sums := tally{}
	for key, row := range c.rows {
		if prefix, of, ok := usageWindow(key); !ok || prefix != countPrefix || of != window {
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
	if err := c.write(ctx, authority, frozenPrefix, window, value); err != nil {
		return err
	}
	c.note(window, "frozen", "its grace time had passed")
	return nil
}

// report sends the frozen figures of a window.
func (c *Closer) report(ctx context.Context, authority models.Authority, window int64) error {
	frozen, err := decodeTally(c.rows[usageKey(frozenPrefix, window, "")].Value)
	if err != nil {
		return err
	}
	var failed error
	for _, report := range reportsOf(window, c.settings.Window, frozen) {
		if c.sent[report.ID] {
			continue
		}
		report.Fence = authority.Fence
		if err := c.send(ctx, authority, report); err != nil {
			failed = err
			continue
		}
		c.sent[report.ID] = true
	}
	return failed
}

// send sends one report. A lost answer is settled by the report's identity.
func (c *Closer) send(ctx context.Context, authority models.Authority, report models.UsageReport) error {
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

// write writes a row of a window, once, under the authority.
func (c *Closer) write(ctx context.Context, authority models.Authority, prefix string, window int64, value []byte) error {
	key := usageKey(prefix, window, "")
	if value == nil {
		value = []byte("{}")
	}
	// A write that was cancelled after lost answers stays so: each try has an
	// identity of its own.
	c.writes++
	revision, err := c.table.Transact(ctx, models.Transaction{
		ID:         key.Name + "/" + number(authority.Fence) + "/" + number(c.writes),
		Conditions: []models.Condition{authority.Guard, {Key: key}},
		Writes:     []models.Write{{Key: key, Value: value}},
	})
	if err != nil {
		return err
	}
	c.rows[key] = models.Row{Key: key, Revision: revision, Value: value}
	return nil
}

// clean deletes the counts of reported windows that were over before a time.
func (c *Closer) clean(ctx context.Context, authority models.Authority, before time.Time) {
	var keys []models.RowKey
	for key := range c.rows {
		prefix, window, ok := usageWindow(key)
		old := time.Unix(window, 0).Before(before)
		if ok && old && prefix == countPrefix && c.has(reportedPrefix, window) {
			keys = append(keys, key)
		}
	}
	for batch := range slices.Chunk(keys, cleanBatch) {
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

func (c *Closer) note(window int64, what, why string) {
	c.timeline.Record(models.Event{
		Kind:  models.EventUsage,
		Lease: models.LeaseUsage,
		What:  "window " + windowText(window) + " " + what,
		Why:   why,
	})
}
