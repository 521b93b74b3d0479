package balance_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/balance"
	"quincewinch/models"
	"quincewinch/relay"
)

// otherShare is the load share of a daemon that has prompts at all engines, 200 ms old.
func otherShare(sequence uint64, list []models.Upstream) models.LoadShare {
	share := models.LoadShare{From: "o", Zone: "z", Sequence: sequence, Loads: map[models.EngineID]models.ServerLoad{}}
	for _, u := range list {
		stated := models.UpstreamLoad{Running: 1, Slots: 8, Pace: 1}
		share.Speeds = append(share.Speeds, models.SpeedReport{Server: u.ID, Started: u.Started, Observations: 1, Load: stated, LoadAge: 200 * time.Millisecond})
		share.Loads[u.ID] = models.ServerLoad{Running: 1, PrefillTokens: 5000}
	}
	share.Demand = []models.ServiceDemand{{Service: "llm", Queued: []int{5000 * len(list)}}}
	return share
}

// TestQueueIsWorkedOffByAllEngines guards against requests refused because the queue of all
// engines was set against the few that a request is placed among.
func TestQueueIsWorkedOffByAllEngines(t *testing.T) {
	clock := &manualClock{now: time.Unix(1_000_000, 0)}
	settings := workSettings("a")
	settings.AdmitByDemand = true
	list := engines(60, models.RoleDecode)
	b := balance.New(newFleet(list...), clock, settings, 1)
	b.SetDaemons(65, true)
	for i := range 50 {
		b.ReceiveShare(otherShare(uint64(i+1), list))
		e := promptExchange("p", 1000)
		e.Route = models.PathRoute{Name: "r", LatencyTarget: 500 * time.Millisecond, Timeout: 5 * time.Second}
		e.CallerTimeout = 5 * time.Second
		e.Received, e.Deadline = clock.now, clock.now.Add(5*time.Second)
		p := place(t, b, e)
		clock.now = clock.now.Add(30 * time.Millisecond)
		p.ResponseStarted(nil)
		p.End(relay.ResultServed)
		clock.now = clock.now.Add(200 * time.Millisecond)
	}
}

func TestMemoryIsKeptByRole(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: time.Unix(1_000_000, 0)}
	settings := workSettings("a")
	settings.KeepMemory = true
	b := balance.New(newFleet(append(engines(6, models.RolePrefill), engines(2, models.RoleDecode)...)...), clock, settings, 1)
	exchange := func() *relay.Exchange {
		e := promptExchange("p", 100)
		e.Service.Engine.Capacity = 20_000 // for one request
		return e
	}
	placed := map[models.EngineID]bool{}
	for range 2 {
		placed[place(t, b, exchange()).Target().ID] = true
	}
	is.Equal(len(placed), 2) // each engine that generates has one
	_, err := b.Place(exchange(), nil)
	is.Equal(relay.RefusalOf(err).Code, models.RefusalOverload)
	again := exchange()
	again.Sends = 1 // it may have run
	place(t, b, again)
}
