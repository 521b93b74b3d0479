package request_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/system"
	"quincewinch/policy/placement"
	"quincewinch/request"
)

// fakeForecaster is a Forecaster that always returns the same choice.
type fakeForecaster struct {
	choice placement.Choice
	none   bool
}

func (f *fakeForecaster) Forecast(*request.Exchange) (placement.Choice, bool) {
	return f.choice, !f.none
}
func (f *fakeForecaster) ExpectedOutput(*request.Exchange) int { return 50 }
func (f *fakeForecaster) CancelReservation(*request.Exchange)  {}
func (f *fakeForecaster) Reserve(_ *request.Exchange, acceptable func(time.Duration) bool) bool {
	return !f.none && acceptable(f.choice.Wait)
}

// fakePeers holds fixed reports of other daemons and a fixed configuration.
type fakePeers struct {
	reports []models.PeerReport
	config  models.Config
}

func (o *fakePeers) Reports() []models.PeerReport { return o.reports }
func (o *fakePeers) Config() *models.Config       { return &o.config }
func (o *fakePeers) Evidence() models.Evidence    { return models.Evidence{} }
func (o *fakePeers) Watch() <-chan struct{}       { return nil }

func newExchange(clock peer.Clock, workspace models.Workspace) *request.Exchange {
	return &request.Exchange{
		Received:   clock.Now(),
		Deadline:   clock.Now().Add(time.Minute),
		Route:      models.Route{Repeatable: true},
		Workspace:  models.WorkspaceSettings{Name: workspace, Weight: 1},
		Generation: &models.Generation{Model: "oak", Prompt: "Which oak?"},
	}
}

func assertRefused(t *testing.T, err error, code models.RefusalCode, notRun bool) time.Duration {
	t.Helper()
	is := is.New(t)
	var refusal *models.Refusal
	is.True(errors.As(err, &refusal)) // the request is refused
	is.Equal(refusal.Code, code)
	is.Equal(refusal.NotRun, notRun)
	return refusal.RetryAfter
}

func assertWaits(t *testing.T, w *request.Waiter) {
	t.Helper()
	select {
	case err := <-w.Decided():
		t.Fatalf("the request should still wait, but was decided with error %v", err)
	default:
	}
}

func TestQueue(t *testing.T) {
	full := placement.Choice{Wait: time.Second, FirstToken: 1010 * time.Millisecond, Step: 10 * time.Millisecond}
	free := placement.Choice{FirstToken: 10 * time.Millisecond, Step: 10 * time.Millisecond}
	ran := request.HandlerFunc(func(context.Context, *request.Exchange) error { return nil })
	setUp := func(choice placement.Choice) (*request.Queue, *fakeForecaster, peer.Clock) {
		clock := system.NewClock()
		f := &fakeForecaster{choice: choice}
		o := &fakePeers{}
		return request.NewQueue(o, f, o, clock, request.NewWorkCounter()), f, clock
	}
	t.Run("starts if an engine has room", func(t *testing.T) {
		is := is.New(t)
		q, _, clock := setUp(free)
		is.NoErr(q.Filter()(ran).Handle(t.Context(), newExchange(clock, "a")))
	})
	t.Run("waits until an engine has room", func(t *testing.T) {
		is := is.New(t)
		q, f, clock := setUp(full)
		w := q.Enqueue(newExchange(clock, "a"))
		assertWaits(t, w)
		f.choice = free
		q.Step(t.Context())
		is.NoErr(<-w.Decided())
	})
	t.Run("a waiting request is refused as soon as it cannot start in time", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			q, _, clock := setUp(full)
			w := q.Enqueue(newExchange(clock, "a"))
			is.NoErr(clock.Sleep(t.Context(), time.Second))
			q.Step(t.Context())
			assertWaits(t, w)
			is.NoErr(clock.Sleep(t.Context(), 200*time.Millisecond))
			q.Step(t.Context())
			retryAfter := assertRefused(t, <-w.Decided(), models.RefusalOverload, true)
			is.True(retryAfter > 0)
		})
	})
	t.Run("a request that cannot meet its deadline is refused at once", func(t *testing.T) {
		q, _, clock := setUp(free)
		e := newExchange(clock, "a")
		e.Deadline = clock.Now().Add(100 * time.Millisecond)
		assertRefused(t, <-q.Enqueue(e).Decided(), models.RefusalDeadline, true)
	})
	t.Run("no engine", func(t *testing.T) {
		q, f, clock := setUp(free)
		f.none = true
		assertRefused(t, <-q.Enqueue(newExchange(clock, "a")).Decided(), models.RefusalNoBackend, true)
	})
	t.Run("a refused request with an idempotency key may have run before", func(t *testing.T) {
		q, f, clock := setUp(free)
		f.none = true
		e := newExchange(clock, "a")
		e.IdempotencyKey = "once"
		assertRefused(t, <-q.Enqueue(e).Decided(), models.RefusalNoBackend, false)
	})
	t.Run("a request whose caller is gone is removed from the queue", func(t *testing.T) {
		clock := system.NewClock()
		o, work := &fakePeers{}, request.NewWorkCounter()
		q := request.NewQueue(o, &fakeForecaster{choice: full}, o, clock, work)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		err := q.Filter()(ran).Handle(ctx, newExchange(clock, "a"))
		assertRefused(t, err, models.RefusalCancelled, true)
		report := models.DaemonReport{}
		work.Fill(&report)
		is.New(t).Equal(report.Work["a"].Waiting, 0)
	})
	t.Run("a workspace above its share waits where others may start", func(t *testing.T) {
		is := is.New(t)
		q, f, clock := setUp(free)
		for range 20 {
			is.NoErr(<-q.Enqueue(newExchange(clock, "a")).Decided())
		}
		is.NoErr(<-q.Enqueue(newExchange(clock, "b")).Decided())
		f.choice = placement.Choice{Wait: 200 * time.Millisecond, FirstToken: 210 * time.Millisecond}
		assertWaits(t, q.Enqueue(newExchange(clock, "a")))
		is.NoErr(<-q.Enqueue(newExchange(clock, "b")).Decided())
	})
}
