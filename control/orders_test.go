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

// discardTimeline is a time line that keeps nothing.
type discardTimeline struct{}

func (discardTimeline) Record(models.Event) {}

// oneEngine finds the same engine for every backend server.
type oneEngine struct{ engine peer.Engine }

func (e oneEngine) Engine(models.BackendServer) peer.Engine { return e.engine }

// storeFixture is one store and one engine.
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

// takeOver changes the guard row, as a new holder does.
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

// retryTable returns the table as a client tries it again, with faults that
// hold writes up until they are cancelled.
func (b storeFixture) retryTable() peer.Table {
	b.store.SetFaults(standin.Faults{Late: func(transaction models.Transaction) time.Duration {
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

// assertAccepted asserts which orders the engine took.
func (b storeFixture) assertAccepted(t *testing.T, ids ...string) {
	t.Helper()
	var found []string
	for _, order := range b.engine.Orders() {
		found = append(found, order.ID)
	}
	is.New(t).Equal(found, ids)
}

// assertOutcome asserts what is known of a call.
func assertOutcome(t *testing.T, err error, want peer.Outcome) {
	t.Helper()
	is := is.New(t)
	is.True(err != nil) // it failed
	is.Equal(peer.OutcomeOf(err), want)
}

func TestOrders(t *testing.T) {
	run := func(name string, test func(t *testing.T, b storeFixture)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, newStoreFixture(t, false)) })
		})
	}
	run("an order twice is one order", func(t *testing.T, b storeFixture) {
		authority := b.takeOver(t, 1)
		is := is.New(t)
		is.NoErr(b.orders().Send(t.Context(), authority, server, drain("a")))
		is.NoErr(b.orders().Send(t.Context(), authority, server, drain("a")))
		b.assertAccepted(t, "a")
	})
	run("an old holder sends nothing", func(t *testing.T, b storeFixture) {
		old := b.takeOver(t, 1)
		b.takeOver(t, 2)
		assertOutcome(t, b.orders().Send(t.Context(), old, server, drain("a")), peer.OutcomeConflict)
		b.assertAccepted(t)
	})
	run("an ended authority sends nothing", func(t *testing.T, b storeFixture) {
		authority := b.takeOver(t, 1)
		authority.Deadline = clock.Now()
		assertOutcome(t, b.orders().Send(t.Context(), authority, server, drain("a")), peer.OutcomeNotDone)
		b.assertAccepted(t)
	})
	run("a lost answer is settled by the engine's state", func(t *testing.T, b storeFixture) {
		authority := b.takeOver(t, 1)
		b.engine.SetFaults(standinengine.Faults{LoseOrderAnswer: true})
		is.New(t).NoErr(b.orders().Send(t.Context(), authority, server, drain("a")))
		b.assertAccepted(t, "a")
	})
	run("no order while a change is under way", func(t *testing.T, b storeFixture) {
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
	run("nothing is sent past an engine that does not answer", func(t *testing.T, b storeFixture) {
		authority := b.takeOver(t, 1)
		is := is.New(t)
		is.NoErr(b.orders().Send(t.Context(), authority, server, drain("a")))
		b.engine.Crash()
		assertOutcome(t, b.orders().Send(t.Context(), authority, server, drain("b")), peer.OutcomeNotDone)
		b.assertAccepted(t, "a")
	})
	run("an order whose record was cancelled can be sent again", func(t *testing.T, b storeFixture) {
		is := is.New(t)
		authority := b.takeOver(t, 1)
		table := b.retryTable()
		sender := control.NewOrders(table, oneEngine{b.engine}, b.servers, clock, discardTimeline{}, control.DefaultOrderSettings())
		assertOutcome(t, sender.Send(t.Context(), authority, server, drain("a")), peer.OutcomeNotDone)
		b.store.SetFaults(standin.Faults{})
		is.NoErr(sender.Send(t.Context(), authority, server, drain("a")))
		b.assertAccepted(t, "a")
		wait(t, time.Minute) // for what is late
	})
	run("a successor waits out what may be under way", func(t *testing.T, b storeFixture) {
		old := b.takeOver(t, 1)
		is := is.New(t)
		held := &heldEngine{Engine: b.engine, hold: true}
		sender := control.NewOrders(b.store, oneEngine{held}, b.servers, clock, discardTimeline{}, control.DefaultOrderSettings())
		ended := make(chan error, 1)
		go func() { ended <- sender.Send(context.Background(), old, server, drain("a")) }()
		synctest.Wait()
		started := clock.Now()
		is.NoErr(b.orders().Send(t.Context(), b.takeOver(t, 2), server, drain("b")))
		is.True(clock.Now().Sub(started) >= control.DefaultOrderSettings().Window) // it waited
		b.assertAccepted(t, "b")
		is.True(<-ended != nil)
	})
}

// heldEngine holds orders up until their call is given up.
type heldEngine struct {
	peer.Engine
	hold bool
}

func (e *heldEngine) Order(ctx context.Context, order models.Order) error {
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
	run("an order twice is one order", func(t *testing.T, b storeFixture) {
		authority := b.takeOver(t, 1)
		is := is.New(t)
		is.NoErr(b.orders().SendServers(t.Context(), authority, order))
		is.NoErr(b.orders().SendServers(t.Context(), authority, order))
		count(t, b, 1)
	})
	run("an old holder sends nothing", func(t *testing.T, b storeFixture) {
		old := b.takeOver(t, 1)
		b.takeOver(t, 2)
		assertOutcome(t, b.orders().SendServers(t.Context(), old, order), peer.OutcomeConflict)
		count(t, b, 0)
	})
	run("a lost answer leaves it open, and a successor settles it once", func(t *testing.T, b storeFixture) {
		is := is.New(t)
		lossy := answerLosingServers{b.servers}
		sender := control.NewOrders(b.store, oneEngine{b.engine}, lossy, clock, discardTimeline{}, control.DefaultOrderSettings())
		assertOutcome(t, sender.SendServers(t.Context(), b.takeOver(t, 1), order), peer.OutcomeUnknown)
		is.NoErr(b.orders().SendServers(t.Context(), b.takeOver(t, 2), models.ServerOrder{ID: "b", Zone: "z", Count: 1}))
		count(t, b, 2)
	})
	run("an order that was not taken can be sent again", func(t *testing.T, b storeFixture) {
		is := is.New(t)
		authority := b.takeOver(t, 1)
		sender := control.NewOrders(b.store, oneEngine{b.engine}, failingServers{b.servers}, clock, discardTimeline{}, control.DefaultOrderSettings())
		assertOutcome(t, sender.SendServers(t.Context(), authority, order), peer.OutcomeNotDone)
		is.NoErr(b.orders().SendServers(t.Context(), authority, order))
		count(t, b, 1)
	})
}

// answerLosingServers loses each answer.
type answerLosingServers struct{ peer.Servers }

func (s answerLosingServers) Order(ctx context.Context, order models.ServerOrder) error {
	if err := s.Servers.Order(ctx, order); err != nil {
		return err
	}
	return peer.NewFailure(peer.OutcomeUnknown, "the answer was lost", nil)
}

// failingServers takes no order.
type failingServers struct{ peer.Servers }

func (failingServers) Order(context.Context, models.ServerOrder) error {
	return peer.NewFailure(peer.OutcomeNotDone, "down", nil)
}
