package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/balance"
	"quincewinch/models"
	"quincewinch/policy/retry"
	"quincewinch/relay"
)

// Requests are served sooner where they are placed by what they cost and by what the
// servers still have to do, with loads that are 200 ms old; the worst zone too.
func TestWorkBeatsCounts(t *testing.T) {
	for name, load := range workLoads(7, 9, 200*time.Millisecond) {
		t.Run(name, func(t *testing.T) {
			const seed = 3
			load.short = true
			counts := newWorkWorld(t, load, seed).play()
			load.stated = true
			work := newWorkWorld(t, load, seed).play()
			t.Logf("seed %d: %+v by counts, %+v by work", seed, counts, work)
			if work.inTime < counts.inTime+0.03 || work.worstZone < counts.worstZone+0.03 {
				t.Errorf("in time: %.3f by work, %.3f by counts; worst zone %.3f and %.3f", work.inTime, counts.inTime, work.worstZone, counts.worstZone)
			}
			if work.p99 > counts.p99 {
				t.Errorf("p99 of the wait: %v by work, %v by counts", work.p99, counts.p99)
			}
		})
	}
}

func workSettings(self models.DaemonID) balance.Settings {
	return balance.Settings{Self: self, Zone: "z", Retries: retry.Settings{Ratio: 0.2, Window: 10 * time.Second}}
}

// A sick server, which answers at once that it failed, is not taken for a fast one, and
// neither it nor one that is busy for 600 ms for one that is slow for good.
func TestSickServerIsNotSlowForGood(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: time.Unix(1_000_000, 0)}
	b := balance.New(newFleet(plainServers(4)...), clock, workSettings("a"), 1)
	got := map[models.EngineID]int{}
	for i := range 4000 {
		p := place(t, b, callExchange())
		id := p.Target().ID
		got[id]++
		pace, taken, result := 1.0, 20*time.Millisecond, relay.ResultServed
		sick := id == "c0" && i > 2000
		if sick {
			taken, result = time.Millisecond, relay.ResultFailed
		}
		if id == "c1" && clock.now.UnixMilli()%5000 < 600 {
			pace, taken = 2.5, 50*time.Millisecond
		}
		clock.now = clock.now.Add(taken)
		p.ResponseStarted(&models.UpstreamLoad{Running: 1, Slots: 6, Pace: pace})
		p.End(result)
		is.Equal(len(b.LastingDifferences()), 0)
		if i == 2000 {
			clear(got)
		}
	}
	if got["c0"] > 150 {
		t.Errorf("the sick server got %d of 2000 requests", got["c0"])
	}
}

// What a daemon learns of a server's pace reaches the others, with its age.
func TestStatedLoadIsShared(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: time.Unix(1_000_000, 0)}
	f := newFleet(plainServers(2)...)
	first := balance.New(f, clock, workSettings("a"), 1)
	second := balance.New(f, clock, workSettings("b"), 1)
	for i := range 30 {
		p := place(t, first, callExchange())
		pace := 0.6
		if p.Target().ID == "c1" {
			pace = 1.6
		}
		clock.now = clock.now.Add(500 * time.Millisecond)
		p.ResponseStarted(&models.UpstreamLoad{Running: 1, Slots: 6, Pace: pace})
		p.End(relay.ResultServed)
		clock.now = clock.now.Add(50 * time.Millisecond)
		share := first.NextShare()
		is.Equal(len(share.Speeds), 1)
		is.Equal(share.Speeds[0].Load.Pace, pace)
		is.Equal(share.Speeds[0].LoadAge, 50*time.Millisecond)
		share.From, share.Zone, share.Sequence = "a", "z", uint64(i+1)
		second.ReceiveShare(share)
	}
	found := map[models.EngineID]string{}
	for _, d := range second.LastingDifferences() {
		found[d.Server.ID] = fmt.Sprintf("%.1f", d.Factor)
	}
	is.Equal(found["c0"], "0.6")
}

// Work is learned of engines also where requests are admitted by demand.
func TestWorkIsLearnedWithAdmissionByDemand(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: time.Unix(1_000_000, 0)}
	settings := workSettings("a")
	settings.AdmitByDemand = true
	learned := 0
	settings.WorkListener = func(models.ServiceName, time.Duration, time.Duration) { learned++ }
	b := balance.New(newFleet(engines(2, models.RoleDecode)...), clock, settings, 1)
	for range 3 {
		p := place(t, b, promptExchange("p", 100))
		clock.now = clock.now.Add(50 * time.Millisecond)
		p.ResponseStarted(&models.UpstreamLoad{Running: 1, Slots: 8, Pace: 1})
		clock.now = clock.now.Add(50 * time.Millisecond)
		p.End(relay.ResultServed)
	}
	is.Equal(learned, 2) // the first one showed that a pace is stated
}

// Engines never have to hold more than their memory, also where daemons know of each
// other's requests 200 ms late and much more is asked than the engines have memory for.
func TestEnginesMemoryIsKept(t *testing.T) {
	const capacity = 100_000
	load := workLoad{daemons: 86, servers: 12, delay: 200 * time.Millisecond, prompts: true, stated: true, answer: 5 * time.Second, capacity: capacity, short: true}
	is := is.New(t)
	before := newWorkWorld(t, load, 1).play()
	is.True(before.fullest > capacity) // without it they would
	load.keepMemory = true
	r := newWorkWorld(t, load, 1).play()
	t.Logf("without: %+v; with: %+v", before, r)
	if r.fullest > capacity {
		t.Errorf("an engine held %d tokens, its memory is %d", r.fullest, capacity)
	}
	// The memory is enough for 0.63 of the requests; two thirds of that are to be served.
	if r.refused > 0.58 {
		t.Errorf("%.2f of the requests were refused", r.refused)
	}
	load.answer, load.servers = 100*time.Millisecond, 24
	is.Equal(newWorkWorld(t, load, 1).play().refused, 0.0) // where there is room nothing is
}
