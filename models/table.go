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
	PartitionConfig   Partition = "config"   // rows that operators edit
	PartitionLeases   Partition = "leases"   // state of the leases
	PartitionDaemons  Partition = "daemons"  // registered daemons
	PartitionClaims   Partition = "claims"   // requests that must not be repeated
	PartitionFleet    Partition = "fleet"    // desired state of engines, recorded orders
	PartitionUsage    Partition = "usage"    // counters and frozen billing windows
	PartitionMarkers  Partition = "markers"  // IDs of committed transactions
	PartitionVersions Partition = "versions" // software versions that may have begun streams
	PartitionOrigins  Partition = "origins"  // origins of streams
	PartitionCrashes  Partition = "crashes"  // crashes of backend servers, and what is blocked for them
)

const (
	// EraBits is the number of bits of a Revision that hold the era.
	EraBits = 24
	// versionBits is the number of bits of a Revision that hold the version.
	versionBits = 64 - EraBits
)

// Revision orders the states of the table. It consists of an era, which
// increases each time that the table returns from an older copy, and of a
// version, which each committed transaction increments by one and which such a
// return sets back. A revision of a later era is greater than any of an earlier
// one, so revisions never go back and are never given out twice. Zero is the
// empty table.
type Revision uint64

// NewRevision returns the revision of a version in an era.
func NewRevision(era, version uint64) Revision {
	return Revision(era<<versionBits | version)
}

// Era returns the era of the table.
func (r Revision) Era() uint64 {
	return uint64(r >> versionBits)
}

// Version returns the version within the era.
func (r Revision) Version() uint64 {
	return uint64(r & (1<<versionBits - 1))
}

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
	ID string
	// Basis is a revision of the era in which the state that the transaction
	// depends on was read. In another era it is not committed. Zero: it depends
	// on no state other than Conditions.
	Basis      Revision
	Conditions []Condition
	Writes     []Write
}

// Changes lists the rows of a partition written after a given revision, oldest
// first. Through is the revision up to which the list is complete. If its era is
// later than that of the given revision, the list has all rows of the partition.
type Changes struct {
	Rows    []Row
	Through Revision
	// PlatformTime is the time of the platform's steady clock; zero if it is not known.
	PlatformTime time.Time
}
