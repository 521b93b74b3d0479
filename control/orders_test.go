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

// silence is a time line that keeps nothing.
type silence struct{}

func (silence) Record(models.Event) {}

// oneEngine finds the same engine for every backend server.
type oneEngine struct{ engine peer.Engine }

func (e oneEngine) Engine(models.BackendServer) peer.Engine { return e.engine }

// bench is one store and one engine.
type bench struct {
	store   *standin.Store
	servers *standin.Servers
	engine  *standinengine.Engine
}

func newBench(t *testing.T, checksFence bool) bench {
	t.Helper()
	store := standin.NewStore(clock)
	b := bench{
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
func (b bench) takeOver(t *testing.T, fence uint64) models.Authority {
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

func (b bench) orders() *control.Orders {
	return control.NewOrders(b.store, oneEngine{b.engine}, b.servers, clock, silence{}, control.DefaultOrderSettings())
}

// cancelling returns the table as a client tries it again, with faults that
// hold writes up until they are cancelled.
func (b bench) cancelling() peer.Table {
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

// taken asserts which orders the engine took.
func (b bench) taken(t *testing.T, ids ...string) {
	t.Helper()
	var found []string
	for _, order := range b.engine.Orders() {
		found = append(found, order.ID)
	}
	is.New(t).Equal(found, ids)
}

// outcome asserts what is known of a call.
func outcome(t *testing.T, err error, want peer.Outcome) {
	t.Helper()
	is := is.New(t)
	is.True(err != nil) // it failed
	is.Equal(peer.OutcomeOf(err), want)
}

func TestOrders(t *testing.T) {
	run := func(name string, test func(t *testing.T, b bench)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, newBench(t, false)) })
		})
	}
	run("an order twice is one order", func(t *testing.T, b bench) {
		authority := b.takeOver(t, 1)
		is := is.New(t)
		is.NoErr(b.orders().Send(t.Context(), authority, server, drain("a")))
		is.NoErr(b.orders().Send(t.Context(), authority, server, drain("a")))
		b.taken(t, "a")
	})
	run("an old holder sends nothing", func(t *testing.T, b bench) {
		old := b.takeOver(t, 1)
		b.takeOver(t, 2)
		outcome(t, b.orders().Send(t.Context(), old, server, drain("a")), peer.OutcomeConflict)
		b.taken(t)
	})
	run("an ended authority sends nothing", func(t *testing.T, b bench) {
		authority := b.takeOver(t, 1)
		authority.Deadline = clock.Now()
		outcome(t, b.orders().Send(t.Context(), authority, server, drain("a")), peer.OutcomeNotDone)
		b.taken(t)
	})
	run("a lost answer is settled by the engine's state", func(t *testing.T, b bench) {
		authority := b.takeOver(t, 1)
		b.engine.SetFaults(standinengine.Faults{LoseOrderAnswer: true})
		is.New(t).NoErr(b.orders().Send(t.Context(), authority, server, drain("a")))
		b.taken(t, "a")
	})
	run("no order while a change is under way", func(t *testing.T, b bench) {
		authority := b.takeOver(t, 1)
		is := is.New(t)
		role := models.Order{ID: "a", Kind: models.OrderRole, Role: models.RoleDecode}
		is.NoErr(b.orders().Send(t.Context(), authority, server, role))
		outcome(t, b.orders().Send(t.Context(), authority, server, drain("b")), peer.OutcomeNotDone)
		b.taken(t, "a")
		is.NoErr(clock.Sleep(t.Context(), time.Minute))
		is.NoErr(b.orders().Send(t.Context(), authority, server, drain("b")))
		b.taken(t, "a", "b")
	})
	run("nothing is sent past an engine that does not answer", func(t *testing.T, b bench) {
		authority := b.takeOver(t, 1)
		is := is.New(t)
		is.NoErr(b.orders().Send(t.Context(), authority, server, drain("a")))
		b.engine.Crash()
		outcome(t, b.orders().Send(t.Context(), authority, server, drain("b")), peer.OutcomeNotDone)
		b.taken(t, "a")
	})
	run("an order whose record was cancelled can be sent again", func(t *testing.T, b bench) {
		is := is.New(t)
		authority := b.takeOver(t, 1)
		table := b.cancelling()
		sender := control.NewOrders(table, oneEngine{b.engine}, b.servers, clock, silence{}, control.DefaultOrderSettings())
		outcome(t, sender.Send(t.Context(), authority, server, drain("a")), peer.OutcomeNotDone)
		b.store.SetFaults(standin.Faults{})
		is.NoErr(sender.Send(t.Context(), authority, server, drain("a")))
		b.taken(t, "a")
		wait(t, time.Minute) // for what is late
	})
	run("a successor waits out what may be under way", func(t *testing.T, b bench) {
		old := b.takeOver(t, 1)
		is := is.New(t)
		held := &heldEngine{Engine: b.engine, hold: true}
		sender := control.NewOrders(b.store, oneEngine{held}, b.servers, clock, silence{}, control.DefaultOrderSettings())
		ended := make(chan error, 1)
		go func() { ended <- sender.Send(context.Background(), old, server, drain("a")) }()
		synctest.Wait()
		started := clock.Now()
		is.NoErr(b.orders().Send(t.Context(), b.takeOver(t, 2), server, drain("b")))
		is.True(clock.Now().Sub(started) >= control.DefaultOrderSettings().Window) // it waited
		b.taken(t, "b")
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
	count := func(t *testing.T, b bench, want int) {
		t.Helper()
		is.New(t).Equal(len(b.store.ServerOrders()), want)
	}
	run := func(name string, test func(t *testing.T, b bench)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, newBench(t, false)) })
		})
	}
	run("an order twice is one order", func(t *testing.T, b bench) {
		authority := b.takeOver(t, 1)
		is := is.New(t)
		is.NoErr(b.orders().SendServers(t.Context(), authority, order))
		is.NoErr(b.orders().SendServers(t.Context(), authority, order))
		count(t, b, 1)
	})
	run("an old holder sends nothing", func(t *testing.T, b bench) {
		old := b.takeOver(t, 1)
		b.takeOver(t, 2)
		outcome(t, b.orders().SendServers(t.Context(), old, order), peer.OutcomeConflict)
		count(t, b, 0)
	})
	run("a lost answer leaves it open, and a successor settles it once", func(t *testing.T, b bench) {
		is := is.New(t)
		lossy := lossyServers{b.servers}
		sender := control.NewOrders(b.store, oneEngine{b.engine}, lossy, clock, silence{}, control.DefaultOrderSettings())
		outcome(t, sender.SendServers(t.Context(), b.takeOver(t, 1), order), peer.OutcomeUnknown)
		is.NoErr(b.orders().SendServers(t.Context(), b.takeOver(t, 2), models.ServerOrder{ID: "b", Zone: "z", Count: 1}))
		count(t, b, 2)
	})
	run("an order that was not taken can be sent again", func(t *testing.T, b bench) {
		is := is.New(t)
		authority := b.takeOver(t, 1)
		sender := control.NewOrders(b.store, oneEngine{b.engine}, downServers{b.servers}, clock, silence{}, control.DefaultOrderSettings())
		outcome(t, sender.SendServers(t.Context(), authority, order), peer.OutcomeNotDone)
		is.NoErr(b.orders().SendServers(t.Context(), authority, order))
		count(t, b, 1)
	})
}

// lossyServers loses each answer.
type lossyServers struct{ peer.Servers }

func (s lossyServers) Order(ctx context.Context, order models.ServerOrder) error {
	if err := s.Servers.Order(ctx, order); err != nil {
		return err
	}
	return peer.NewFailure(peer.OutcomeUnknown, "the answer was lost", nil)
}

// downServers takes no order.
type downServers struct{ peer.Servers }

func (downServers) Order(context.Context, models.ServerOrder) error {
	return peer.NewFailure(peer.OutcomeNotDone, "down", nil)
}
