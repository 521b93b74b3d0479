package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/policy/retry"
)

var start = time.Date(2027, 1, 2, 3, 4, 5, 0, time.UTC)

func take(b *retry.Budget, tries int, at time.Time) int {
	taken := 0
	for range tries {
		if b.Take(at) {
			taken++
		}
	}
	return taken
}

func TestBudget(t *testing.T) {
	settings := retry.Settings{Ratio: 0.2, Reserve: 3, Window: 10 * time.Second}
	t.Run("a share of the requests and the reserve", func(t *testing.T) {
		is := is.New(t)
		b := retry.NewBudget(settings)
		for range 50 {
			b.Request(start)
		}
		is.Equal(take(b, 100, start), 13)
	})
	t.Run("no more in any window", func(t *testing.T) {
		is := is.New(t)
		b := retry.NewBudget(settings)
		is.Equal(take(b, 100, start), 3)
		is.Equal(take(b, 100, start.Add(9*time.Second)), 0)
	})
	t.Run("anew when the window is over", func(t *testing.T) {
		is := is.New(t)
		b := retry.NewBudget(settings)
		is.Equal(take(b, 100, start), 3)
		is.Equal(take(b, 100, start.Add(11*time.Second)), 3)
	})
	t.Run("changed limits count what was taken", func(t *testing.T) {
		is := is.New(t)
		b := retry.NewBudget(settings)
		is.Equal(take(b, 100, start), 3)
		b.SetLimits(0, 5)
		is.Equal(take(b, 100, start), 2)
	})
}
