package control

import (
	"slices"
	"sort"

	"quincewinch/models"
	"quincewinch/table"
)

// Replica is this daemon's copy of the rows that all daemons share. Of two
// versions of a row the one with the higher revision stands, whatever order
// they come in.
type Replica struct {
	rows    map[models.RowKey]models.Row
	log     []logEntry // in order of revision; superseded entries stay until compaction
	through models.Revision
}

// logEntry notes that a row was written at a revision.
type logEntry struct {
	revision models.Revision
	key      models.RowKey
}

// compactionFactor bounds the log: entries for each row.
const compactionFactor = 2

// NewReplica returns an empty copy.
func NewReplica() *Replica {
	return &Replica{rows: map[models.RowKey]models.Row{}}
}

// Through returns the revision up to which all rows are known.
func (r *Replica) Through() models.Revision {
	return r.through
}

// Apply lays committed rows over the copy and returns what changed.
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

// Advance notes that all rows after base up to through have been taken. It
// has no effect where rows before base may be missing, or on an older list.
func (r *Replica) Advance(base, through models.Revision) {
	if base <= r.through {
		r.through = max(r.through, through)
	}
}

// RowsAfter returns the rows written after a revision, oldest first, about limit
// of them, and the revision up to which the list is complete. More tells that
// rows were left out.
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

// Rows returns all rows of a partition in order of name.
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

// insert puts an entry in its place, mostly the end.
func (r *Replica) insert(e logEntry) {
	i := sort.Search(len(r.log), func(i int) bool { return r.log[i].revision > e.revision })
	r.log = slices.Insert(r.log, i, e)
}

// compact drops the entries of superseded versions.
func (r *Replica) compact() {
	if len(r.log) <= compactionFactor*len(r.rows) {
		return
	}
	r.log = slices.DeleteFunc(r.log, func(e logEntry) bool { return r.rows[e.key].Revision != e.revision })
}
