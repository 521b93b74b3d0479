package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/policy/retry"
)

var start = time.Date(2027, 1, 2, 3, 4, 5, 0, time.UTC)

func countAllowed(b *retry.Budget, attempts int, at time.Time) int {
	allowed := 0
	for range attempts {
		if b.AllowRetry(at) {
			allowed++
		}
	}
	return allowed
}

func TestBudget(t *testing.T) {
	settings := retry.Settings{Ratio: 0.2, Reserve: 3, Window: 10 * time.Second}
	t.Run("allows a share of the requests plus the reserve", func(t *testing.T) {
		is := is.New(t)
		b := retry.NewBudget(settings)
		for range 50 {
			b.RecordRequest(start)
		}
		is.Equal(countAllowed(b, 100, start), 13)
	})
	t.Run("allows no more within a window", func(t *testing.T) {
		is := is.New(t)
		b := retry.NewBudget(settings)
		is.Equal(countAllowed(b, 100, start), 3)
		is.Equal(countAllowed(b, 100, start.Add(9*time.Second)), 0)
	})
	t.Run("allows no more within a window that begins between two buckets", func(t *testing.T) {
		is := is.New(t)
		for offset := time.Duration(0); offset < settings.Window; offset += 10 * time.Millisecond {
			b := retry.NewBudget(settings)
			first := start.Add(offset)
			is.Equal(countAllowed(b, 100, first), 3)
			is.Equal(countAllowed(b, 100, first.Add(settings.Window-10*time.Millisecond)), 0)
		}
	})
	t.Run("allows nothing for requests before the window", func(t *testing.T) {
		is := is.New(t)
		for offset := time.Duration(0); offset < settings.Window; offset += 10 * time.Millisecond {
			b := retry.NewBudget(settings)
			first := start.Add(offset)
			for range 50 {
				b.RecordRequest(first)
			}
			is.Equal(countAllowed(b, 100, first.Add(settings.Window+10*time.Millisecond)), 3)
		}
	})
	t.Run("allows more after the window has passed", func(t *testing.T) {
		is := is.New(t)
		b := retry.NewBudget(settings)
		is.Equal(countAllowed(b, 100, start), 3)
		is.Equal(countAllowed(b, 100, start.Add(11*time.Second)), 3)
	})
	t.Run("calls that may be rejected need room once one has been", func(t *testing.T) {
		is := is.New(t)
		b := retry.NewBudget(settings)
		for range 7 {
			is.True(b.Begin(start))
		}
		is.Equal(countAllowed(b, 100, start), 0) // all room is kept for them
		for range 6 {
			b.End(start, false)
		}
		b.End(start, true)
		is.True(b.Begin(start))
		is.True(b.Begin(start))
		is.True(!b.Begin(start))
		b.End(start, false)
		is.Equal(countAllowed(b, 100, start), 1)
	})
	t.Run("changed limits include earlier retries", func(t *testing.T) {
		is := is.New(t)
		b := retry.NewBudget(settings)
		is.Equal(countAllowed(b, 100, start), 3)
		b.SetLimits(0, 5)
		is.Equal(countAllowed(b, 100, start), 2)
	})
}
