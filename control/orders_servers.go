package control

import (
	"context"

	"quincewinch/models"
	"quincewinch/peer"
)

// SendServerOrder sends the platform an order for backend servers and returns nil
// when the platform has accepted it. An earlier order whose outcome is open is
// first sent again under its own ID. Orders are idempotent, so this resolves
// it without ordering twice. After OutcomeUnknown the order is still open:
// send it again.
func (o *Orders) SendServerOrder(ctx context.Context, authority models.Authority, order models.ServerOrder) error {
	if !o.begin(serverOrderKey) {
		return notDoneError("an order of backend servers is under way")
	}
	defer o.end(serverOrderKey)
	row, err := o.read(ctx, serverOrderKey)
	if err != nil {
		return notSentError(err)
	}
	if row.Revision > 0 {
		earlier, err := decodeServerOrder(row.Value)
		if err != nil {
			return notSentError(err)
		}
		if earlier.accepted && earlier.order.ID == order.ID {
			return nil
		}
		if !earlier.closed {
			if row, err = o.resolveServers(ctx, authority, row, earlier); err != nil {
				return o.unresolvedError(earlier, order, err)
			}
			if earlier.order.ID == order.ID {
				return nil
			}
		}
	}
	_, err = o.recordAndSendServers(ctx, authority, row, order)
	return err
}

// resolveServers sends an open order again once no earlier call for it can be
// in flight.
func (o *Orders) resolveServers(ctx context.Context, authority models.Authority, row models.Row, earlier serverOrderRecord) (models.Row, error) {
	if !o.isClosed(row) {
		if err := o.sleepUntil(ctx, o.latestEnd(row, earlier.window)); err != nil {
			return row, notSentError(err)
		}
	}
	next, err := o.recordAndSendServers(ctx, authority, row, earlier.order)
	if err != nil && next.Revision > row.Revision && peer.OutcomeOf(err) == peer.OutcomeRefused {
		return next, nil
	}
	return next, err
}

// unresolvedError returns the error for an order that was not sent because the
// earlier one could not be resolved. The outcome is unknown only if the two
// are the same order.
func (o *Orders) unresolvedError(earlier serverOrderRecord, order models.ServerOrder, err error) error {
	if earlier.order.ID == order.ID {
		return peer.NewFailure(peer.OutcomeUnknown, "the order of backend servers is still open", err)
	}
	return notSentError(err)
}

// recordAndSendServers records an order, sends it, and closes its record if
// the outcome is certain. It returns the row as last written.
func (o *Orders) recordAndSendServers(ctx context.Context, authority models.Authority, row models.Row, order models.ServerOrder) (models.Row, error) {
	order.Fence = authority.Fence
	record := serverOrderRecord{order: order, window: o.settings.Window}
	permit, row, err := o.recordServers(ctx, authority, row, record)
	if err != nil {
		return row, notSentError(err)
	}
	err = o.call(ctx, permit, func(ctx context.Context) error { return o.servers.Order(ctx, order) })
	o.recordServersEvent(permit, order, err)
	if err != nil && peer.OutcomeOf(err) == peer.OutcomeUnknown {
		return row, err
	}
	if err != nil {
		o.markClosed(permit.key, permit.revision)
	}
	record.closed = true
	record.accepted = err == nil
	if _, closedRow, failed := o.recordServers(ctx, authority, row, record); failed == nil {
		row = closedRow
	}
	return row, err
}

func (o *Orders) recordServers(ctx context.Context, authority models.Authority, row models.Row, record serverOrderRecord) (sendPermit, models.Row, error) {
	value, err := encodeServerOrder(record)
	if err != nil {
		return sendPermit{}, row, err
	}
	permit, err := o.record(ctx, authority, row, record.order.ID, value)
	if err != nil {
		return sendPermit{}, row, err
	}
	return permit, models.Row{Key: row.Key, Revision: permit.revision, Value: value}, nil
}

func (o *Orders) recordServersEvent(permit sendPermit, order models.ServerOrder, err error) {
	event := models.Event{
		Kind:  models.EventFleet,
		Lease: permit.authority.Lease,
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
