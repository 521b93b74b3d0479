package demand_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/policy/demand"
)

func TestTracker(t *testing.T) {
	is := is.New(t)
	tracker := demand.NewTracker[models.Workspace](2 * time.Second)
	now := time.Unix(1000, 0)
	observe := func(daemon models.DaemonID, seconds int64) []demand.Increase[models.Workspace] {
		totals := demand.Totals{Requests: 10 * seconds, Tokens: 500 * seconds}
		return tracker.Observe(daemon, now.Add(time.Duration(seconds)*time.Second), map[models.Workspace]demand.Totals{"a": totals})
	}
	is.Equal(len(observe("d", 1)), 0) // the first totals are only the baseline
	for second := int64(2); second < 30; second++ {
		is.Equal(observe("d", second), []demand.Increase[models.Workspace]{{Key: "a", Tokens: 500}})
		is.Equal(len(observe("d", second)), 0) // the same report again is no increase
	}
	is.True(math.Abs(tracker.Rate("d", "a").Requests-10) < 0.1)
	observe("e", 1)
	observe("e", 30)
	is.True(tracker.Sum("a").Requests > 19)
	tracker.Keep(map[models.DaemonID]bool{"e": true})
	is.Equal(tracker.Rate("d", "a"), demand.Rate{})
	is.Equal(tracker.Total(), tracker.Sum("a"))
}
