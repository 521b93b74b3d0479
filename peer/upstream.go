package peer

import (
	"context"
	"io"
	"net/http"
	"time"

	"quincewinch/models"
)

// Upstreams passes requests on to backend servers.
type Upstreams interface {
	// Send passes a request on once and returns when the answer's header is
	// here. Errors are of type *Failure: with OutcomeNotDone no byte of the
	// request has left, with OutcomeUnknown it may have run.
	Send(ctx context.Context, to models.Upstream, call models.UpstreamCall) (UpstreamResponse, error)
	// Prefill has an engine fill KV cache with the prompt of a request without
	// running it. Where the answer's status is not 200 there is no source, and
	// the answer tells why.
	Prefill(ctx context.Context, to models.Upstream, call models.UpstreamCall) (models.KVSource, UpstreamResponse, error)
	// Free releases KV cache that no engine has taken.
	Free(ctx context.Context, to models.Upstream, source models.KVSource) error
}

// UpstreamResponse is a backend server's answer.
type UpstreamResponse struct {
	Status        int
	Header        http.Header // as it is passed on to the caller
	Body          io.ReadCloser
	Length        int64                // of the body, -1 where it is not known
	NotRun        bool                 // the backend server states that it did not run the request
	WrongInstance bool                 // another backend server has the address
	Load          *models.UpstreamLoad // nil where it says nothing
}

// ChangeSource follows the rows of a store.
type ChangeSource interface {
	// Follow waits up to wait for rows of a partition that are written after a
	// revision. It returns all rows at once, and says so, for revision zero and
	// where the changes since a revision are no longer known.
	Follow(ctx context.Context, partition models.Partition, after models.Revision, wait time.Duration) (changes models.Changes, all bool, err error)
}

// RoutingSource is where operators keep routes, services and keys.
type RoutingSource interface {
	// Follow waits up to wait for a version written after a revision, and
	// returns it, or nil if there is none, and the revision up to which that
	// holds. Revision zero asks for the present version at once.
	Follow(ctx context.Context, after models.Revision, wait time.Duration) (*models.Routing, models.Revision, error)
}

// UpstreamSource is where backend servers register.
type UpstreamSource interface {
	// Follow waits up to wait for changes after a revision. Revision zero asks
	// for all registrations at once; they are also returned where the changes
	// since a revision are no longer known.
	Follow(ctx context.Context, after models.Revision, wait time.Duration) (models.UpstreamChanges, error)
}

// WindowReports is the platform's interface that accepts the use of one
// billing window by all workspaces together.
type WindowReports interface {
	// Report sends a window's frozen counts under an authority.
	Report(ctx context.Context, authority models.Authority, window int64, counts map[models.Workspace]int64) error
}

// Supply is the platform's interface for setting how many backend servers a
// service has in a zone.
type Supply interface {
	Set(ctx context.Context, authority models.Authority, order models.SupplyOrder) error
}
