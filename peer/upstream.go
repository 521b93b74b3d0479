package peer

import (
	"context"
	"io"
	"net/http"
	"time"

	"quincewinch/models"
)

// Upstreams forwards requests to backend servers.
type Upstreams interface {
	// Send forwards a request once and returns when the response header has
	// been received. Errors are of type *Failure: OutcomeNotDone means that no
	// byte of the request was sent, OutcomeUnknown that it may have run.
	Send(ctx context.Context, to models.Upstream, call models.UpstreamCall) (UpstreamResponse, error)
	// Prefill makes an engine compute the KV cache of a request's prompt
	// without generating tokens. If the status is not 200, the source is empty
	// and the response gives the reason.
	Prefill(ctx context.Context, to models.Upstream, call models.UpstreamCall) (models.KVSource, UpstreamResponse, error)
	// Free releases KV cache that no engine has fetched.
	Free(ctx context.Context, to models.Upstream, source models.KVSource) error
}

// UpstreamResponse is a backend server's response.
type UpstreamResponse struct {
	Status int
	Header http.Header // as forwarded to the caller
	Body   io.ReadCloser
	Length int64 // of the body; -1: unknown
	// The answer ends with its connection: it states neither length nor chunks.
	Unframed bool
	// The answer is a success without the signature that backend servers give each.
	Unsigned bool
	// The connection had carried other requests before.
	Reused bool
	// The backend server states that it has not run the request.
	NotRun        bool
	WrongInstance bool                 // another backend server has the address
	Load          *models.UpstreamLoad // nil if not reported
	Statement     models.ServerStatement
	Via           models.DaemonID // the daemon that made the call; empty: this one
}

// ChangeSource watches the rows of a store.
type ChangeSource interface {
	// Follow waits up to wait for rows of a partition written after a revision.
	// For revision zero, or if the changes since the revision are no longer
	// available, it returns a snapshot of all rows at once and sets all.
	Follow(ctx context.Context, partition models.Partition, after models.Revision, wait time.Duration) (changes models.Changes, all bool, err error)
}

// RoutingSource provides the routes, services and keys that operators
// configure.
type RoutingSource interface {
	// Follow waits up to wait for a version written after a revision. It
	// returns that version, or nil if there is none, and the revision up to
	// which the result is complete. Revision zero returns the current version
	// at once.
	Follow(ctx context.Context, after models.Revision, wait time.Duration) (*models.Routing, models.Revision, error)
}

// UpstreamSource provides the registrations of backend servers.
type UpstreamSource interface {
	// Follow waits up to wait for changes after a revision. For revision zero,
	// or if the changes since the revision are no longer available, it returns
	// all registrations at once.
	Follow(ctx context.Context, after models.Revision, wait time.Duration) (models.UpstreamChanges, error)
}

// WindowReports is the platform's interface that accepts the usage of all
// workspaces in one billing window.
type WindowReports interface {
	// Report sends the frozen counts of a window under the authority of a
	// lease.
	Report(ctx context.Context, authority models.Authority, window int64, counts map[models.Workspace]int64) error
}

// Supply is the platform's interface for setting the number of backend servers
// of a service in a zone.
type Supply interface {
	Set(ctx context.Context, authority models.Authority, order models.SupplyOrder) error
}
