package control

import (
	"slices"
	"sort"

	"quincewinch/models"
	"quincewinch/table"
)

// Replica is this daemon's copy of the rows that all daemons replicate. Of two
// versions of a row, the one with the higher revision wins, in whatever order
// they arrive.
type Replica struct {
	rows    map[models.RowKey]models.Row
	log     []logEntry // in order of revision; superseded entries stay until compaction
	through models.Revision
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
	var changes []table.Change
	for _, row := range rows {
		old := r.rows[row.Key]
		if row.Revision <= old.Revision {
			continue
		}
		r.rows[row.Key] = row
		r.insert(logEntry{row.Revision, row.Key})
		changes = append(changes, table.Change{Old: old, New: row})
	}
	r.compact()
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
// between rows of the same revision; more reports that rows were left out.
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
