package trace_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"quincewinch/policy/fleet/trace"
)

const (
	minMeanShare = 0.95 // goodput over the hindsight best
	minShare     = 0.90
)

func TestGoodputAgainstHindsight(t *testing.T) {
	for _, seed := range []uint64{1} {
		sum, fixed, greedy := 0.0, 0.0, 0.0
		rows := trace.Compare(seed)
		for _, r := range rows {
			t.Run(r.Trace, func(t *testing.T) {
				is := is.New(t)
				is.True(r.Share(r.Planned) >= minShare)
				is.True(r.Planned.Changes < r.Greedy.Changes)
			})
			sum += r.Share(r.Planned)
			fixed += r.Share(r.Fixed)
			greedy += r.Share(r.Greedy)
		}
		is := is.New(t)
		is.True(sum/float64(len(rows)) >= minMeanShare)
		is.True(sum > fixed && sum > greedy) // better than both naive ways
	}
}

// The search in hindsight is an upper bound on what the replay can reach only
// if both count alike: without changes they agree to the last engine-second.
func TestHindsightCountsAsTheReplay(t *testing.T) {
	for _, tr := range trace.Traces(1) {
		is := is.New(t)
		fixed := trace.Replay(tr, [2]trace.Strategy{trace.Fixed{}, trace.Fixed{}})
		best := trace.Hindsight(tr)
		is.True(best.Goodput >= fixed.Goodput)
		is.True(best.Goodput <= best.Offered)
		is.True(best.Offered-fixed.Offered < 1e-6 && fixed.Offered-best.Offered < 1e-6)
	}
}

// BenchmarkCompare replays each trace; the figures are goodput over the
// hindsight best and role changes.
func BenchmarkCompare(b *testing.B) {
	for b.Loop() {
		for _, r := range trace.Compare(1) {
			b.ReportMetric(r.Share(r.Planned), "share/"+strings.ReplaceAll(r.Trace, " ", "-"))
		}
	}
}

const maxSpendingRatio = 0.8 // of all on demand, for the cells that weigh cost

func TestSpending(t *testing.T) {
	is := is.New(t)
	cells := trace.Deployments[0]
	ours := trace.Spend(2, cells.Limits)
	dear := cells.Limits
	dear.CheapShare = 0
	onDemand := trace.Spend(2, dear)
	is.True(ours.PerServedHour() <= maxSpendingRatio*onDemand.PerServedHour())
	is.Equal(ours.LostToEvictions, 0.0)
	is.True(ours.ServedOnCheap > 0)
}
