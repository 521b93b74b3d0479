package control

import (
	"maps"
	"slices"
	"sort"

	"quincewinch/models"
	"quincewinch/table"
)

// Replica is this daemon's copy of the rows that all daemons replicate. Of two
// versions of a row, the one with the higher revision wins, in whatever order
// they arrive.
//
// If the table returns from an older copy, edits may be lost from it. A row that
// operators edit stays as it was edited until the table has it again; its revision
// is then of an earlier era than Through.
type Replica struct {
	rows    map[models.RowKey]models.Row
	log     []logEntry // in order of revision; superseded entries stay until compaction
	through models.Revision
	edit    table.LatestEdit // the latest one that has a horizon
}

// logEntry records that a row was written at a revision.
type logEntry struct {
	revision models.Revision
	key      models.RowKey
}

// compactionFactor is the average number of log entries per row above which the
// log is compacted.
const compactionFactor = 2

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{rows: map[models.RowKey]models.Row{}}
}

// Through returns the revision through which all rows are known.
func (r *Replica) Through() models.Revision {
	return r.through
}

// Apply applies committed rows and returns the changes they made.
func (r *Replica) Apply(rows []models.Row) []table.Change {
	for _, row := range rows {
		if row.Key != table.LatestEditKey || row.Revision <= r.rows[row.Key].Revision {
			continue
		}
		if edit := table.ParseLatestEdit(row); edit.Horizon > 0 {
			r.edit = edit
		}
	}
	var changes []table.Change
	for _, row := range rows {
		old := r.rows[row.Key]
		if !r.supersedes(row, old) {
			continue
		}
		r.rows[row.Key] = row
		r.insert(logEntry{row.Revision, row.Key})
		changes = append(changes, table.Change{Old: old, New: row})
	}
	r.compact()
	return changes
}

// supersedes reports whether a row replaces the version known here.
func (r *Replica) supersedes(row, old models.Row) bool {
	sameEra := row.Revision.Era() == old.Revision.Era()
	switch {
	case old.Revision == 0 || sameEra || row.Key.Partition != models.PartitionConfig:
		return row.Revision > old.Revision
	case row.Revision > old.Revision:
		return !r.lost(old, row)
	}
	return r.lost(row, old)
}

// lost reports whether a version of a row was lost when the table returned from
// an older copy, so that what the table had of the row in a later era is older.
func (r *Replica) lost(row, later models.Row) bool {
	if table.KeyEnded(row) != table.KeyEnded(later) {
		return table.KeyEnded(row)
	}
	era := r.edit.Horizon.Era()
	if row.Revision.Era() < era && era <= later.Revision.Era() && later.Revision.Version() > r.edit.Horizon.Version() {
		original, rewritten := r.edit.Rewritten[row.Key.Name]
		return rewritten && row.Revision > original
	}
	return row.Revision.Version() > later.Revision.Version()
}

// NextEdit returns what to store in the row of the latest edit with an edit of a
// row. If the row is only written again, original is its lost revision, otherwise
// 0.
func (r *Replica) NextEdit(name string, original models.Revision) table.LatestEdit {
	edit := table.LatestEdit{Horizon: r.through, Rewritten: map[string]models.Revision{}}
	if r.edit.Horizon.Era() == r.through.Era() {
		edit.Horizon = r.edit.Horizon
		maps.Copy(edit.Rewritten, r.edit.Rewritten)
	}
	delete(edit.Rewritten, name)
	if original > 0 {
		edit.Rewritten[name] = original
	}
	return edit
}

// Lost returns the rows that operators edit and that the table may lack, since it
// returned from an older copy.
func (r *Replica) Lost() []models.Row {
	var rows []models.Row
	for _, e := range r.log[:r.eraStart()] {
		if row := r.rows[e.key]; row.Revision == e.revision && row.Key.Partition == models.PartitionConfig {
			rows = append(rows, row)
		}
	}
	return rows
}

// eraStart returns the index of the first log entry of the current era.
func (r *Replica) eraStart() int {
	return sort.Search(len(r.log), func(i int) bool { return r.log[i].revision.Era() >= r.through.Era() })
}

// DropRegistrations drops the rows of the partition of registrations that are of
// an earlier era, and returns the changes. It is called when all rows of the
// current era have been applied.
func (r *Replica) DropRegistrations() []table.Change {
	var changes []table.Change
	for key, row := range r.rows {
		if key.Partition == models.PartitionDaemons && row.Revision.Era() < r.through.Era() {
			delete(r.rows, key)
			changes = append(changes, table.Change{Old: row, New: models.Row{Key: key}})
		}
	}
	return changes
}

// Advance records that all rows after base and up to through have been applied.
// It has no effect if rows up to base may be missing, or if through is not
// newer than what is recorded.
func (r *Replica) Advance(base, through models.Revision) {
	if base <= r.through {
		r.through = max(r.through, through)
	}
}

// RowsAfter returns the rows written after a revision, oldest first, and the
// revision through which the list is complete. It stops at the limit, but never
// between rows of the same revision; more reports that rows were left out. Rows
// that the table may lack are always included.
func (r *Replica) RowsAfter(after models.Revision, limit int) (rows []models.Row, through models.Revision, more bool) {
	start := sort.Search(len(r.log), func(i int) bool { return r.log[i].revision > after })
	for _, e := range r.log[start:] {
		row := r.rows[e.key]
		if row.Revision != e.revision {
			continue
		}
		if len(rows) >= limit && rows[len(rows)-1].Revision != row.Revision {
			return rows, min(r.through, rows[len(rows)-1].Revision), true
		}
		rows = append(rows, row)
	}
	for _, row := range r.Lost() {
		if row.Revision > after {
			continue // included above
		}
		if len(rows) >= limit {
			return rows, r.through, true
		}
		rows = append(rows, row)
	}
	return rows, r.through, false
}

// Rows returns all rows of a partition, sorted by name.
func (r *Replica) Rows(partition models.Partition) []models.Row {
	var rows []models.Row
	for key, row := range r.rows {
		if key.Partition == partition {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key.Name < rows[j].Key.Name })
	return rows
}

// insert inserts an entry by its revision, which is usually the highest.
func (r *Replica) insert(e logEntry) {
	i := sort.Search(len(r.log), func(i int) bool { return r.log[i].revision > e.revision })
	r.log = slices.Insert(r.log, i, e)
}

// compact drops the entries of superseded versions once the log is too long.
func (r *Replica) compact() {
	if len(r.log) <= compactionFactor*len(r.rows) {
		return
	}
	r.log = slices.DeleteFunc(r.log, func(e logEntry) bool { return r.rows[e.key].Revision != e.revision })
}
