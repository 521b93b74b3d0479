package control

import (
	"context"
	"sync"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

// OrderSettings bound how long an order may be under way.
type OrderSettings struct {
	// Window is the longest from before an order is recorded until its send
	// has ended. A successor waits it out by its own clock.
	Window time.Duration
	// Margin is what a sender stops early, and a successor waits longer: for
	// clocks of different rates and for states that an engine reports late.
	Margin time.Duration
	// StateTimeout is for one reading of an engine's state.
	StateTimeout time.Duration
}

// DefaultOrderSettings returns the settings of a daemon.
func DefaultOrderSettings() OrderSettings {
	return OrderSettings{Window: 3 * time.Second, Margin: 500 * time.Millisecond, StateTimeout: time.Second}
}

// Orders sends orders to engines and to the platform, one at a time to each.
// An order is recorded in the table, by a transaction that commits only under
// its authority, before it is sent. Each record permits one call, which ends
// before the record's window and the authority do. What a lost answer or an
// earlier holder left open is settled before anything else is sent.
type Orders struct {
	table    peer.Table
	engines  peer.Engines
	servers  peer.Servers
	clock    peer.Clock
	timeline peer.Timeline
	settings OrderSettings

	mu     sync.Mutex
	busy   map[models.RowKey]bool
	seen   map[models.RowKey]sighting
	closed map[models.RowKey]models.Revision // records that took no effect

	records uint64 // tried so far
}

// sighting is when this daemon first saw a record.
type sighting struct {
	revision models.Revision
	at       time.Time
}

// ticket permits one call.
type ticket struct {
	authority models.Authority
	key       models.RowKey
	revision  models.Revision
	until     time.Time
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
		seen:     map[models.RowKey]sighting{},
		closed:   map[models.RowKey]models.Revision{},
	}
}

// Send gives an order to an engine and returns nil when the engine has taken
// it. The order's identity names it once and for all: sent again after it was
// taken, it is a success without a call. The fencing number is the
// authority's. Errors are of type *peer.Failure; OutcomeNotDone is returned
// also while an earlier order is under way.
func (o *Orders) Send(ctx context.Context, authority models.Authority, server models.BackendServer, order models.Order) error {
	key := engineOrderKey(server.Engine)
	if !o.begin(key) {
		return notDone("an order to engine " + string(server.Engine) + " is under way")
	}
	defer o.end(key)
	order.Engine = server.Engine
	order.Fence = authority.Fence
	engine := o.engines.Engine(server)
	row, err := o.read(ctx, key)
	if err != nil {
		return unsent(err)
	}
	taken, err := o.settleEarlier(ctx, engine, row, order.ID)
	if taken || err != nil {
		return err
	}
	value, err := encodeOrder(order, o.settings.Window)
	if err != nil {
		return unsent(err)
	}
	t, err := o.record(ctx, authority, row, order.ID, value)
	if err != nil {
		return unsent(err)
	}
	return o.give(ctx, t, engine, order)
}

// give sends a recorded order.
func (o *Orders) give(ctx context.Context, t ticket, engine peer.Engine, order models.Order) error {
	err := o.call(ctx, t, func(ctx context.Context) error { return engine.Order(ctx, order) })
	if err != nil && peer.OutcomeOf(err) == peer.OutcomeUnknown {
		err = o.settleLost(ctx, t, engine, order, err)
	}
	o.report(t, order, err)
	if err != nil && peer.OutcomeOf(err) != peer.OutcomeUnknown {
		o.close(t.key, t.revision)
	}
	return err
}

// call makes the one call that a ticket permits. The check of the authority
// is the last step before it, and the call ends with the ticket.
func (o *Orders) call(ctx context.Context, t ticket, send func(ctx context.Context) error) error {
	ctx, cancel := context.WithDeadline(ctx, t.until)
	defer cancel()
	now := o.clock.Now()
	if !t.authority.Valid(now) || !now.Before(t.until) || ctx.Err() != nil {
		return notDone("the authority or the time to send ended before the order was sent")
	}
	return send(ctx)
}

// settleLost finds out whether an order whose answer was lost was taken.
func (o *Orders) settleLost(ctx context.Context, t ticket, engine peer.Engine, order models.Order, lost error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.settings.Window+2*o.settings.Margin+2*o.settings.StateTimeout)
	defer cancel()
	if state, err := o.state(ctx, engine); err == nil && state.LastOrder == order.ID {
		return nil
	}
	if err := o.sleepUntil(ctx, t.until.Add(o.settings.Margin)); err != nil {
		return lost
	}
	state, err := o.state(ctx, engine)
	switch {
	case err != nil:
		return lost
	case state.LastOrder == order.ID:
		return nil
	}
	// Another holder's order would hide this one in the engine's state.
	_, err = o.table.Transact(ctx, models.Transaction{Conditions: []models.Condition{{Key: t.key, Revision: t.revision}}})
	if err != nil {
		return lost
	}
	return peer.NewFailure(peer.OutcomeNotDone, "the engine did not get the order", lost)
}

// settleEarlier makes sure that the order recorded before has ended. Taken
// tells that it is the one now wanted, and that the engine took it.
func (o *Orders) settleEarlier(ctx context.Context, engine peer.Engine, row models.Row, wanted string) (taken bool, err error) {
	if row.Revision == 0 {
		return false, nil
	}
	earlier, err := decodeOrder(row.Value)
	if err != nil {
		return false, unsent(err)
	}
	state, err := o.state(ctx, engine)
	if err != nil {
		return false, unsent(err)
	}
	if state.LastOrder != earlier.id && !o.isClosed(row) {
		if err := o.sleepUntil(ctx, o.over(row, earlier.window)); err != nil {
			return false, unsent(err)
		}
		if state, err = o.state(ctx, engine); err != nil {
			return false, unsent(err)
		}
	}
	switch {
	case state.LastOrder == wanted:
		return true, nil
	case state.Changing:
		return false, notDone("the engine still carries out order " + state.LastOrder)
	}
	return false, nil
}

// record writes an order's row under an authority.
func (o *Orders) record(ctx context.Context, authority models.Authority, row models.Row, id string, value []byte) (ticket, error) {
	started := o.clock.Now()
	t := ticket{authority: authority, key: row.Key, until: started.Add(o.settings.Window)}
	if last := authority.Deadline.Add(-o.settings.Margin); last.Before(t.until) {
		t.until = last
	}
	if !started.Before(t.until) {
		return ticket{}, notDone("too little is left of the authority to send an order")
	}
	revision, err := o.table.Transact(ctx, models.Transaction{
		ID:         row.Key.Name + "/" + id + "/" + formatUint(authority.Fence) + "/" + formatUint(o.nextRecord()),
		Conditions: []models.Condition{authority.Guard, {Key: row.Key, Revision: row.Revision}},
		Writes:     []models.Write{{Key: row.Key, Value: value}},
	})
	if err != nil {
		return ticket{}, err
	}
	t.revision = revision
	o.sight(row.Key, revision)
	return t, nil
}

// nextRecord numbers the records tried: one that was cancelled after lost
// answers stays so, and is tried again under another identity.
func (o *Orders) nextRecord() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records++
	return o.records
}

// read returns an order's row, one of revision 0 where there is none.
func (o *Orders) read(ctx context.Context, key models.RowKey) (models.Row, error) {
	rows, err := o.table.Read(ctx, key)
	if err != nil {
		return models.Row{}, err
	}
	if len(rows) == 0 {
		return models.Row{Key: key}, nil
	}
	o.sight(key, rows[0].Revision)
	return rows[0], nil
}

// over returns when the call that a record permits has ended at the latest.
func (o *Orders) over(row models.Row, window time.Duration) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.seen[row.Key].at.Add(window + o.settings.Margin)
}

func (o *Orders) sight(key models.RowKey, revision models.Revision) {
	now := o.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.seen[key].revision != revision {
		o.seen[key] = sighting{revision: revision, at: now}
	}
}

func (o *Orders) close(key models.RowKey, revision models.Revision) {
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

func (o *Orders) report(t ticket, order models.Order, err error) {
	event := models.Event{
		Kind:   models.EventOrder,
		Engine: order.Engine,
		Lease:  t.authority.Lease,
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

func notDone(message string) error {
	return peer.NewFailure(peer.OutcomeNotDone, message, nil)
}

// unsent is the error of an order that was not sent. Whether its record was
// written does not matter: a record permits a call only to who knows of it.
func unsent(cause error) error {
	if outcome := peer.OutcomeOf(cause); outcome == peer.OutcomeConflict || outcome == peer.OutcomeNotDone {
		return cause
	}
	return peer.NewFailure(peer.OutcomeNotDone, "the order was not sent", cause)
}
