package fleet_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/policy/fleet"
)

// serverSnapshot returns four zones without servers.
func serverSnapshot(work float64, limits models.FleetLimits) fleet.ServerSnapshot {
	return fleet.ServerSnapshot{
		Zones:      []models.Zone{"a", "b", "c", "d"},
		Work:       fleet.Forecast{Mean: fleet.Work{Decode: work}},
		Repeatable: 0.9,
		Evictions:  map[models.Zone]float64{"a": 0.1, "b": 0.1, "c": 0.1, "d": 0.1},
		Limits:     limits,
		Prices:     fleet.Prices{Reserved: 1, Cheap: 0.35},
	}
}

var tamarind = models.FleetLimits{SpendPerHour: 60, MaxPerZone: 6, CostWeight: 3, WorstWeight: 1, CheapShare: 0.6}

// applyOrders returns the servers after the orders are carried out.
func applyOrders(servers []fleet.Server, orders []fleet.ServerOrder) []fleet.Server {
	returned := map[models.EngineID]bool{}
	for _, order := range orders {
		for _, id := range order.GiveBack {
			returned[id] = true
		}
	}
	var kept []fleet.Server
	for _, server := range servers {
		if !returned[server.ID] {
			kept = append(kept, server)
		}
	}
	for _, order := range orders {
		for i := range order.Count {
			id := models.EngineID(string(order.Zone) + strconv.FormatBool(order.Cheap) + strconv.Itoa(len(servers)) + "-" + strconv.Itoa(i))
			kept = append(kept, fleet.Server{ID: id, Zone: order.Zone, Cheap: order.Cheap})
		}
	}
	return kept
}

// assertWithinLimits fails if the servers exceed a limit.
func assertWithinLimits(t *testing.T, s fleet.ServerSnapshot, servers []fleet.Server) {
	t.Helper()
	is := is.New(t)
	spend, cheap := 0.0, 0.0
	zones := map[models.Zone]int{}
	for _, server := range servers {
		zones[server.Zone]++
		spend += s.Prices.Reserved
		if server.Cheap {
			spend += s.Prices.Cheap - s.Prices.Reserved
			cheap++
		}
	}
	is.True(spend <= s.Limits.SpendPerHour+1e-9)
	is.True(cheap <= min(s.Limits.CheapShare, s.Repeatable)*float64(len(servers))+1e-9)
	for _, count := range zones {
		is.True(count <= s.Limits.MaxPerZone)
	}
}

// assertSurvivesEviction fails if the loss of a zone's cheap servers leaves
// fewer servers than needed.
func assertSurvivesEviction(t *testing.T, s fleet.ServerSnapshot, servers []fleet.Server) {
	t.Helper()
	for _, zone := range s.Zones {
		left := 0
		for _, server := range servers {
			if server.Zone != zone || !server.Cheap {
				left++
			}
		}
		is.New(t).True(float64(left) >= s.Need())
	}
}

func TestPlanServersWithinLimitsAndWithReserve(t *testing.T) {
	random := rand.New(rand.NewPCG(6, 8))
	for range 2000 {
		limits := models.FleetLimits{
			SpendPerHour: 5 + 150*random.Float64(),
			MaxPerZone:   1 + random.IntN(16),
			CostWeight:   4 * random.Float64(),
			WorstWeight:  4 * random.Float64(),
			CheapShare:   random.Float64(),
		}
		s := serverSnapshot(40*random.Float64(), limits)
		servers := applyOrders(nil, fleet.PlanServers(s))
		assertWithinLimits(t, s, servers)
		s.Servers = servers
		is.New(t).Equal(len(fleet.PlanServers(s)), 0) // no orders follow once the plan is carried out
		limitsSuffice := s.Need() < 0.5*float64(limits.MaxPerZone)*4 && s.Need() < 0.3*limits.SpendPerHour
		if limitsSuffice {
			assertSurvivesEviction(t, s, servers)
		}
	}
}

func TestPlanServersCells(t *testing.T) {
	count := func(limits models.FleetLimits) (reserved, cheap int) {
		for _, server := range applyOrders(nil, fleet.PlanServers(serverSnapshot(10, limits))) {
			if server.Cheap {
				cheap++
			} else {
				reserved++
			}
		}
		return reserved, cheap
	}
	t.Run("cheap share limits cheap servers", func(t *testing.T) {
		is := is.New(t)
		_, cheap := count(tamarind)
		is.True(cheap > 0)
		none := tamarind
		none.CheapShare = 0
		_, cheap = count(none)
		is.Equal(cheap, 0)
	})
	t.Run("worst weight adds spare capacity", func(t *testing.T) {
		is := is.New(t)
		reserved, cheap := count(tamarind)
		highWeight := tamarind
		highWeight.WorstWeight = 3
		more, moreCheap := count(highWeight)
		is.True(more+moreCheap > reserved+cheap)
	})
	t.Run("no orders without a spending limit", func(t *testing.T) {
		is := is.New(t)
		is.Equal(len(fleet.PlanServers(serverSnapshot(10, models.FleetLimits{MaxPerZone: 6}))), 0)
	})
	t.Run("no cheap servers in zones with frequent evictions", func(t *testing.T) {
		is := is.New(t)
		s := serverSnapshot(10, tamarind)
		for zone := range s.Evictions {
			s.Evictions[zone] = 200
		}
		for _, server := range applyOrders(nil, fleet.PlanServers(s)) {
			is.True(!server.Cheap)
		}
	})
	t.Run("a broken server is replaced", func(t *testing.T) {
		is := is.New(t)
		s := serverSnapshot(10, tamarind)
		s.Servers = applyOrders(nil, fleet.PlanServers(s))
		s.Servers[0].Broken = true
		orders := fleet.PlanServers(s)
		is.Equal(len(orders), 1)
		is.Equal(orders[0].Count, 1)
		is.Equal(orders[0].GiveBack, []models.EngineID{s.Servers[0].ID})
	})
	t.Run("a recent peak is not given back", func(t *testing.T) {
		is := is.New(t)
		s := serverSnapshot(10, tamarind)
		s.Servers = applyOrders(nil, fleet.PlanServers(s))
		s.Work = fleet.Forecast{Mean: fleet.Work{Decode: 2}}
		s.RecentPeak = 10
		is.Equal(len(fleet.PlanServers(s)), 0)
		s.RecentPeak = 2
		is.True(len(applyOrders(s.Servers, fleet.PlanServers(s))) < len(s.Servers))
	})
}

func TestWindowMax(t *testing.T) {
	is := is.New(t)
	p := fleet.NewWindowMax(time.Minute)
	at := time.Unix(0, 0)
	is.Equal(p.Observe(at, 5), 5.0)
	is.Equal(p.Observe(at.Add(30*time.Second), 3), 5.0)
	is.Equal(p.Observe(at.Add(90*time.Second), 1), 3.0)
}
