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

// forecaster is a Forecaster with one answer.
type forecaster struct {
	choice placement.Choice
	none   bool
}

func (f *forecaster) Forecast(*request.Exchange) (placement.Choice, bool) { return f.choice, !f.none }
func (f *forecaster) Expect(*request.Exchange) int                        { return 50 }
func (f *forecaster) Unreserve(*request.Exchange)                         {}
func (f *forecaster) Reserve(_ *request.Exchange, acceptable func(time.Duration) bool) bool {
	return !f.none && acceptable(f.choice.Wait)
}

// others is the reports of other daemons, and a configuration.
type others struct {
	reports []models.PeerReport
	config  models.Config
}

func (o *others) Reports() []models.PeerReport { return o.reports }
func (o *others) Config() *models.Config       { return &o.config }
func (o *others) Evidence() models.Evidence    { return models.Evidence{} }
func (o *others) Watch() <-chan struct{}       { return nil }

func exchange(clock peer.Clock, workspace models.Workspace) *request.Exchange {
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
	is.True(errors.As(err, &refusal)) // it is refused
	is.Equal(refusal.Code, code)
	is.Equal(refusal.NotRun, notRun)
	return refusal.RetryAfter
}

func assertWaits(t *testing.T, w *request.Waiter) {
	t.Helper()
	select {
	case err := <-w.Decided():
		t.Fatalf("decided: %v", err)
	default:
	}
}

func TestQueue(t *testing.T) {
	full := placement.Choice{Wait: time.Second, FirstToken: 1010 * time.Millisecond, Step: 10 * time.Millisecond}
	free := placement.Choice{FirstToken: 10 * time.Millisecond, Step: 10 * time.Millisecond}
	ran := request.HandlerFunc(func(context.Context, *request.Exchange) error { return nil })
	setUp := func(choice placement.Choice) (*request.Queue, *forecaster, peer.Clock) {
		clock := system.NewClock()
		f := &forecaster{choice: choice}
		o := &others{}
		return request.NewQueue(o, f, o, clock, request.NewWorkCounter()), f, clock
	}
	t.Run("starts where there is room", func(t *testing.T) {
		is := is.New(t)
		q, _, clock := setUp(free)
		is.NoErr(q.Filter()(ran).Handle(t.Context(), exchange(clock, "a")))
	})
	t.Run("waits, then starts", func(t *testing.T) {
		is := is.New(t)
		q, f, clock := setUp(full)
		w := q.Enter(exchange(clock, "a"))
		assertWaits(t, w)
		f.choice = free
		q.Step(t.Context())
		is.NoErr(<-w.Decided())
	})
	t.Run("is refused once it is late, not later", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			q, _, clock := setUp(full)
			w := q.Enter(exchange(clock, "a"))
			is.NoErr(clock.Sleep(t.Context(), time.Second))
			q.Step(t.Context())
			assertWaits(t, w)
			is.NoErr(clock.Sleep(t.Context(), 200*time.Millisecond))
			q.Step(t.Context())
			retryAfter := assertRefused(t, <-w.Decided(), models.RefusalOverload, true)
			is.True(retryAfter > 0)
		})
	})
	t.Run("a deadline that cannot be kept is refused at once", func(t *testing.T) {
		q, _, clock := setUp(free)
		e := exchange(clock, "a")
		e.Deadline = clock.Now().Add(100 * time.Millisecond)
		assertRefused(t, <-q.Enter(e).Decided(), models.RefusalDeadline, true)
	})
	t.Run("no engine", func(t *testing.T) {
		q, f, clock := setUp(free)
		f.none = true
		assertRefused(t, <-q.Enter(exchange(clock, "a")).Decided(), models.RefusalNoBackend, true)
	})
	t.Run("a repeat by its key may have run", func(t *testing.T) {
		q, f, clock := setUp(free)
		f.none = true
		e := exchange(clock, "a")
		e.IdempotencyKey = "once"
		assertRefused(t, <-q.Enter(e).Decided(), models.RefusalNoBackend, false)
	})
	t.Run("a caller that has gone leaves the queue", func(t *testing.T) {
		clock := system.NewClock()
		o, work := &others{}, request.NewWorkCounter()
		q := request.NewQueue(o, &forecaster{choice: full}, o, clock, work)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		err := q.Filter()(ran).Handle(ctx, exchange(clock, "a"))
		assertRefused(t, err, models.RefusalCancelled, true)
		report := models.DaemonReport{}
		work.Fill(&report)
		is.New(t).Equal(report.Work["a"].Waiting, 0)
	})
	t.Run("a workspace above its share waits where others may start", func(t *testing.T) {
		is := is.New(t)
		q, f, clock := setUp(free)
		for range 20 {
			is.NoErr(<-q.Enter(exchange(clock, "a")).Decided())
		}
		is.NoErr(<-q.Enter(exchange(clock, "b")).Decided())
		f.choice = placement.Choice{Wait: 200 * time.Millisecond, FirstToken: 210 * time.Millisecond}
		assertWaits(t, q.Enter(exchange(clock, "a")))
		is.NoErr(<-q.Enter(exchange(clock, "b")).Decided())
	})
}
