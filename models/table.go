package models

import (
	"bytes"
	"time"
)

// Partition is the name of a group of rows that are listed and watched
// together.
type Partition string

// Partitions of the platform's table. Each is owned by one package.
const (
	PartitionConfig  Partition = "config"  // rows that operators edit
	PartitionLeases  Partition = "leases"  // state of the leases
	PartitionDaemons Partition = "daemons" // registered daemons
	PartitionClaims  Partition = "claims"  // requests that must not be repeated
	PartitionFleet   Partition = "fleet"   // desired state of engines, recorded orders
	PartitionUsage   Partition = "usage"   // counters and frozen billing windows
	PartitionMarkers Partition = "markers" // IDs of committed transactions
)

// Revision is a version number of the table. Each committed transaction
// increments it by one; zero is the empty table.
type Revision uint64

// RowKey identifies a row.
type RowKey struct {
	Partition Partition
	Name      string
}

// Row is a row of the table. Revision is that of the transaction that last
// wrote it. A deleted row is kept as a tombstone, with Deleted set and no
// Value.
type Row struct {
	Key      RowKey
	Revision Revision
	Value    []byte
	Deleted  bool
}

// Equal reports whether r and other are the same version of the same row.
func (r Row) Equal(other Row) bool {
	return r.Key == other.Key && r.Revision == other.Revision &&
		r.Deleted == other.Deleted && bytes.Equal(r.Value, other.Value)
}

// Condition requires that a row still has the given revision. Zero requires
// that the row has never been written, so recreating a deleted row takes the
// revision of its tombstone.
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

// Transaction is an atomic set of writes. ID makes it idempotent: the client
// writes a marker row of that name, by which a retry after a lost answer
// detects that the first attempt was committed.
type Transaction struct {
	ID         string
	Conditions []Condition
	Writes     []Write
}

// Changes lists the rows of a partition written after a given revision, oldest
// first. Through is the revision up to which the list is complete.
type Changes struct {
	Rows         []Row
	Through      Revision
	PlatformTime time.Time
}
