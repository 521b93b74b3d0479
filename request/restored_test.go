package request_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer/system"
)

// run steps the claims of daemons as their processes do, until ctx ends.
func (c *claimFixture) run(ctx context.Context, daemons ...int) {
	for _, daemon := range daemons {
		go func() {
			for ctx.Err() == nil {
				c.claims[daemon].Step(ctx)
				_ = system.NewClock().Sleep(ctx, time.Second)
			}
		}()
	}
}

// restoredBubble is bubble with a context that ends before the background work.
func restoredBubble(t *testing.T, test func(t *testing.T, is *is.I, ctx context.Context)) {
	t.Helper()
	bubble(t, func(t *testing.T, is *is.I) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		test(t, is, ctx)
	})
}

// TestRestoredClaims returns the table to a copy without the claim of a request,
// which must not run again.
func TestRestoredClaims(t *testing.T) {
	// The copy is not from before the first transaction.
	setUp := func(t *testing.T, is *is.I) (c *claimFixture, copied uint64) {
		c = newClaimFixture(2)
		c.backend.latency = time.Second
		_, refusal := c.book(t.Context(), 0, "r0", "k0", "flitch 6")
		is.Equal(refusal, nil)
		is.NoErr(c.claims[0].Flush(t.Context()))
		return c, c.store.Revision().Version()
	}
	t.Run("lost after the answer", func(t *testing.T) {
		restoredBubble(t, func(t *testing.T, is *is.I, ctx context.Context) {
			c, copied := setUp(t, is)
			c.run(ctx, 0, 1)
			_, refusal := c.book(t.Context(), 0, "r1", "k1", "flitch 7")
			is.Equal(refusal, nil)
			is.NoErr(c.claims[0].Flush(t.Context()))
			c.store.Restore(copied)
			_ = system.NewClock().Sleep(t.Context(), time.Minute)
			_, refusal = c.book(t.Context(), 1, "r2", "k1", "flitch 7")
			is.Equal(refusal, nil)             // it gets the answer
			is.Equal(c.backend.callCount(), 2) // k0 and k1 ran once each
		})
	})
	t.Run("daemon that knows the answer reaches the table 8 s later", func(t *testing.T) {
		restoredBubble(t, func(t *testing.T, is *is.I, ctx context.Context) {
			c, copied := setUp(t, is)
			c.run(ctx, 0, 1)
			_, refusal := c.book(t.Context(), 0, "r1", "k1", "flitch 7")
			is.Equal(refusal, nil)
			is.NoErr(c.claims[0].Flush(t.Context()))
			c.links[0].unreachable.Store(true)
			c.store.Restore(copied)
			for i := range 40 {
				if i == 8 {
					c.links[0].unreachable.Store(false)
				}
				_, _ = c.book(t.Context(), 1, "r2", "k1", "flitch 7")
				_ = system.NewClock().Sleep(t.Context(), time.Second)
			}
			_, refusal = c.book(t.Context(), 1, "r2", "k1", "flitch 7")
			is.Equal(refusal, nil)             // it gets the answer
			is.Equal(c.backend.callCount(), 2) // k0 and k1 ran once each
		})
	})
	t.Run("retry at a daemon that does not know of the restore", func(t *testing.T) {
		restoredBubble(t, func(t *testing.T, is *is.I, _ context.Context) {
			c, copied := setUp(t, is)
			_, refusal := c.book(t.Context(), 0, "r1", "k1", "flitch 7")
			is.Equal(refusal, nil)
			is.NoErr(c.claims[0].Flush(t.Context()))
			c.links[1].hidesEra.Store(true)
			c.store.Restore(copied)
			sent := system.NewClock().Now()
			_, refusal = c.book(t.Context(), 1, "r2", "k1", "flitch 7")
			is.True(refusal != nil)
			is.Equal(refusal.Code, models.RefusalStoreUnreachable)
			is.Equal(system.NewClock().Now(), sent) // at once
			is.Equal(c.backend.callCount(), 2)      // k0 and k1 ran once each
		})
	})
	t.Run("lost before the claim was acknowledged", func(t *testing.T) {
		restoredBubble(t, func(t *testing.T, is *is.I, ctx context.Context) {
			c, copied := setUp(t, is)
			c.backend.latency = 25 * time.Second
			c.links[0].committed = sync.OnceFunc(func() {
				c.store.Restore(copied)
				c.claims[0].Step(ctx)
			})
			answered := make(chan *models.Refusal, 1)
			go func() {
				_, refusal := c.book(t.Context(), 0, "r1", "k1", "flitch 7")
				answered <- refusal
			}()
			synctest.Wait()
			c.run(ctx, 0, 1)
			_ = system.NewClock().Sleep(t.Context(), 15*time.Second)
			_, refusal := c.book(t.Context(), 1, "r2", "k1", "flitch 7")
			is.Equal(refusal, nil) // it gets the answer
			is.Equal(<-answered, nil)
			is.Equal(c.backend.callCount(), 2) // k0 and k1 ran once each
		})
	})
	t.Run("retry that did not run does not replace a lost answer", func(t *testing.T) {
		restoredBubble(t, func(t *testing.T, is *is.I, ctx context.Context) {
			c, copied := setUp(t, is)
			c.run(ctx, 0, 1)
			_, refusal := c.book(t.Context(), 0, "r1", "k1", "flitch 7")
			is.Equal(refusal, nil)
			is.NoErr(c.claims[0].Flush(t.Context()))
			c.links[0].unreachable.Store(true)
			c.store.Restore(copied)
			_ = system.NewClock().Sleep(t.Context(), 15*time.Second)
			c.backend.refusal = &models.Refusal{Code: models.RefusalNoBackend, NotRun: true}
			_, refusal = c.book(t.Context(), 1, "r2", "k1", "flitch 7")
			is.True(refusal != nil)
			is.NoErr(c.claims[1].Flush(t.Context()))
			c.backend.refusal = nil
			c.links[0].unreachable.Store(false)
			_ = system.NewClock().Sleep(t.Context(), 15*time.Second)
			_, refusal = c.book(t.Context(), 1, "r3", "k1", "flitch 7")
			is.Equal(refusal, nil)             // it gets the answer
			is.Equal(c.backend.callCount(), 2) // k0 and k1 ran once each
		})
	})
	t.Run("retry while the request runs", func(t *testing.T) {
		restoredBubble(t, func(t *testing.T, is *is.I, ctx context.Context) {
			c, copied := setUp(t, is)
			c.run(ctx, 0, 1)
			c.backend.latency = 25 * time.Second
			answered := make(chan *models.Refusal, 1)
			go func() {
				_, refusal := c.book(t.Context(), 0, "r1", "k1", "flitch 7")
				answered <- refusal
			}()
			_ = system.NewClock().Sleep(t.Context(), time.Second/2)
			c.store.Restore(copied)
			_ = system.NewClock().Sleep(t.Context(), 15*time.Second)
			_, refusal := c.book(t.Context(), 1, "r2", "k1", "flitch 7")
			is.Equal(refusal, nil) // it gets the answer
			is.Equal(<-answered, nil)
			is.Equal(c.backend.callCount(), 2) // k0 and k1 ran once each
		})
	})
	t.Run("outcome lost, claim in the copy, daemon lives", func(t *testing.T) {
		restoredBubble(t, func(t *testing.T, is *is.I, ctx context.Context) {
			c, copied := setUp(t, is)
			c.run(ctx, 0, 1)
			_, refusal := c.book(t.Context(), 0, "r1", "k1", "flitch 7")
			is.Equal(refusal, nil)
			is.NoErr(c.claims[0].Flush(t.Context()))
			c.store.Restore(copied + 1)
			_ = system.NewClock().Sleep(t.Context(), time.Minute)
			_, refusal = c.book(t.Context(), 1, "r2", "k1", "flitch 7")
			is.Equal(refusal, nil)             // it gets the answer
			is.Equal(c.backend.callCount(), 2) // k0 and k1 ran once each
		})
	})
	t.Run("daemon started later does not wait", func(t *testing.T) {
		restoredBubble(t, func(t *testing.T, is *is.I, ctx context.Context) {
			c, copied := setUp(t, is)
			c.store.Restore(copied)
			c.run(ctx, 0)
			_ = system.NewClock().Sleep(t.Context(), 15*time.Second)
			c.run(ctx, 1)
			_ = system.NewClock().Sleep(t.Context(), time.Millisecond)
			_, refusal := c.book(t.Context(), 1, "r1", "k1", "flitch 7")
			is.Equal(refusal, nil)
		})
	})
	t.Run("lost while the request runs", func(t *testing.T) {
		restoredBubble(t, func(t *testing.T, is *is.I, ctx context.Context) {
			c, copied := setUp(t, is)
			c.run(ctx, 0, 1)
			answered := make(chan *models.Refusal, 1)
			go func() {
				_, refusal := c.book(t.Context(), 0, "r1", "k1", "flitch 7")
				answered <- refusal
			}()
			_ = system.NewClock().Sleep(t.Context(), time.Second/2)
			c.store.Restore(copied)
			is.Equal(<-answered, nil)
			_ = system.NewClock().Sleep(t.Context(), time.Minute)
			_, refusal := c.book(t.Context(), 1, "r2", "k1", "flitch 7")
			is.Equal(refusal, nil)             // it gets the answer
			is.Equal(c.backend.callCount(), 2) // k0 and k1 ran once each
		})
	})
	t.Run("outcome lost, claim in the copy", func(t *testing.T) {
		restoredBubble(t, func(t *testing.T, is *is.I, ctx context.Context) {
			c, copied := setUp(t, is)
			c.run(ctx, 1) // the daemon that knows the outcome is gone
			_, refusal := c.book(t.Context(), 0, "r1", "k1", "flitch 7")
			is.Equal(refusal, nil)
			is.NoErr(c.claims[0].Flush(t.Context()))
			c.store.Restore(copied + 1)
			_ = system.NewClock().Sleep(t.Context(), time.Minute)
			_, refusal = c.book(t.Context(), 1, "r2", "k1", "flitch 7")
			is.True(refusal != nil)
			is.Equal(refusal.Code, models.RefusalOutcomeUnknown)
			is.Equal(c.backend.callCount(), 2) // k0 and k1 ran once each
		})
	})
}
