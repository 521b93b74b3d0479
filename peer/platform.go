package peer

import (
	"context"

	"quincewinch/models"
)

// Table is the platform's transactional table service. Errors are of type
// *Failure.
type Table interface {
	// Read returns the existing rows among keys, tombstones included.
	Read(ctx context.Context, keys ...models.RowKey) ([]models.Row, error)
	// Changes lists the rows of a partition written after a revision.
	Changes(ctx context.Context, partition models.Partition, after models.Revision) (models.Changes, error)
	// Transact commits a transaction and returns its revision. After
	// OutcomeConflict or OutcomeNotDone this call has written nothing and never
	// will; after OutcomeUnknown the transaction may have been committed.
	Transact(ctx context.Context, transaction models.Transaction) (models.Revision, error)
}

// Objects is the platform's object store. Errors are of type *Failure.
type Objects interface {
	Get(ctx context.Context, name string) ([]byte, error)
	// Put writes an object once. Writing the same bytes again under the same
	// name succeeds, writing different bytes fails with OutcomeConflict.
	Put(ctx context.Context, name string, value []byte) error
	Delete(ctx context.Context, name string) error
}

// VMs is the platform's list of live and leaving VMs, which may be stale.
type VMs interface {
	List(ctx context.Context) ([]models.VM, error)
}

// Servers is the platform's interface for ordering backend servers.
type Servers interface {
	// Order orders or returns backend servers.
	Order(ctx context.Context, order models.ServerOrder) error
	// List returns the running backend servers with their zones.
	List(ctx context.Context) ([]models.BackendServer, error)
}

// UsageReports is the platform's interface that accepts usage reports.
type UsageReports interface {
	Report(ctx context.Context, report models.UsageReport) error
	// Accepted returns the report accepted under an ID, if any.
	Accepted(ctx context.Context, id string) (models.UsageReport, bool, error)
}
