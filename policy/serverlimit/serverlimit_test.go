package serverlimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/policy/serverlimit"
)

const (
	server = models.EngineID("e")
	// The users' rule: in any span, so many times the limit and some more.
	span       = 4 * time.Second
	spanFactor = 1.5
	spanSlack  = 5
	step       = 20 * time.Millisecond
)

var start = time.Unix(1_000_000, 0)

// daemon is a daemon that sends whenever it may.
type daemon struct {
	id      models.DaemonID
	limiter serverlimit.Limiter
	group   serverlimit.Group
}

// newDaemons returns daemons in zones that a cut divides into parts: those of each
// zone and part are in touch.
func newDaemons(count, zones, parts int, r *rand.Rand) []*daemon {
	members := map[[2]int][]models.DaemonID{}
	var daemons []*daemon
	var homes [][2]int
	for i := range count {
		d := &daemon{id: models.DaemonID(fmt.Sprintf("vm%d", i))}
		d.limiter = serverlimit.NewLimiter(server, d.id)
		home := [2]int{i % zones, r.IntN(parts)}
		members[home] = append(members[home], d.id)
		daemons, homes = append(daemons, d), append(homes, home)
	}
	for i, d := range daemons {
		all := members[homes[i]]
		d.group = serverlimit.Group{Share: float64(len(all)) / float64(count), Daemons: len(all), Rank: serverlimit.Rank(server, d.id, all)}
	}
	return daemons
}

func (d *daemon) observe(rate float64, sent, at time.Time) bool {
	return d.limiter.Observe(serverlimit.Statement{Rate: rate, SentAt: sent, At: at})
}

// simulate lets daemons send whenever they may for some time from a time on, and
// returns when they did. If confirmed is set, each answer comes at once and reaches all
// daemons.
func simulate(daemons []*daemon, rate float64, from time.Time, lasting time.Duration, confirmed bool) []time.Time {
	var sends []time.Time
	for now := from; now.Before(from.Add(lasting)); now = now.Add(step) {
		answered := false
		for _, d := range daemons {
			if !d.limiter.Next(now, d.group).After(now) {
				d.limiter.Sent(now)
				sends = append(sends, now)
				answered = true
			}
		}
		for _, d := range daemons {
			if answered && confirmed {
				d.observe(rate, now, now.Add(time.Millisecond))
			}
		}
	}
	return sends
}

// checkSpans checks that no span has more sends than the rule allows.
func checkSpans(t *testing.T, sends []time.Time, rate float64) {
	t.Helper()
	allowed := int(spanFactor*span.Seconds()*rate + spanSlack)
	if n := mostInSpan(sends); n > allowed {
		t.Errorf("%d requests in %v, allowed %d at %v a second", n, span, allowed, rate)
	}
}

// mostInSpan returns the highest number of sends in any span.
func mostInSpan(sends []time.Time) int {
	first, most := 0, 0
	for last := range sends {
		for sends[last].Sub(sends[first]) > span {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

var (
	counts = []int{7, 83, 300}
	rates  = []float64{0, 0.05, 0.25, 0.5, 1, 1.9, 2, 3.5, 8, 30}
)

func TestDaemonsStayWithinALimitTogether(t *testing.T) {
	for _, count := range counts {
		for _, parts := range []int{1, 2, 5} {
			t.Run(fmt.Sprintf("%d VMs in %d parts", count, parts), func(t *testing.T) {
				t.Parallel()
				r := rand.New(rand.NewPCG(uint64(count), uint64(parts)))
				for _, rate := range rates {
					daemons := newDaemons(count, 4, parts, r)
					for _, d := range daemons {
						d.observe(rate, start, start)
					}
					sends := simulate(daemons, rate, start, 25*time.Second, false)
					if parts == 1 {
						checkSpans(t, sends, rate)
						checkUsed(t, sends, rate, 25*time.Second)
					}
					t.Logf("limit %v: at most %d in %v, %.2f a second", rate, mostInSpan(sends), span, float64(len(sends))/25)
					if total, allowed := float64(len(sends)), 25*max(rate, 0.1)+20+rate; total > allowed {
						t.Errorf("%v requests in 25 s, allowed %v at %v a second", total, allowed, rate)
					}
				}
			})
		}
	}
}

// checkUsed checks that most of a limit is used.
func checkUsed(t *testing.T, sends []time.Time, rate float64, lasting time.Duration) {
	t.Helper()
	if used := float64(len(sends)) / lasting.Seconds(); rate >= 1 && used < 0.7*rate {
		t.Errorf("%.2f requests a second, the limit is %v", used, rate)
	}
}

// Guards against a burst of all daemons at once after a time without requests, in
// which no answer has confirmed the limit.
func TestUnconfirmedLimitIsAskedByTurns(t *testing.T) {
	for _, count := range counts {
		t.Run(fmt.Sprintf("%d VMs", count), func(t *testing.T) {
			for _, rate := range rates {
				daemons := newDaemons(count, 4, 1, rand.New(rand.NewPCG(1, 1)))
				for _, d := range daemons {
					d.observe(rate, start, start)
				}
				for _, idle := range []time.Duration{31 * time.Second, 47 * time.Second, 10 * time.Minute} {
					sends := simulate(daemons, rate, start.Add(idle), 20*time.Second, true)
					checkSpans(t, sends, rate)
					if rate >= 1 && len(sends) == 0 {
						t.Errorf("no request after %v at %v a second", idle, rate)
					}
				}
			}
		})
	}
}

// Guards against a daemon that missed the end of a limit and keeps it for ever.
func TestEachDaemonAsksForAnOutdatedLimitInTheEnd(t *testing.T) {
	daemons := newDaemons(7, 4, 1, rand.New(rand.NewPCG(1, 1)))
	for _, d := range daemons {
		d.observe(1, start, start)
	}
	for _, d := range daemons {
		sends := simulate([]*daemon{d}, 1, start, 3*time.Minute, false)
		is.New(t).True(len(sends) > 0)
	}
}

func TestAnswersThatOvertakeEachOther(t *testing.T) {
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	newDaemon := func() *daemon { return newDaemons(1, 1, 1, rand.New(rand.NewPCG(1, 1)))[0] }
	t.Run("a late answer does not lift the limit", func(t *testing.T) {
		is, d := is.New(t), newDaemon()
		is.True(d.observe(1, at(1), at(2)))
		is.True(!d.observe(serverlimit.Unlimited(), at(1.5), at(3)))
		is.True(d.observe(serverlimit.Unlimited(), at(2), at(4)))
		is.Equal(d.limiter.Next(at(4), d.group), time.Time{})
	})
	t.Run("a late answer does not raise it", func(t *testing.T) {
		is, d := is.New(t), newDaemon()
		is.True(d.observe(1, at(1), at(2)))
		is.True(!d.observe(9, at(1), at(3)))
		is.Equal(d.limiter.Statement().Rate, 1.0)
	})
	t.Run("any later answer lowers it", func(t *testing.T) {
		is, d := is.New(t), newDaemon()
		is.True(d.observe(9, at(1), at(2)))
		is.True(d.observe(1, at(0), at(3)))
		is.True(!d.observe(0.5, at(0), at(1)))
		is.Equal(d.limiter.Statement().Rate, 1.0)
	})
	t.Run("a limit that is named again is not used at once", func(t *testing.T) {
		is, d := is.New(t), newDaemon()
		is.True(d.observe(1, at(1), at(1)))
		is.True(!d.limiter.Next(at(5), d.group).After(at(6)))
		is.True(d.observe(serverlimit.Unlimited(), at(6), at(7)))
		is.True(d.observe(1, at(8), at(8)))
		is.True(d.limiter.Next(at(8), d.group).After(at(8)))
	})
}
