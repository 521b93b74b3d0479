package control

import (
	"context"
	"sync"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

// OrderSettings bound how long an order may be in flight.
type OrderSettings struct {
	// Window is the longest time from before an order is recorded until its
	// send has ended. A successor waits that long by its own clock.
	Window time.Duration
	// Margin is how much earlier a sender stops and how much longer a
	// successor waits. It covers clocks that run at different rates and states
	// that an engine reports late.
	Margin time.Duration
	// StateTimeout is for one read of an engine's state.
	StateTimeout time.Duration
}

// DefaultOrderSettings returns the default settings.
func DefaultOrderSettings() OrderSettings {
	return OrderSettings{Window: 3 * time.Second, Margin: 500 * time.Millisecond, StateTimeout: time.Second}
}

// Orders sends orders to engines and to the platform, one at a time to each.
// Before an order is sent, it is recorded in the table by a transaction that
// commits only under the sender's authority. Each record permits one call,
// which ends before both the record's window and the authority expire. An
// order whose outcome is open, after a lost answer or from a previous holder,
// is resolved before the next one is sent.
type Orders struct {
	table    peer.Table
	engines  peer.Engines
	servers  peer.Servers
	clock    peer.Clock
	timeline peer.Timeline
	settings OrderSettings

	mu     sync.Mutex
	busy   map[models.RowKey]bool
	seen   map[models.RowKey]firstSeen
	closed map[models.RowKey]models.Revision // records whose orders had no effect

	records uint64 // record attempts so far
}

// firstSeen is the revision of a record and the time this daemon first saw it.
type firstSeen struct {
	revision models.Revision
	at       time.Time
}

// sendPermit permits one call, which must end by its deadline.
type sendPermit struct {
	authority models.Authority
	key       models.RowKey
	revision  models.Revision
	deadline  time.Time
}

// NewOrders returns a sender of orders.
func NewOrders(table peer.Table, engines peer.Engines, servers peer.Servers, clock peer.Clock, timeline peer.Timeline, settings OrderSettings) *Orders {
	return &Orders{
		table:    table,
		engines:  engines,
		servers:  servers,
		clock:    clock,
		timeline: timeline,
		settings: settings,
		busy:     map[models.RowKey]bool{},
		seen:     map[models.RowKey]firstSeen{},
		closed:   map[models.RowKey]models.Revision{},
	}
}

// Send sends an order to an engine and returns nil when the engine has
// accepted it. The order's ID makes it idempotent: if the engine has already
// accepted it, Send succeeds without a call. The order's fencing number is set
// to the authority's. Errors are of type *peer.Failure; OutcomeNotDone is also
// returned while an earlier order is in flight.
func (o *Orders) Send(ctx context.Context, authority models.Authority, server models.BackendServer, order models.Order) error {
	key := engineOrderKey(server.Engine)
	if !o.begin(key) {
		return notDoneError("an order to engine " + string(server.Engine) + " is under way")
	}
	defer o.end(key)
	order.Engine = server.Engine
	order.Fence = authority.Fence
	engine := o.engines.Engine(server)
	row, err := o.read(ctx, key)
	if err != nil {
		return notSentError(err)
	}
	taken, err := o.resolveEarlier(ctx, engine, row, order.ID)
	if taken || err != nil {
		return err
	}
	value, err := encodeOrder(order, o.settings.Window)
	if err != nil {
		return notSentError(err)
	}
	permit, err := o.record(ctx, authority, row, order.ID, value)
	if err != nil {
		return notSentError(err)
	}
	return o.sendRecorded(ctx, permit, engine, order)
}

// sendRecorded sends an order whose record is written, and resolves the
// outcome if the answer is lost.
func (o *Orders) sendRecorded(ctx context.Context, permit sendPermit, engine peer.Engine, order models.Order) error {
	err := o.call(ctx, permit, func(ctx context.Context) error { return engine.Order(ctx, order) })
	if err != nil && peer.OutcomeOf(err) == peer.OutcomeUnknown {
		err = o.resolveLostAnswer(ctx, permit, engine, order, err)
	}
	o.recordEvent(permit, order, err)
	if err != nil && peer.OutcomeOf(err) != peer.OutcomeUnknown {
		o.markClosed(permit.key, permit.revision)
	}
	return err
}

// call makes the one call that a permit allows. The check of the authority is
// the last step before the call, and the call is cancelled at the deadline.
func (o *Orders) call(ctx context.Context, permit sendPermit, send func(ctx context.Context) error) error {
	ctx, cancel := context.WithDeadline(ctx, permit.deadline)
	defer cancel()
	now := o.clock.Now()
	if !permit.authority.Valid(now) || !now.Before(permit.deadline) || ctx.Err() != nil {
		return notDoneError("the authority or the time to send ended before the order was sent")
	}
	return send(ctx)
}

// resolveLostAnswer finds out whether the engine accepted an order whose
// answer was lost.
func (o *Orders) resolveLostAnswer(ctx context.Context, permit sendPermit, engine peer.Engine, order models.Order, lost error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.settings.Window+2*o.settings.Margin+2*o.settings.StateTimeout)
	defer cancel()
	if state, err := o.state(ctx, engine); err == nil && state.LastOrder == order.ID {
		return nil
	}
	if err := o.sleepUntil(ctx, permit.deadline.Add(o.settings.Margin)); err != nil {
		return lost
	}
	state, err := o.state(ctx, engine)
	switch {
	case err != nil:
		return lost
	case state.LastOrder == order.ID:
		return nil
	}
	// If another holder has sent an order since, the engine's state no longer
	// shows whether this one was accepted.
	_, err = o.table.Transact(ctx, models.Transaction{Conditions: []models.Condition{{Key: permit.key, Revision: permit.revision}}})
	if err != nil {
		return lost
	}
	return peer.NewFailure(peer.OutcomeNotDone, "the engine did not get the order", lost)
}

// resolveEarlier makes sure that the previously recorded order is no longer in
// flight. It returns accepted if the engine has accepted the wanted order.
func (o *Orders) resolveEarlier(ctx context.Context, engine peer.Engine, row models.Row, wanted string) (accepted bool, err error) {
	if row.Revision == 0 {
		return false, nil
	}
	earlier, err := decodeOrder(row.Value)
	if err != nil {
		return false, notSentError(err)
	}
	state, err := o.state(ctx, engine)
	if err != nil {
		return false, notSentError(err)
	}
	if state.LastOrder != earlier.id && !o.isClosed(row) {
		if err := o.sleepUntil(ctx, o.latestEnd(row, earlier.window)); err != nil {
			return false, notSentError(err)
		}
		if state, err = o.state(ctx, engine); err != nil {
			return false, notSentError(err)
		}
	}
	switch {
	case state.LastOrder == wanted:
		return true, nil
	case state.Changing:
		return false, notDoneError("the engine still carries out order " + state.LastOrder)
	}
	return false, nil
}

// record writes an order's row under an authority and returns the permit to
// send it.
func (o *Orders) record(ctx context.Context, authority models.Authority, row models.Row, id string, value []byte) (sendPermit, error) {
	started := o.clock.Now()
	permit := sendPermit{authority: authority, key: row.Key, deadline: started.Add(o.settings.Window)}
	if last := authority.Deadline.Add(-o.settings.Margin); last.Before(permit.deadline) {
		permit.deadline = last
	}
	if !started.Before(permit.deadline) {
		return sendPermit{}, notDoneError("too little is left of the authority to send an order")
	}
	revision, err := o.table.Transact(ctx, models.Transaction{
		ID:         row.Key.Name + "/" + id + "/" + formatUint(authority.Fence) + "/" + formatUint(o.nextRecordNumber()),
		Conditions: []models.Condition{authority.Guard, {Key: row.Key, Revision: row.Revision}},
		Writes:     []models.Write{{Key: row.Key, Value: value}},
	})
	if err != nil {
		return sendPermit{}, err
	}
	permit.revision = revision
	o.markSeen(row.Key, revision)
	return permit, nil
}

// nextRecordNumber returns a number that makes the ID of each transaction
// unique. A transaction that was cancelled after lost answers stays cancelled,
// so the next attempt needs another ID.
func (o *Orders) nextRecordNumber() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records++
	return o.records
}

// read returns an order's row, with revision 0 if there is none.
func (o *Orders) read(ctx context.Context, key models.RowKey) (models.Row, error) {
	rows, err := o.table.Read(ctx, key)
	if err != nil {
		return models.Row{}, err
	}
	if len(rows) == 0 {
		return models.Row{Key: key}, nil
	}
	o.markSeen(key, rows[0].Revision)
	return rows[0], nil
}

// latestEnd returns the latest time at which the call that a record permits
// has ended.
func (o *Orders) latestEnd(row models.Row, window time.Duration) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.seen[row.Key].at.Add(window + o.settings.Margin)
}

func (o *Orders) markSeen(key models.RowKey, revision models.Revision) {
	now := o.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.seen[key].revision != revision {
		o.seen[key] = firstSeen{revision: revision, at: now}
	}
}

func (o *Orders) markClosed(key models.RowKey, revision models.Revision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed[key] = revision
}

func (o *Orders) isClosed(row models.Row) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.closed[row.Key] == row.Revision
}

func (o *Orders) begin(key models.RowKey) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.busy[key] {
		return false
	}
	o.busy[key] = true
	return true
}

func (o *Orders) end(key models.RowKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.busy, key)
}

func (o *Orders) state(ctx context.Context, engine peer.Engine) (models.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, o.settings.StateTimeout)
	defer cancel()
	return engine.State(ctx)
}

func (o *Orders) sleepUntil(ctx context.Context, at time.Time) error {
	return o.clock.Sleep(ctx, at.Sub(o.clock.Now()))
}

func (o *Orders) recordEvent(permit sendPermit, order models.Order, err error) {
	event := models.Event{
		Kind:   models.EventOrder,
		Engine: order.Engine,
		Lease:  permit.authority.Lease,
		What:   string(order.Kind) + " order " + order.ID + " taken by the engine",
		Why:    "sent under fencing number " + formatUint(order.Fence),
		Cause:  order.ID,
	}
	if err != nil {
		event.What = string(order.Kind) + " order " + order.ID + " failed: " + string(peer.OutcomeOf(err))
		event.Why = err.Error()
	}
	o.timeline.Record(event)
}

func notDoneError(message string) error {
	return peer.NewFailure(peer.OutcomeNotDone, message, nil)
}

// notSentError returns the error for an order that was not sent. Whether its
// record was written does not matter, since a record permits a call only to
// the sender that knows of it.
func notSentError(cause error) error {
	if outcome := peer.OutcomeOf(cause); outcome == peer.OutcomeConflict || outcome == peer.OutcomeNotDone {
		return cause
	}
	return peer.NewFailure(peer.OutcomeNotDone, "the order was not sent", cause)
}
