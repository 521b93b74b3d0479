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
		is.True(b.Begin(start))
		is.Equal(countAllowed(b, 100, start), 2) // room is kept for it
		b.End(start, retry.Rejected)
		is.True(!b.Begin(start))
	})
	t.Run("calls that may be rejected need no room while they are accepted", func(t *testing.T) {
		is := is.New(t)
		b := retry.NewBudget(retry.Settings{Ratio: 0.01, Window: 10 * time.Second})
		is.True(b.Begin(start))
		is.True(!b.Begin(start)) // nothing has been accepted yet
		b.End(start, retry.NotSent)
		for accepted := range 5 {
			for range accepted + 1 {
				is.True(b.Begin(start))
			}
			is.True(!b.Begin(start))
			for range accepted {
				b.End(start, retry.NotSent)
			}
			b.End(start, retry.Accepted)
		}
		is.True(b.Begin(start))
		b.End(start, retry.Rejected)
		is.True(!b.Begin(start))
	})
	t.Run("changed limits include earlier retries", func(t *testing.T) {
		is := is.New(t)
		b := retry.NewBudget(settings)
		is.Equal(countAllowed(b, 100, start), 3)
		b.SetLimits(0, 5)
		is.Equal(countAllowed(b, 100, start), 2)
	})
}
