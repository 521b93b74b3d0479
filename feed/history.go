package feed

import (
	"slices"

	"quincewinch/models"
)

// maxRows bounds the changes of one partition that are kept. A deployment
// changes a few rows a second, and the daemons that follow ask several times a
// second.
const maxRows = 2048

// history keeps the recent changes of one partition.
type history struct {
	following bool            // the store is followed, and its last call went well
	from      models.Revision // changes after it are all here
	through   models.Revision
	rows      []historyRow  // oldest first
	changed   chan struct{} // closed at the next change of any field but through
}

// historyRow is a row of an answer of the store.
type historyRow struct {
	row     models.Row
	through models.Revision // of the answer; the row may state the revision before its removal
}

func newHistory() *history {
	return &history{changed: make(chan struct{})}
}

// record takes in what the store said had changed after a revision.
func (h *history) record(after models.Revision, changes models.Changes, all bool) {
	news := !h.following || all || len(changes.Rows) > 0
	h.following = true
	switch {
	case all && changes.Through < h.through:
		// A lagging copy of the store.
	case all:
		h.reset(changes.Through)
	case after != h.through:
		h.reset(after)
		fallthrough
	default:
		for _, row := range changes.Rows {
			h.rows = append(h.rows, historyRow{row, changes.Through})
		}
		h.through = max(h.through, changes.Through)
		h.trim()
	}
	if news {
		h.notify()
	}
}

// close ends what is under way: nobody follows the store here any more.
func (h *history) close() {
	if h.following {
		h.following = false
		h.notify()
	}
}

// changesAfter returns the changes after a revision; known is false where some of
// them are no longer here.
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

func (h *history) reset(from models.Revision) {
	h.rows = nil
	h.from = from
	h.through = from
}

// trim drops the older half where there are too many rows. The rows of one
// answer go together.
func (h *history) trim() {
	if len(h.rows) <= maxRows {
		return
	}
	h.from = h.rows[len(h.rows)/2].through
	h.rows = slices.DeleteFunc(h.rows, func(r historyRow) bool { return r.through <= h.from })
}

func (h *history) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}
