package control

import (
	"context"

	"quincewinch/models"
	"quincewinch/peer"
)

// SendServerOrder gives the platform an order for backend servers and returns nil
// when the platform has taken it. An earlier order whose outcome is open is
// sent again first, under its own idempotent identity, so that it is settled
// and taken once. OutcomeUnknown leaves the order open: send it again.
func (o *Orders) SendServerOrder(ctx context.Context, authority models.Authority, order models.ServerOrder) error {
	if !o.begin(serverOrderKey) {
		return notDone("an order of backend servers is under way")
	}
	defer o.end(serverOrderKey)
	row, err := o.read(ctx, serverOrderKey)
	if err != nil {
		return unsent(err)
	}
	if row.Revision > 0 {
		earlier, err := decodeServerOrder(row.Value)
		if err != nil {
			return unsent(err)
		}
		if earlier.taken && earlier.order.ID == order.ID {
			return nil
		}
		if !earlier.closed {
			if row, err = o.settleServers(ctx, authority, row, earlier); err != nil {
				return o.resettled(earlier, order, err)
			}
			if earlier.order.ID == order.ID {
				return nil
			}
		}
	}
	_, err = o.giveServers(ctx, authority, row, order)
	return err
}

// settleServers sends an open order again once nothing of it is under way.
func (o *Orders) settleServers(ctx context.Context, authority models.Authority, row models.Row, earlier serverRecord) (models.Row, error) {
	if !o.isClosed(row) {
		if err := o.sleepUntil(ctx, o.over(row, earlier.window)); err != nil {
			return row, unsent(err)
		}
	}
	next, err := o.giveServers(ctx, authority, row, earlier.order)
	if err != nil && next.Revision > row.Revision && peer.OutcomeOf(err) == peer.OutcomeRefused {
		return next, nil
	}
	return next, err
}

// resettled is the error of an order that could not be sent because an
// earlier one could not be settled; what was unknown of the earlier one says
// nothing of another order.
func (o *Orders) resettled(earlier serverRecord, order models.ServerOrder, err error) error {
	if earlier.order.ID == order.ID {
		return peer.NewFailure(peer.OutcomeUnknown, "the order of backend servers is still open", err)
	}
	return unsent(err)
}

// giveServers records an order, sends it, and closes its record when its
// outcome is certain. It returns the row as last written.
func (o *Orders) giveServers(ctx context.Context, authority models.Authority, row models.Row, order models.ServerOrder) (models.Row, error) {
	order.Fence = authority.Fence
	record := serverRecord{order: order, window: o.settings.Window}
	t, row, err := o.recordServers(ctx, authority, row, record)
	if err != nil {
		return row, unsent(err)
	}
	err = o.call(ctx, t, func(ctx context.Context) error { return o.servers.Order(ctx, order) })
	o.reportServers(t, order, err)
	if err != nil && peer.OutcomeOf(err) == peer.OutcomeUnknown {
		return row, err
	}
	if err != nil {
		o.close(t.key, t.revision)
	}
	record.closed = true
	record.taken = err == nil
	if _, closedRow, failed := o.recordServers(ctx, authority, row, record); failed == nil {
		row = closedRow
	}
	return row, err
}

func (o *Orders) recordServers(ctx context.Context, authority models.Authority, row models.Row, record serverRecord) (ticket, models.Row, error) {
	value, err := encodeServerOrder(record)
	if err != nil {
		return ticket{}, row, err
	}
	t, err := o.record(ctx, authority, row, record.order.ID, value)
	if err != nil {
		return ticket{}, row, err
	}
	return t, models.Row{Key: row.Key, Revision: t.revision, Value: value}, nil
}

func (o *Orders) reportServers(t ticket, order models.ServerOrder, err error) {
	event := models.Event{
		Kind:  models.EventFleet,
		Lease: t.authority.Lease,
		What:  "order " + order.ID + " of backend servers taken by the platform",
		Why:   "sent under the lease on ordering backend servers",
		Cause: order.ID,
	}
	if err != nil {
		event.What = "order " + order.ID + " of backend servers failed: " + string(peer.OutcomeOf(err))
		event.Why = err.Error()
	}
	o.timeline.Record(event)
}
