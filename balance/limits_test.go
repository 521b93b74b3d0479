package balance_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/balance"
	"quincewinch/models"
	"quincewinch/peer/system"
	"quincewinch/relay"
)

// state lets a server state a limit in an answer that has just come.
func state(b *balance.Balancer, server models.Upstream, limit float64) {
	b.Answered(server, models.ServerStatement{Limit: models.StatedLimit{Named: true, PerSecond: limit}}, system.NewClock().Now())
}

// limitedPlacement returns a placement at the only server, which has a limit of one
// request in two seconds.
func limitedPlacement(t *testing.T, b *balance.Balancer, server models.Upstream) relay.Placement {
	t.Helper()
	place(t, b, callExchange()).End(relay.ResultServed)
	state(b, server, 0.5)
	advance(t, 2*time.Second)
	return place(t, b, callExchange())
}

func refusalOf(t *testing.T, b *balance.Balancer) *models.Refusal {
	t.Helper()
	_, err := b.Place(callExchange(), nil)
	is.New(t).True(err != nil)
	return relay.RefusalOf(err)
}

// limitTest runs a test with a balancer and its only server.
func limitTest(t *testing.T, name string, test func(t *testing.T, is *is.I, b *balance.Balancer, server models.Upstream)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			servers := plainServers(1)
			servers[0].Started = time.Unix(1, 0)
			test(t, is.New(t), newBalancer(newFleet(servers...)), servers[0])
		})
	})
}

func TestLimitedServer(t *testing.T) {
	limitTest(t, "is refused at once, as not run", func(t *testing.T, is *is.I, b *balance.Balancer, server models.Upstream) {
		place(t, b, callExchange())
		state(b, server, 0.5)
		refusal := refusalOf(t, b)
		is.Equal(refusal.Code, models.RefusalOverload)
		is.True(refusal.NotRun)
		is.True(refusal.RetryAfter > 0 && refusal.RetryAfter <= 2*time.Second)
		is.Equal(b.Limited(), 1)
	})
	limitTest(t, "takes a request after a long prefill", func(t *testing.T, is *is.I, b *balance.Balancer, server models.Upstream) {
		p := limitedPlacement(t, b, server)
		advance(t, 1500*time.Millisecond)
		is.True(p.TakesRequest())
		advance(t, 1900*time.Millisecond)
		is.Equal(refusalOf(t, b).Code, models.RefusalOverload) // the time counts from the send
	})
	limitTest(t, "takes no second request after a long prefill", func(t *testing.T, is *is.I, b *balance.Balancer, server models.Upstream) {
		p := limitedPlacement(t, b, server)
		advance(t, 2*time.Second)
		is.True(place(t, b, callExchange()).TakesRequest())
		is.True(!p.TakesRequest())
	})
	limitTest(t, "states its limit after the placement", func(t *testing.T, is *is.I, b *balance.Balancer, server models.Upstream) {
		p := place(t, b, callExchange())
		state(b, server, 0.5)
		is.True(!p.TakesRequest())
	})
	limitTest(t, "keeps an unreadable limit", func(t *testing.T, is *is.I, b *balance.Balancer, server models.Upstream) {
		place(t, b, callExchange())
		state(b, server, 0.5)
		b.Answered(server, models.ServerStatement{Limit: models.StatedLimit{Named: true, Unreadable: true}}, system.NewClock().Now())
		is.Equal(b.Limited(), 1)
	})
	limitTest(t, "counts as busy, so that others are ordered", func(t *testing.T, is *is.I, b *balance.Balancer, server models.Upstream) {
		place(t, b, callExchange()).End(relay.ResultServed)
		is.Equal(b.Busy(server.Service), 0.0)
		state(b, server, 0.5)
		is.Equal(b.Busy(server.Service), 0.5)
		advance(t, time.Second)
		b.Answered(server, models.ServerStatement{}, system.NewClock().Now())
		is.Equal(b.Busy(server.Service), 0.0)
	})
	limitTest(t, "is replaced", func(t *testing.T, is *is.I, b *balance.Balancer, server models.Upstream) {
		place(t, b, callExchange())
		next := server
		next.Started = time.Unix(2, 0)
		state(b, next, 0.5) // an answer of a process that is not registered yet
		is.Equal(b.Limited(), 0)
		report := models.LimitReport{Server: server.ID, Started: next.Started, PerSecond: 1}
		b.ReceiveShare(models.LoadShare{From: "other", Zone: "z", Sequence: 1, Limits: []models.LimitReport{report}})
		is.Equal(b.Limited(), 0)
		report.Started = server.Started
		b.ReceiveShare(models.LoadShare{From: "other", Zone: "z", Sequence: 2, Limits: []models.LimitReport{report}})
		is.Equal(b.Limited(), 1)
	})
}

func TestOnlyOwnAnswersArePassedOn(t *testing.T) {
	limitTest(t, "limits", func(t *testing.T, is *is.I, b *balance.Balancer, server models.Upstream) {
		report := models.LimitReport{Server: server.ID, Started: server.Started, PerSecond: 1, SentAge: time.Second, Age: time.Second}
		b.ReceiveShare(models.LoadShare{From: "other", Zone: "z", Sequence: 1, Limits: []models.LimitReport{report}})
		share := b.NextShare()
		is.Equal(len(share.Limits), 0)
		is.Equal(len(b.NextZoneSum().Limits), 1)
		state(b, server, 1)
		share = b.NextShare()
		is.Equal(share.Limits, []models.LimitReport{{Server: server.ID, Started: server.Started, PerSecond: 1}})
	})
	limitTest(t, "relayed limits age", func(t *testing.T, is *is.I, b *balance.Balancer, server models.Upstream) {
		report := models.LimitReport{Server: server.ID, PerSecond: 1, SentAge: time.Second, Age: time.Second}
		b.ReceiveShare(models.LoadShare{From: "zone/y", Zone: "y", Sequence: 1, Limits: []models.LimitReport{report}})
		advance(t, 300*time.Millisecond)
		is.Equal(b.RelayedSums()[0].Limits[0].Age, 1300*time.Millisecond)
	})
}
