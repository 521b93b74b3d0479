package control_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/control"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/platform"
	"quincewinch/peer/system"
	standinengine "quincewinch/standin/engine"
	standin "quincewinch/standin/platform"
)

var (
	clock    = system.NewClock()
	guardKey = models.RowKey{Partition: models.PartitionLeases, Name: "guard"}
	server   = models.BackendServer{Engine: "e", Zone: "z"}
)

// discardTimeline is a time line that discards all events.
type discardTimeline struct{}

func (discardTimeline) Record(models.Event) {}

// oneEngine returns the same engine for every backend server.
type oneEngine struct{ engine peer.Engine }

func (e oneEngine) Engine(models.BackendServer) peer.Engine { return e.engine }

// storeFixture is a store with one engine and the ordering of backend servers.
type storeFixture struct {
	store   *standin.Store
	servers *standin.Servers
	engine  *standinengine.Engine
}

func newStoreFixture(t *testing.T, checksFence bool) storeFixture {
	t.Helper()
	store := standin.NewStore(clock)
	b := storeFixture{
		store:   store,
		servers: standin.NewServers(store),
		engine: standinengine.New(clock, standinengine.Settings{
			ID:          "e",
			ChecksFence: checksFence,
			Cost:        standinengine.DefaultCost(),
		}),
	}
	b.takeOver(t, 0)
	return b
}

// takeOver writes the guard row, as a new holder does, and returns the new
// holder's authority.
func (b storeFixture) takeOver(t *testing.T, fence uint64) models.Authority {
	t.Helper()
	revision, err := b.store.Transact(t.Context(), models.Transaction{Writes: []models.Write{{Key: guardKey}}})
	is.New(t).NoErr(err)
	return models.Authority{
		Lease:    models.LeaseServers,
		Fence:    fence,
		Deadline: clock.Now().Add(time.Hour),
		Guard:    models.Condition{Key: guardKey, Revision: revision},
	}
}

func (b storeFixture) orders() *control.Orders {
	return control.NewOrders(b.store, oneEngine{b.engine}, b.servers, clock, discardTimeline{}, control.DefaultOrderSettings())
}

// retryTable returns the table with a client's retries. Each write is delayed
// by 30 s, so that the client cancels it; cancellations are not delayed.
func (b storeFixture) retryTable() *platform.RetryTable {
	b.store.SetFaults(standin.Faults{CommitDelay: func(transaction models.Transaction) time.Duration {
		if len(transaction.Writes) == 1 {
			return 0 // the cancellation
		}
		return 30 * time.Second
	}})
	return platform.NewRetryTable(b.store, clock, platform.DefaultRetrySettings(time.Second, 1))
}

func drain(id string) models.Order {
	return models.Order{ID: id, Kind: models.OrderDrain}
}

// assertAccepted checks which orders the engine accepted.
func (b storeFixture) assertAccepted(t *testing.T, ids ...string) {
	t.Helper()
	var found []string
	for _, order := range b.engine.Orders() {
		found = append(found, order.ID)
	}
	is.New(t).Equal(found, ids)
}

// assertOutcome checks that a call failed with the given outcome.
func assertOutcome(t *testing.T, err error, want peer.Outcome) {
	t.Helper()
	is := is.New(t)
	is.True(err != nil) // the call failed
	is.Equal(peer.OutcomeOf(err), want)
}

func TestOrders(t *testing.T) {
	run := func(name string, test func(t *testing.T, b storeFixture)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, newStoreFixture(t, false)) })
		})
	}
	run("order sent twice takes effect once", func(t *testing.T, b storeFixture) {
		authority := b.takeOver(t, 1)
		is := is.New(t)
		is.NoErr(b.orders().Send(t.Context(), authority, server, drain("a")))
		is.NoErr(b.orders().Send(t.Context(), authority, server, drain("a")))
		b.assertAccepted(t, "a")
	})
	run("previous holder sends nothing", func(t *testing.T, b storeFixture) {
		old := b.takeOver(t, 1)
		b.takeOver(t, 2)
		assertOutcome(t, b.orders().Send(t.Context(), old, server, drain("a")), peer.OutcomeConflict)
		b.assertAccepted(t)
	})
	run("expired authority sends nothing", func(t *testing.T, b storeFixture) {
		authority := b.takeOver(t, 1)
		authority.Deadline = clock.Now()
		assertOutcome(t, b.orders().Send(t.Context(), authority, server, drain("a")), peer.OutcomeNotDone)
		b.assertAccepted(t)
	})
	run("lost answer is resolved from the engine's state", func(t *testing.T, b storeFixture) {
		authority := b.takeOver(t, 1)
		b.engine.SetFaults(standinengine.Faults{LoseOrderAnswer: true})
		is.New(t).NoErr(b.orders().Send(t.Context(), authority, server, drain("a")))
		b.assertAccepted(t, "a")
	})
	run("no order while the engine is changing", func(t *testing.T, b storeFixture) {
		authority := b.takeOver(t, 1)
		is := is.New(t)
		role := models.Order{ID: "a", Kind: models.OrderRole, Role: models.RoleDecode}
		is.NoErr(b.orders().Send(t.Context(), authority, server, role))
		assertOutcome(t, b.orders().Send(t.Context(), authority, server, drain("b")), peer.OutcomeNotDone)
		b.assertAccepted(t, "a")
		is.NoErr(clock.Sleep(t.Context(), time.Minute))
		is.NoErr(b.orders().Send(t.Context(), authority, server, drain("b")))
		b.assertAccepted(t, "a", "b")
	})
	run("no order after one that cannot be resolved", func(t *testing.T, b storeFixture) {
		authority := b.takeOver(t, 1)
		is := is.New(t)
		is.NoErr(b.orders().Send(t.Context(), authority, server, drain("a")))
		b.engine.Crash()
		assertOutcome(t, b.orders().Send(t.Context(), authority, server, drain("b")), peer.OutcomeNotDone)
		b.assertAccepted(t, "a")
	})
	run("order can be sent again after its record was cancelled", func(t *testing.T, b storeFixture) {
		is := is.New(t)
		authority := b.takeOver(t, 1)
		table := b.retryTable()
		sender := control.NewOrders(table, oneEngine{b.engine}, b.servers, clock, discardTimeline{}, control.DefaultOrderSettings())
		assertOutcome(t, sender.Send(t.Context(), authority, server, drain("a")), peer.OutcomeNotDone)
		b.store.SetFaults(standin.Faults{})
		is.NoErr(sender.Send(t.Context(), authority, server, drain("a")))
		b.assertAccepted(t, "a")
		sleep(t, time.Minute) // let the delayed writes arrive
	})
	run("successor waits until earlier call has ended", func(t *testing.T, b storeFixture) {
		old := b.takeOver(t, 1)
		is := is.New(t)
		blocking := &blockingEngine{Engine: b.engine, hold: true}
		sender := control.NewOrders(b.store, oneEngine{blocking}, b.servers, clock, discardTimeline{}, control.DefaultOrderSettings())
		ended := make(chan error, 1)
		go func() { ended <- sender.Send(context.Background(), old, server, drain("a")) }()
		synctest.Wait()
		started := clock.Now()
		is.NoErr(b.orders().Send(t.Context(), b.takeOver(t, 2), server, drain("b")))
		is.True(clock.Now().Sub(started) >= control.DefaultOrderSettings().Window) // it waited for the whole window
		b.assertAccepted(t, "b")
		is.True(<-ended != nil)
	})
}

// blockingEngine blocks each order until the call's context ends.
type blockingEngine struct {
	peer.Engine
	hold bool
}

func (e *blockingEngine) Order(ctx context.Context, order models.Order) error {
	if e.hold {
		<-ctx.Done()
		return peer.NewFailure(peer.OutcomeUnknown, "no answer", ctx.Err())
	}
	return e.Engine.Order(ctx, order)
}

func TestServerOrders(t *testing.T) {
	order := models.ServerOrder{ID: "a", Zone: "z", Count: 1}
	count := func(t *testing.T, b storeFixture, want int) {
		t.Helper()
		is.New(t).Equal(len(b.store.ServerOrders()), want)
	}
	run := func(name string, test func(t *testing.T, b storeFixture)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, newStoreFixture(t, false)) })
		})
	}
	run("order sent twice takes effect once", func(t *testing.T, b storeFixture) {
		authority := b.takeOver(t, 1)
		is := is.New(t)
		is.NoErr(b.orders().SendServerOrder(t.Context(), authority, order))
		is.NoErr(b.orders().SendServerOrder(t.Context(), authority, order))
		count(t, b, 1)
	})
	run("previous holder sends nothing", func(t *testing.T, b storeFixture) {
		old := b.takeOver(t, 1)
		b.takeOver(t, 2)
		assertOutcome(t, b.orders().SendServerOrder(t.Context(), old, order), peer.OutcomeConflict)
		count(t, b, 0)
	})
	run("order with lost answer is resolved once by successor", func(t *testing.T, b storeFixture) {
		is := is.New(t)
		lossy := answerLosingServers{b.servers}
		sender := control.NewOrders(b.store, oneEngine{b.engine}, lossy, clock, discardTimeline{}, control.DefaultOrderSettings())
		assertOutcome(t, sender.SendServerOrder(t.Context(), b.takeOver(t, 1), order), peer.OutcomeUnknown)
		is.NoErr(b.orders().SendServerOrder(t.Context(), b.takeOver(t, 2), models.ServerOrder{ID: "b", Zone: "z", Count: 1}))
		count(t, b, 2)
	})
	run("order that was not accepted can be sent again", func(t *testing.T, b storeFixture) {
		is := is.New(t)
		authority := b.takeOver(t, 1)
		sender := control.NewOrders(b.store, oneEngine{b.engine}, failingServers{b.servers}, clock, discardTimeline{}, control.DefaultOrderSettings())
		assertOutcome(t, sender.SendServerOrder(t.Context(), authority, order), peer.OutcomeNotDone)
		is.NoErr(b.orders().SendServerOrder(t.Context(), authority, order))
		count(t, b, 1)
	})
}

// answerLosingServers carries out each order and loses the answer.
type answerLosingServers struct{ peer.Servers }

func (s answerLosingServers) Order(ctx context.Context, order models.ServerOrder) error {
	if err := s.Servers.Order(ctx, order); err != nil {
		return err
	}
	return peer.NewFailure(peer.OutcomeUnknown, "the answer was lost", nil)
}

// failingServers is down and accepts no order.
type failingServers struct{ peer.Servers }

func (failingServers) Order(context.Context, models.ServerOrder) error {
	return peer.NewFailure(peer.OutcomeNotDone, "down", nil)
}
