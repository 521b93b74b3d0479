package peer

import (
	"context"

	"quincewinch/models"
)

// Table is the platform's transactional table service. Errors are of type
// *Failure.
type Table interface {
	// Read returns the rows that exist among keys, tombstones included.
	Read(ctx context.Context, keys ...models.RowKey) ([]models.Row, error)
	// Changes lists what was written to a partition after a revision.
	Changes(ctx context.Context, partition models.Partition, after models.Revision) (models.Changes, error)
	// Transact commits a transaction and returns its revision. OutcomeConflict
	// and OutcomeNotDone mean that nothing was written and never will be by
	// this call; OutcomeUnknown means that it may have been.
	Transact(ctx context.Context, transaction models.Transaction) (models.Revision, error)
}

// Objects is the platform's object store. Errors are of type *Failure.
type Objects interface {
	Get(ctx context.Context, name string) ([]byte, error)
	// Put writes an object once: a second write of the same name with other
	// bytes is a conflict, with the same bytes a success.
	Put(ctx context.Context, name string, value []byte) error
	Delete(ctx context.Context, name string) error
}

// VMs is the platform's lagging list of live and leaving VMs.
type VMs interface {
	List(ctx context.Context) ([]models.VM, error)
}

// Servers is the platform's interface for ordering backend servers.
type Servers interface {
	// Order asks for, or gives back, backend servers.
	Order(ctx context.Context, order models.ServerOrder) error
	// List returns the backend servers that run, with their zones.
	List(ctx context.Context) ([]models.BackendServer, error)
}

// UsageReports is the platform's interface that accepts usage reports.
type UsageReports interface {
	Report(ctx context.Context, report models.UsageReport) error
	// Accepted returns the report accepted under an identity, if any.
	Accepted(ctx context.Context, id string) (models.UsageReport, bool, error)
}
