package request_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer/system"
	"quincewinch/request"
)

func TestLimits(t *testing.T) {
	clock := system.NewClock()
	setUp := func() (request.Handler, *request.WorkCounter, *int) {
		work, ran := request.NewWorkCounter(), new(int)
		limits := request.NewLimits("d", &fakeForecaster{}, &fakePeers{}, clock, work)
		limits.Step(t.Context())
		handler := request.HandlerFunc(func(context.Context, *request.Exchange) error {
			*ran++
			return nil
		})
		return limits.Filter()(handler), work, ran
	}
	t.Run("a request above the limit is refused with a retry time", func(t *testing.T) {
		is := is.New(t)
		handler, work, ran := setUp()
		e := newExchange(clock, "a")
		e.Workspace.RequestsPerSecond = 1
		is.NoErr(handler.Handle(t.Context(), e))
		retryAfter := assertRefused(t, handler.Handle(t.Context(), e), models.RefusalRateLimit, true)
		is.True(retryAfter >= time.Second) // time until the next request is within the limit
		is.Equal(*ran, 1)
		is.Equal(work.Done()["a"].Refused, int64(1)) // refused requests are reported to other daemons
	})
	t.Run("a refused request with an idempotency key may have run before", func(t *testing.T) {
		is := is.New(t)
		handler, _, _ := setUp()
		e := newExchange(clock, "a")
		e.IdempotencyKey = "once"
		e.Workspace.RequestsPerSecond = 1
		is.NoErr(handler.Handle(t.Context(), e))
		assertRefused(t, handler.Handle(t.Context(), e), models.RefusalRateLimit, false)
	})
	t.Run("a request that has ended no longer counts as concurrent", func(t *testing.T) {
		is := is.New(t)
		handler, _, _ := setUp()
		e := newExchange(clock, "a")
		e.Workspace.Concurrent = 10 // this daemon's share is 1 until it has joined
		for range 3 {
			is.NoErr(handler.Handle(t.Context(), e))
		}
	})
	t.Run("no limit", func(t *testing.T) {
		is := is.New(t)
		handler, _, ran := setUp()
		for range 100 {
			is.NoErr(handler.Handle(t.Context(), newExchange(clock, "a")))
		}
		is.Equal(*ran, 100)
	})
}
