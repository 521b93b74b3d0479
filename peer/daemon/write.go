package daemon

import (
	"context"
	"net/netip"

	"github.com/juju/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"quincewinch/models"
	"quincewinch/peer/daemon/proto"
)

// RowWriter writes rows on behalf of other daemons.
type RowWriter interface {
	// WriteRows writes rows that do not depend on others and returns their revision.
	WriteRows(ctx context.Context, writes []models.Write) (models.Revision, error)
}

// WriteRows asks another daemon to write rows of the store. A failure says nothing
// about whether they were written. It takes as long as ctx allows.
func (c *Client) WriteRows(ctx context.Context, to netip.AddrPort, writes []models.Write) (models.Revision, error) {
	connection, err := c.connection(to)
	if err != nil {
		return 0, err
	}
	form := &proto.WriteRequest{}
	for _, write := range writes {
		form.Rows = append(form.Rows, &proto.Row{Partition: string(write.Key.Partition), Name: write.Key.Name, Value: write.Value})
	}
	written, err := proto.NewDaemonsClient(connection).Write(ctx, form)
	if err != nil {
		return 0, newUnknownFailure(err)
	}
	return models.Revision(written.GetRevision()), nil
}

// Write implements proto.DaemonsServer.
func (s *Server) Write(ctx context.Context, form *proto.WriteRequest) (*proto.Written, error) {
	if s.rows == nil {
		return nil, status.Error(codes.Unimplemented, "this daemon writes no rows for others")
	}
	var writes []models.Write
	for _, row := range form.GetRows() {
		key := models.RowKey{Partition: models.Partition(row.GetPartition()), Name: row.GetName()}
		writes = append(writes, models.Write{Key: key, Value: row.GetValue()})
	}
	revision, err := s.rows.WriteRows(ctx, writes)
	if err != nil {
		return nil, status.Error(codes.Unavailable, errors.Annotatef(err, "cannot write %d rows", len(writes)).Error())
	}
	return &proto.Written{Revision: uint64(revision)}, nil
}
