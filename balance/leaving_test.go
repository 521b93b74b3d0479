package balance_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer/system"
	"quincewinch/relay"
)

// leave lets a server say in an answer that it leaves.
func leave(p relay.Placer, server models.Upstream) {
	p.Answered(server, models.ServerStatement{Leaving: true}, system.NewClock().Now())
}

func TestServerThatLeaves(t *testing.T) {
	t.Run("gets no more requests", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer(newFleet(plainServers(2)...))
			before := place(t, b, callExchange())
			is.True(before.AcceptsWork())
			is.True(b.AcceptsCalls(before.Target()))
			leave(b, before.Target())
			is.True(!before.AcceptsWork()) // chosen, but not sent there yet
			is.True(!b.AcceptsCalls(before.Target()))
			for range 20 {
				p := place(t, b, callExchange())
				is.True(p.Target().ID != before.Target().ID)
				is.True(p.AcceptsWork())
			}
		})
	})
	t.Run("prefills no more prompts", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(append(engines(3, models.RoleDecode), engines(1, models.RolePrefill)...)...)
			b := newBalancer(f)
			prefiller, ok := place(t, b, promptExchange("catalogue", 3000)).Prefiller()
			is.True(ok)
			leave(b, prefiller)
			_, ok = place(t, b, promptExchange("catalogue", 3000)).Prefiller()
			is.True(!ok)
		})
	})
	t.Run("request is refused at once if no other is left", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer(newFleet(plainServers(1)...))
			leave(b, place(t, b, callExchange()).Target())
			_, err := b.Place(callExchange(), nil)
			is.True(err != nil) // refused
			refusal := relay.RefusalOf(err)
			is.True(refusal.NotRun)
			is.True(refusal.RetryAfter > 0)
		})
	})
	t.Run("its next process gets requests", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(plainServers(1)...)
			b := newBalancer(f)
			p := place(t, b, callExchange())
			leave(b, p.Target())
			advance(t, time.Second)
			f.restart(p.Target().ID, system.NewClock().Now())
			is.True(place(t, b, callExchange()).AcceptsWork())
			leave(b, p.Target()) // a late answer of the process before
			is.True(place(t, b, callExchange()).AcceptsWork())
		})
	})
	t.Run("counts as busy, so that another is ordered", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := newBalancer(newFleet(plainServers(2)...))
			p := place(t, b, callExchange())
			p.End(relay.ResultServed)
			leave(b, p.Target())
			is.New(t).Equal(b.Busy("desk"), 1.0)
		})
	})
}

// askForRest lets a server ask in a rejection to be sent nothing for some time.
func askForRest(p relay.Placer, server models.Upstream, lasting time.Duration) {
	p.Answered(server, models.ServerStatement{RetryAfter: lasting}, system.NewClock().Now())
}

// Guards against calls that release KV cache at a server long after it has said that it
// leaves, or has left.
func TestServerThatIsNotRegisteredAcceptsNoCalls(t *testing.T) {
	is := is.New(t)
	f := newFleet(plainServers(2)...)
	b := newBalancer(f)
	server := f.snapshot.ByID["c0"]
	is.True(b.AcceptsCalls(server))
	draining := server
	draining.Draining = true
	f.snapshot.ByID["c0"] = draining
	is.True(!b.AcceptsCalls(server))
	delete(f.snapshot.ByID, "c0")
	is.True(!b.AcceptsCalls(server))
}

func TestServerThatRests(t *testing.T) {
	t.Run("gets no request until the end", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer(newFleet(plainServers(1)...))
			before := place(t, b, callExchange())
			askForRest(b, before.Target(), 4*time.Second)
			askForRest(b, before.Target(), time.Second) // a shorter one does not end it
			is.True(!before.TakesRequest())             // chosen, but not sent there yet
			advance(t, 3*time.Second)
			_, err := b.Place(callExchange(), nil)
			is.True(err != nil) // refused
			refusal := relay.RefusalOf(err)
			is.True(refusal.NotRun)
			is.Equal(refusal.RetryAfter, time.Second)
			is.True(!b.AcceptsCalls(before.Target()))
			is.Equal(b.Busy("desk"), 1.0)
			advance(t, time.Second)
			is.True(place(t, b, callExchange()).TakesRequest())
			is.True(b.AcceptsCalls(before.Target()))
		})
	})
	t.Run("its next process gets requests", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(plainServers(1)...)
			b := newBalancer(f)
			p := place(t, b, callExchange())
			askForRest(b, p.Target(), time.Minute)
			f.restart(p.Target().ID, system.NewClock().Now().Add(time.Second))
			is.New(t).True(place(t, b, callExchange()).TakesRequest())
		})
	})
}
