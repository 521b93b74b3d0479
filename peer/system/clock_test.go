package system_test

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"quincewinch/peer/system"
)

// TestSleepZero guards against a crash of the race detector: it happened when
// Sleep waited for a timer that had already fired, in a synctest bubble.
func TestSleepZero(t *testing.T) {
	t.Run("returns the error of ctx", func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		is.NoErr(system.NewClock().Sleep(ctx, 0))
		cancel()
		is.Equal(system.NewClock().Sleep(ctx, 0), context.Canceled)
	})
	for shard := range 8 {
		t.Run("bubbles "+strconv.Itoa(shard), func(t *testing.T) {
			t.Parallel()
			for range 200 {
				synctest.Test(t, func(t *testing.T) {
					var group sync.WaitGroup
					for range 20 {
						group.Go(func() { _ = system.NewClock().Sleep(t.Context(), 0) })
					}
					group.Wait()
				})
			}
		})
	}
}
