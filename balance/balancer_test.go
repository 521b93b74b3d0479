package balance_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/balance"
	"quincewinch/models"
	"quincewinch/peer/system"
	"quincewinch/policy/retry"
	"quincewinch/relay"
	"quincewinch/routing"
)

// fleet is a fixed set of registered backend servers.
type fleet struct{ snapshot routing.Snapshot }

func (f *fleet) Snapshot() *routing.Snapshot { return &f.snapshot }

func newFleet(upstreams ...models.Upstream) *fleet {
	f := &fleet{routing.Snapshot{
		ByID:      map[models.EngineID]models.Upstream{},
		ByService: map[models.ServiceName][]models.Upstream{},
	}}
	for _, u := range upstreams {
		f.snapshot.ByID[u.ID] = u
		f.snapshot.ByService[u.Service] = append(f.snapshot.ByService[u.Service], u)
	}
	return f
}

// restart replaces the process of an engine. It must not run beside a placement.
func (f *fleet) restart(id models.EngineID, at time.Time) {
	u := f.snapshot.ByID[id]
	u.Started = at
	f.snapshot.ByID[id] = u
	for i, other := range f.snapshot.ByService[u.Service] {
		if other.ID == id {
			f.snapshot.ByService[u.Service][i] = u
		}
	}
}

func plainServers(n int) []models.Upstream {
	var upstreams []models.Upstream
	for i := range n {
		upstreams = append(upstreams, models.Upstream{ID: models.EngineID(fmt.Sprintf("c%d", i)), Service: "desk", Zone: "z", Slots: 6})
	}
	return upstreams
}

func engines(n int, role models.Role) []models.Upstream {
	var upstreams []models.Upstream
	for i := range n {
		id := models.EngineID(fmt.Sprintf("%s%d", role, i))
		upstreams = append(upstreams, models.Upstream{ID: id, Service: "llm", Zone: "z", Slots: 64, Role: role})
	}
	return upstreams
}

func newBalancer(f *fleet) *balance.Balancer {
	return balance.New(f, system.NewClock(), balance.Settings{
		Zone:    "z",
		Retries: retry.Settings{Ratio: 0.2, Reserve: 50, Window: 10 * time.Second},
	}, 1)
}

func callExchange() *relay.Exchange {
	return &relay.Exchange{Service: models.RoutedService{Name: "desk"}}
}

func promptExchange(shared string, own int) *relay.Exchange {
	return &relay.Exchange{
		Service: models.RoutedService{Name: "llm", Engine: &models.EngineLimits{Slots: 64, Capacity: 500000, TokenBytes: 35136, LinkMbps: 370000}},
		Prompt: models.Prompt{Tokens: 13000 + own, Parts: []models.PromptPart{
			{ID: shared, Tokens: 13000}, {ID: fmt.Sprintf("%s-own-%d", shared, own), Tokens: own},
		}},
	}
}

// place places a request and fails the test if it is refused.
func place(t *testing.T, b *balance.Balancer, e *relay.Exchange) relay.Placement {
	t.Helper()
	placement, err := b.Place(e, nil)
	is.New(t).NoErr(err)
	return placement
}

func TestCallsAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBalancer(newFleet(plainServers(4)...))
		counts := map[models.EngineID]int{}
		for range 40 {
			counts[place(t, b, callExchange()).Target().ID]++
		}
		for id, n := range counts {
			if n < 7 || n > 13 {
				t.Errorf("%s got %d of 40", id, n)
			}
		}
		is.Equal(len(counts), 4)
	})
}

func TestFailingServerIsAvoided(t *testing.T) {
	tests := []struct {
		name   string
		result relay.Result
		most   int // requests of 100 that it may receive after four such results
	}{
		{"unreachable", relay.ResultUnreachable, 0},
		{"failing", relay.ResultFailed, 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBalancer(newFleet(plainServers(4)...))
				for failures := 0; failures < 3; {
					p := place(t, b, callExchange())
					if p.Target().ID == "c0" {
						p.End(test.result)
						failures++
						advance(t, 5*time.Second)
						continue
					}
					p.End(relay.ResultServed)
				}
				p := place(t, b, callExchange())
				for p.Target().ID != "c0" {
					p.End(relay.ResultServed)
					p = place(t, b, callExchange())
				}
				p.End(test.result)
				got := 0
				for range 100 {
					p := place(t, b, callExchange())
					if p.Target().ID == "c0" {
						got++
					}
					p.End(relay.ResultServed)
				}
				is.New(t).True(got <= test.most)
			})
		})
	}
}

func TestPromptGoesToEngineCachingSharedPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(engines(6, models.RoleDecode)...)
		first, second := newBalancer(f), newBalancer(f)
		p := place(t, first, promptExchange("catalogue", 100))
		is.Equal(p.PrefillTokens(), 13100)
		p.ResponseStarted(nil)
		p.End(relay.ResultServed)
		changed := first.Changed()
		share := first.NextShare()
		is.True(changed)
		share.From, share.Sequence = "d1", 1
		second.ReceiveShare(share)
		q := place(t, second, promptExchange("catalogue", 200))
		is.Equal(q.Target().ID, p.Target().ID)
		is.Equal(q.PrefillTokens(), 200)
	})
}

// A prompt whose engine is busy is prefilled by another one, which copies the
// shared part.
func TestSharedPartIsCopiedFromBusyEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBalancer(newFleet(engines(2, models.RoleDecode)...))
		first := place(t, b, promptExchange("catalogue", 100))
		_, copied := first.CopyFrom()
		is.True(!copied)
		first.ResponseStarted(nil)
		first.End(relay.ResultServed)
		busy := first.Target().ID
		b.ReceiveShare(models.LoadShare{From: "d2", Sequence: 1, Loads: map[models.EngineID]models.ServerLoad{busy: {PrefillTokens: 500000}}})
		second := place(t, b, promptExchange("catalogue", 200))
		is.True(second.Target().ID != busy)
		source, copied := second.CopyFrom()
		is.True(copied)
		is.Equal(source.ID, busy)
		is.Equal(second.PrefillTokens(), 200)
	})
}

func TestRemoteLoadIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBalancer(newFleet(engines(2, models.RoleDecode)...))
		loads := map[models.EngineID]models.ServerLoad{"decode0": {Running: 30, PrefillTokens: 200000}}
		b.ReceiveShare(models.LoadShare{From: "d2", Sequence: 1, Loads: loads})
		for i := range 5 {
			is.Equal(place(t, b, promptExchange(fmt.Sprintf("p%d", i), 100)).Target().ID, models.EngineID("decode1"))
		}
		advance(t, 3*time.Second) // the load share has expired
		counts := map[models.EngineID]int{}
		for i := range 20 {
			counts[place(t, b, promptExchange(fmt.Sprintf("q%d", i), 100)).Target().ID]++
		}
		is.True(counts["decode0"] > 0)
	})
}

// A load share that arrives after a later one of the same daemon is ignored.
func TestStaleShareIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBalancer(newFleet(engines(2, models.RoleDecode)...))
		heavy := map[models.EngineID]models.ServerLoad{"decode0": {PrefillTokens: 500000}}
		b.ReceiveShare(models.LoadShare{From: "d2", Sequence: 5, Loads: heavy})
		b.ReceiveShare(models.LoadShare{From: "d2", Sequence: 4})
		is.Equal(place(t, b, promptExchange("p", 100)).Target().ID, models.EngineID("decode1"))
	})
}

// splitFleet returns five decode engines in one zone and one prefill engine in
// another.
func splitFleet() []models.Upstream {
	upstreams := engines(5, models.RoleDecode)
	prefiller := engines(1, models.RolePrefill)[0]
	prefiller.Zone = "y"
	return append(upstreams, prefiller)
}

// After two failed fetches of KV cache between two zones, which may be
// partitioned, no more are tried for a while.
func TestFailedFetchesBlockZonePair(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBalancer(newFleet(splitFleet()...))
		fetches := func(shared string, result relay.Result) bool {
			p := place(t, b, promptExchange(shared, 100))
			_, ok := p.Prefiller()
			p.PrefillEnded(relay.ResultServed)
			p.End(result)
			return ok
		}
		is.True(fetches("a", relay.ResultRejected))
		is.True(fetches("b", relay.ResultRejected))
		is.True(!fetches("c", relay.ResultServed)) // fetching between the zones is blocked
		advance(t, 3*time.Second)
		is.True(fetches("d", relay.ResultServed)) // the block has expired
	})
}

func TestFailedPrefillerIsAvoided(t *testing.T) {
	for _, result := range []relay.Result{relay.ResultUnreachable, relay.ResultMoved} {
		t.Run(string(result), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBalancer(newFleet(splitFleet()...))
				p := place(t, b, promptExchange("a", 100))
				_, ok := p.Prefiller()
				is.True(ok)
				p.PrefillEnded(result)
				p.End(relay.ResultServed)
				_, ok = place(t, b, promptExchange("b", 100)).Prefiller()
				is.True(!ok)
			})
		})
	}
}

// The time of a failed prefill does not count as an observed prefill rate.
func TestFailedPrefillDoesNotChangeRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBalancer(newFleet(splitFleet()...))
		before := place(t, b, promptExchange("a", 20000))
		for range 50 {
			p := place(t, b, promptExchange("b", 20000))
			p.PrefillEnded(relay.ResultFailed)
			p.End(relay.ResultServed)
			advance(t, time.Minute) // the failure has decayed
		}
		before.PrefillEnded(relay.ResultFailed)
		before.End(relay.ResultServed)
		advance(t, time.Minute)
		is.Equal(place(t, b, promptExchange("c", 20000)).Predicted(), before.Predicted())
	})
}

// A request that has been sent before is prefilled by its target, without
// fetching KV cache.
func TestRetryIsNotPrefilledElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBalancer(newFleet(splitFleet()...))
		e := promptExchange("a", 100)
		e.Sends = 1
		placed, err := b.Place(e, map[models.EngineID]bool{"decode0": true})
		is.NoErr(err)
		_, ok := placed.Prefiller()
		is.True(!ok)
	})
}

func TestNoDecodeEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBalancer(newFleet(engines(3, models.RolePrefill)...))
		_, err := b.Place(promptExchange("p", 10), nil)
		refusal := relay.RefusalOf(err)
		is.Equal(refusal.Code, models.RefusalNoBackend)
		is.True(refusal.NotRun && refusal.RetryAfter > 0)
	})
}

func TestRestartedServerHasEmptyCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		old := engines(1, models.RoleDecode)
		f := newFleet(old...)
		b := newBalancer(f)
		place(t, b, promptExchange("p", 100)).End(relay.ResultServed)
		restarted := old[0]
		restarted.Started = system.NewClock().Now()
		f.snapshot = newFleet(restarted).snapshot
		is.Equal(place(t, b, promptExchange("p", 200)).PrefillTokens(), 13200) // the whole prompt is prefilled
	})
}

// advance advances the virtual time.
func advance(t *testing.T, d time.Duration) {
	t.Helper()
	is.New(t).NoErr(system.NewClock().Sleep(t.Context(), d))
}

// While the engines' queues are too long, prompts are refused at once and told
// when to come back; those that have come back are not.
func TestPromptIsRefusedUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBalancer(newFleet(engines(2, models.RoleDecode)...))
		loads := map[models.EngineID]models.ServerLoad{"decode0": {PrefillTokens: 100000}, "decode1": {PrefillTokens: 100000}}
		b.ReceiveShare(models.LoadShare{From: "d2", Sequence: 1, Loads: loads})
		e := promptExchange("catalogue", 100)
		e.Route = models.PathRoute{LatencyTarget: 300 * time.Millisecond, Timeout: 5 * time.Second}
		e.Deadline = system.NewClock().Now().Add(5 * time.Second)
		_, err := b.Place(e, nil)
		refusal := relay.RefusalOf(err)
		is.Equal(refusal.Code, models.RefusalOverload)
		is.True(refusal.NotRun)
		is.True(refusal.RetryAfter > 0)
		advance(t, 3*time.Second) // the load share has expired
		_, err = b.Place(e, nil)
		is.NoErr(err)
	})
}

// Guards against streams that end because the few engines of their version are
// busier than the rest.
func TestResumedStreamIsNotRefusedUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		upstreams := engines(4, models.RoleDecode)
		upstreams[0].Version = "v1"
		b := newBalancer(newFleet(upstreams...))
		exchange := func(id string) *relay.Exchange {
			e := promptExchange(id, 100)
			e.Route = models.PathRoute{LatencyTarget: 300 * time.Millisecond, Timeout: 5 * time.Second}
			e.Deadline = system.NewClock().Now().Add(5 * time.Second)
			return e
		}
		place(t, b, exchange("new-0")).End(relay.ResultCancelled) // no queue stands
		loads := map[models.EngineID]models.ServerLoad{
			"decode0": {PrefillTokens: 100000}, "decode1": {PrefillTokens: 5000}, "decode2": {PrefillTokens: 5000}, "decode3": {PrefillTokens: 5000},
		}
		b.ReceiveShare(models.LoadShare{From: "d2", Sequence: 1, Loads: loads})
		for i := range 20 {
			e := exchange(fmt.Sprintf("resumed-%d", i))
			e.Origin = &models.Software{Service: "llm", Version: "v1"}
			is.Equal(place(t, b, e).Target().ID, models.EngineID("decode0"))
			advance(t, time.Millisecond)
		}
		// Their wait does not count as one of the service, whose engines have a short
		// queue.
		place(t, b, exchange("new-1"))
	})
}

// Of two prompts of one rank, the engine is to run the short one first.
func TestShortPromptIsMoreUrgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer(newFleet(engines(1, models.RoleDecode)...))
		// An answer teaches the daemon how long a short prompt takes.
		place(t, b, shortExchange("a")).ResponseStarted(nil)
		short := place(t, b, shortExchange("b"))
		is.New(t).True(short.Urgency() < place(t, b, promptExchange("c", 100)).Urgency())
	})
}

func shortExchange(id string) *relay.Exchange {
	e := promptExchange(id, 0)
	e.Route.LatencyTarget = 400 * time.Millisecond
	e.Prompt = models.Prompt{Tokens: 50, Parts: []models.PromptPart{{ID: id, Tokens: 50}}}
	return e
}
