package work_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/policy/speed"
	"quincewinch/policy/work"
)

var start = time.Unix(1_000_000, 0)

func within(t *testing.T, name string, got, low, high float64) {
	t.Helper()
	if got < low || got > high {
		t.Errorf("%s: %.3f, want %.3f to %.3f", name, got, low, high)
	}
}

func TestCostsTellKindsApart(t *testing.T) {
	is := is.New(t)
	costs := work.NewCosts(40 * time.Millisecond)
	is.Equal(costs.Expect(work.Kind{Service: "s", Route: "new"}), work.Estimate{Mean: 40 * time.Millisecond, Spread: 40 * time.Millisecond})
	for i := range 200 {
		costs.Observe(work.Kind{Service: "s", Route: "short", Workspace: "w"}, 10*time.Millisecond)
		costs.Observe(work.Kind{Service: "s", Route: "long", Workspace: "w"}, 100*time.Millisecond)
		costs.Observe(work.Kind{Service: "s", Route: "mixed", Workspace: "few"}, time.Duration(20+160*(i%2))*time.Millisecond)
	}
	mean := func(route string) float64 {
		return costs.Expect(work.Kind{Service: "s", Route: route, Workspace: "w"}).Mean.Seconds()
	}
	within(t, "short", mean("short"), 0.009, 0.013)
	within(t, "long", mean("long"), 0.095, 0.101)
	within(t, "a workspace that is new on its route", mean("mixed"), 0.08, 0.12)
	within(t, "a new route", mean("other"), 0.05, 0.09)
	within(t, "spread of the short ones", costs.Expect(work.Kind{Service: "s", Route: "short", Workspace: "w"}).Spread.Seconds(), 0, 0.012)
	within(t, "spread of the mixed ones", costs.Expect(work.Kind{Service: "s", Route: "mixed", Workspace: "few"}).Spread.Seconds(), 0.06, 0.1)
}

func TestLedgerAddsUpWhatIsLeft(t *testing.T) {
	var l work.Ledger
	even := l.Begin(work.Estimate{Mean: time.Second}, start)
	within(t, "at its begin", l.Left(start).Seconds(), 1, 1)
	within(t, "half way", l.Left(start.Add(500*time.Millisecond)).Seconds(), 0.5, 0.5)
	within(t, "overdue", l.Left(start.Add(3*time.Second)).Seconds(), 0.1, 0.1)
	varied := l.Begin(work.Estimate{Mean: time.Second, Spread: time.Second}, start.Add(time.Second))
	within(t, "one that varies, after a while", l.Left(start.Add(1900*time.Millisecond)).Seconds(), 0.2, 1.2)
	l.End(even)
	within(t, "it alone", l.Left(start.Add(9*time.Second)).Seconds(), 1, 1)
	l.End(varied)
	within(t, "nothing", l.Left(start).Seconds(), 0, 0)
}

// observed returns what lasts of a server at which requests take multiples of the
// predicted time: one, but another from some second to a later one.
func observed(seconds, from, to int, usual, other float64) (l *work.Lasting, now time.Time) {
	l, now = &work.Lasting{}, start
	for i := range seconds * 5 {
		ratio := usual
		if i >= from*5 && i < to*5 {
			ratio = other
		}
		now = start.Add(time.Duration(i) * 200 * time.Millisecond)
		l.Observe(speed.NewSample(time.Duration(ratio*float64(time.Second)), time.Second), now)
	}
	return l, now
}

func TestLastingDifferences(t *testing.T) {
	expect := func(name string, l *work.Lasting, now time.Time, low, high float64) {
		t.Run(name, func(t *testing.T) { within(t, "factor", l.Factor(1, now), low, high) })
	}
	l, now := observed(20, 0, 0, 1.6, 0)
	expect("slow for good", l, now, 1.59, 1.61)
	expect("a minute later", l, now.Add(time.Minute), 1, 1)
	l, now = observed(20, 0, 0, 0.6, 0)
	expect("fast for good", l, now, 0.59, 0.61)
	l, now = observed(4, 0, 0, 0.6, 0)
	expect("too little seen", l, now, 1, 1)
	l, now = observed(20, 13, 20, 1, 7.5)
	expect("sick for six seconds", l, now, 1, 1)
	l, now = observed(7, 0, 4, 1, 7.5)
	expect("sick at its start", l, now, 1, 1)
	l, now = observed(40, 30, 40, 1.6, 1)
	expect("well since ten seconds", l, now, 1, 1)
	l, now = observed(40, 0, 0, 9, 0)
	expect("bounded", l, now, 2.5, 2.5)
}

// stated plays a server of some lasting pace that is busy for 600 ms in every four
// seconds, and states its pace some times a second.
func stated(level float64, h *work.Hold, d time.Duration) (p *work.Pace, now time.Time) {
	p = &work.Pace{}
	for at := time.Duration(0); at < d; at += 70 * time.Millisecond {
		now = start.Add(at)
		pace := level
		if at%(4*time.Second) < 600*time.Millisecond {
			pace *= 2.5
		}
		p.State(pace, now, h, now)
	}
	return p, now
}

func TestStatedPaces(t *testing.T) {
	is := is.New(t)
	for _, level := range []float64{0.6, 1, 1.6} {
		h := work.NewHold()
		p, now := stated(level, h, 36500*time.Millisecond) // it is busy at the end
		within(t, "lasting", p.Level(), level*0.99, level*1.01)
		within(t, "just stated", p.Expect(h, now), level*2.2, level*2.5)
		within(t, "100 ms later", p.Expect(h, now.Add(100*time.Millisecond)), level*1.8, level*2.45)
		within(t, "a second later", p.Expect(h, now.Add(time.Second)), level*0.95, level*1.5)
		within(t, "share left at once", h.Share(0), 0.8, 1)
		within(t, "share left after 700 ms", h.Share(700*time.Millisecond), 0, 0.3)
		is.True(!p.State(9, now.Add(-time.Millisecond), h, now)) // older than what is known
	}
	h := work.NewHold()
	busy := &work.Pace{}
	for at := time.Duration(0); at < 600*time.Millisecond; at += 10 * time.Millisecond {
		busy.State(2.5, start.Add(at), h, start.Add(at))
	}
	is.Equal(busy.Level(), 1.0) // 600 ms are no lasting difference
	busy.State(math.Inf(1), start.Add(time.Second), h, start.Add(time.Second))
	within(t, "a pace out of bounds", busy.Expect(h, start.Add(time.Second)), 1, 10)
}
