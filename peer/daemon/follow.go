package daemon

import (
	"context"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/daemon/proto"
)

// ChangeReader provides the changes that this daemon reads from the store.
type ChangeReader interface {
	// Changes waits up to wait for rows of a partition written after a
	// revision. It fails if this daemon does not know all of them.
	Changes(ctx context.Context, partition models.Partition, after models.Revision, wait time.Duration) (models.Changes, error)
}

// Changes asks another daemon for the rows of a partition written after a
// revision. That daemon waits up to wait for them.
func (c *Client) Changes(ctx context.Context, from netip.AddrPort, partition models.Partition, after models.Revision, wait time.Duration) (models.Changes, error) {
	connection, err := c.connection(from)
	if err != nil {
		return models.Changes{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	form, err := proto.NewDaemonsClient(connection).Follow(ctx, &proto.FollowRequest{
		Partition: string(partition),
		After:     uint64(after),
		Wait:      int64(wait),
	})
	if status.Code(err) == codes.FailedPrecondition {
		return models.Changes{}, peer.NewFailure(peer.OutcomeRestored, "read the changes of another daemon", errors.Trace(err))
	}
	if err != nil {
		return models.Changes{}, newUnknownFailure(err)
	}
	return decodeChanges(form), nil
}

// Follow implements proto.DaemonsServer.
func (s *Server) Follow(ctx context.Context, form *proto.FollowRequest) (*proto.Changes, error) {
	if s.changes == nil {
		return nil, status.Error(codes.Unimplemented, "this daemon does not pass on changes of the store")
	}
	changes, err := s.changes.Changes(ctx, models.Partition(form.GetPartition()), models.Revision(form.GetAfter()), time.Duration(form.GetWait()))
	if peer.OutcomeOf(err) == peer.OutcomeRestored {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return encodeChanges(changes), nil
}

func encodeChanges(changes models.Changes) *proto.Changes {
	form := &proto.Changes{Through: uint64(changes.Through)}
	for _, row := range changes.Rows {
		form.Rows = append(form.Rows, encodeRow(row))
	}
	return form
}

func decodeChanges(form *proto.Changes) models.Changes {
	changes := models.Changes{Through: models.Revision(form.GetThrough())}
	for _, row := range form.GetRows() {
		changes.Rows = append(changes.Rows, decodeRow(row))
	}
	return changes
}
