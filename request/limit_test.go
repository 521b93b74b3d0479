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
		limits := request.NewLimits("d", &forecaster{}, &others{}, clock, work)
		limits.Step(t.Context())
		handler := request.HandlerFunc(func(context.Context, *request.Exchange) error {
			*ran++
			return nil
		})
		return limits.Filter()(handler), work, ran
	}
	t.Run("above the limit is refused, with the truth", func(t *testing.T) {
		is := is.New(t)
		handler, work, ran := setUp()
		e := exchange(clock, "a")
		e.Workspace.RequestsPerSecond = 1
		is.NoErr(handler.Handle(t.Context(), e))
		retryAfter := assertRefused(t, handler.Handle(t.Context(), e), models.RefusalRateLimit, true)
		is.True(retryAfter >= time.Second) // when to come back
		is.Equal(*ran, 1)
		is.Equal(work.Done()["a"].Refused, int64(1)) // others see the demand
	})
	t.Run("a repeat by its key may have run", func(t *testing.T) {
		is := is.New(t)
		handler, _, _ := setUp()
		e := exchange(clock, "a")
		e.IdempotencyKey = "once"
		e.Workspace.RequestsPerSecond = 1
		is.NoErr(handler.Handle(t.Context(), e))
		assertRefused(t, handler.Handle(t.Context(), e), models.RefusalRateLimit, false)
	})
	t.Run("a request that ended leaves its place", func(t *testing.T) {
		is := is.New(t)
		handler, _, _ := setUp()
		e := exchange(clock, "a")
		e.Workspace.Concurrent = 10 // one place while the daemon joins
		for range 3 {
			is.NoErr(handler.Handle(t.Context(), e))
		}
	})
	t.Run("no limit", func(t *testing.T) {
		is := is.New(t)
		handler, _, ran := setUp()
		for range 100 {
			is.NoErr(handler.Handle(t.Context(), exchange(clock, "a")))
		}
		is.Equal(*ran, 100)
	})
}
