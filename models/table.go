package models

import (
	"bytes"
	"time"
)

// Partition names a group of rows that are listed and watched together.
type Partition string

// Partitions of the platform's table. Each has one owner among the packages.
const (
	PartitionConfig  Partition = "config"  // rows that operators edit
	PartitionLeases  Partition = "leases"  // who is in charge of what
	PartitionDaemons Partition = "daemons" // registered daemons
	PartitionClaims  Partition = "claims"  // requests that may not be repeated
	PartitionFleet   Partition = "fleet"   // desired state of engines, recorded orders
	PartitionUsage   Partition = "usage"   // counters and frozen billing windows
	PartitionMarkers Partition = "markers" // identities of committed transactions
)

// Revision numbers the states of the table. It grows by one with each
// committed transaction; zero is the empty table.
type Revision uint64

// RowKey names a row.
type RowKey struct {
	Partition Partition
	Name      string
}

// Row is one row as of Revision, the transaction that last wrote it. A
// deleted row has Deleted set and no Value; the table keeps it as a tombstone.
type Row struct {
	Key      RowKey
	Revision Revision
	Value    []byte
	Deleted  bool
}

// Equal reports whether both rows say the same.
func (r Row) Equal(other Row) bool {
	return r.Key == other.Key && r.Revision == other.Revision &&
		r.Deleted == other.Deleted && bytes.Equal(r.Value, other.Value)
}

// Condition demands that a row is still at a revision. Zero demands that the
// row has never been written; the revision of a tombstone demands that.
type Condition struct {
	Key      RowKey
	Revision Revision
}

// Write replaces a row's value, or deletes the row.
type Write struct {
	Key    RowKey
	Value  []byte
	Delete bool
}

// Transaction is committed whole or not at all. ID makes it idempotent: the
// client keeps a marker row of that name, so that a retry after a lost answer
// finds that the first attempt took effect.
type Transaction struct {
	ID         string
	Conditions []Condition
	Writes     []Write
}

// Changes lists the rows of a partition written after a revision, oldest
// first. Through is the revision up to which the list is complete.
type Changes struct {
	Rows         []Row
	Through      Revision
	PlatformTime time.Time
}
