package trace_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"quincewinch/policy/fleet/trace"
)

const (
	minMeanShare = 0.95 // mean over all traces of goodput over the hindsight best
	minShare     = 0.90 // the same for each trace
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
		is.True(sum > fixed && sum > greedy) // better than both naive strategies
	}
}

// Hindsight is an upper bound for Replay only if both account for work in the
// same way. Checks that they count the same offered work and that the
// hindsight result lies between that of a fixed split and the offered work.
func TestHindsightMatchesReplayWithoutChanges(t *testing.T) {
	for _, tr := range trace.Traces(1) {
		is := is.New(t)
		fixed := trace.Replay(tr, [2]trace.Strategy{trace.Fixed{}, trace.Fixed{}})
		best := trace.Hindsight(tr)
		is.True(best.Goodput >= fixed.Goodput)
		is.True(best.Goodput <= best.Offered)
		is.True(best.Offered-fixed.Offered < 1e-6 && fixed.Offered-best.Offered < 1e-6)
	}
}

// BenchmarkCompare replays all traces and reports the goodput of the planned
// strategy over the hindsight best for each.
func BenchmarkCompare(b *testing.B) {
	for b.Loop() {
		for _, r := range trace.Compare(1) {
			b.ReportMetric(r.Share(r.Planned), "share/"+strings.ReplaceAll(r.Trace, " ", "-"))
		}
	}
}

// maxSpendingRatio limits spending relative to using only reserved servers, for
// the deployment that weights cost most.
const maxSpendingRatio = 0.8

func TestSpending(t *testing.T) {
	is := is.New(t)
	cells := trace.Deployments[0]
	planned := trace.Spend(2, cells.Limits)
	noCheap := cells.Limits
	noCheap.CheapShare = 0
	onDemand := trace.Spend(2, noCheap)
	is.True(planned.PerServedHour() <= maxSpendingRatio*onDemand.PerServedHour())
	is.Equal(planned.LostToEvictions, 0.0)
	is.True(planned.ServedOnCheap > 0)
}
