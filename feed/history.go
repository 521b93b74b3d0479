package feed

import (
	"slices"

	"quincewinch/models"
)

// maxRows is the most changed rows kept per partition. A deployment changes
// a few rows per second, and following daemons ask several times per second.
const maxRows = 2048

// history keeps the recent changes of one partition, of each row only the last: rows that
// change quickly would make an answer too large for the time of a call.
type history struct {
	// following means that this daemon follows the store and that its last call
	// succeeded.
	following bool
	from      models.Revision // all changes after this revision are kept
	through   models.Revision
	rows      []historyRow  // oldest first
	changed   chan struct{} // closed when a field other than through changes
}

// historyRow is a row of a response of the store.
type historyRow struct {
	row     models.Row
	through models.Revision // of the response, as a removed row may carry an older one
}

func newHistory() *history {
	return &history{changed: make(chan struct{})}
}

// record adds a response of the store: the changes after a revision, or all
// rows.
func (h *history) record(after models.Revision, changes models.Changes, all bool) {
	wake := !h.following || all || len(changes.Rows) > 0
	h.following = true
	switch {
	case all && changes.Through < h.through:
		// Read from a stale replica of the store.
	case all:
		h.reset(changes.Through)
	case after != h.through:
		h.reset(after)
		fallthrough
	default:
		h.add(changes)
		h.through = max(h.through, changes.Through)
		h.trim()
	}
	if wake {
		h.notify()
	}
}

// add adds changed rows, in place of older changes of the same rows.
func (h *history) add(changes models.Changes) {
	last := map[models.RowKey]int{}
	for i, row := range changes.Rows {
		last[row.Key] = i
	}
	h.rows = slices.DeleteFunc(h.rows, func(r historyRow) bool {
		_, replaced := last[r.row.Key]
		return replaced
	})
	for i, row := range changes.Rows {
		if last[row.Key] == i {
			h.rows = append(h.rows, historyRow{row, changes.Through})
		}
	}
}

// close marks that this daemon no longer follows the store, and wakes the
// waiting calls.
func (h *history) close() {
	if h.following {
		h.following = false
		h.notify()
	}
}

// changesAfter returns the changes after a revision; known is false if some of
// them are not kept.
func (h *history) changesAfter(revision models.Revision) (changes models.Changes, known bool) {
	if revision < h.from {
		return models.Changes{}, false
	}
	changes.Through = max(revision, h.through)
	for _, r := range h.rows {
		if r.through > revision {
			changes.Rows = append(changes.Rows, r.row)
		}
	}
	return changes, true
}

// reset drops all rows and continues after a revision.
func (h *history) reset(from models.Revision) {
	h.rows = nil
	h.from = from
	h.through = from
}

// trim drops the older half of the rows if there are more than maxRows. The rows
// of one response are dropped together.
func (h *history) trim() {
	if len(h.rows) <= maxRows {
		return
	}
	h.from = h.rows[len(h.rows)/2].through
	h.rows = slices.DeleteFunc(h.rows, func(r historyRow) bool { return r.through <= h.from })
}

// notify wakes the calls that wait for changes.
func (h *history) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}
