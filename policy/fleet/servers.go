package fleet

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"quincewinch/models"
)

const (
	// maxUtilization is the share of its engines that the fleet plans to keep busy;
	// a greater weight of the worst-served workspace leaves more spare.
	maxUtilization  = 0.85
	worstWeightStep = 0.05 // taken off busiest for each unit of worst-weight over 1
	minUtilization  = 0.5
	giveBackMargin  = 1.15 // servers are given back only above this times the need
	// replacementDelay is how long it takes to replace evicted servers.
	replacementDelay = 90 * time.Second
)

// Prices are what a backend server costs in an hour, in the table's currency.
type Prices struct {
	Reserved float64
	Cheap    float64
}

// Server is one backend server as the plan sees it.
type Server struct {
	ID      models.EngineID
	Zone    models.Zone
	Cheap   bool
	Broken  bool // cannot be mended
	Ordered bool // on its way
}

// ServerSnapshot is what backend servers are ordered and given back from.
type ServerSnapshot struct {
	Zones      []models.Zone
	Servers    []Server
	Work       Forecast                // of all groups, when an order would arrive
	RecentPeak float64                 // greatest need of the time before, in engines
	Repeatable float64                 // share of the work that may run again or be moved, 0 to 1
	Evictions  map[models.Zone]float64 // of a zone's cheap servers, in an hour
	Limits     models.FleetLimits
	Prices     Prices
}

// ServerOrder is the decision to order or give back servers in a zone.
type ServerOrder struct {
	Zone     models.Zone
	Cheap    bool
	Count    int
	GiveBack []models.EngineID
	Why      string
}

// target is how many servers of each kind a zone ought to have.
type target struct {
	reserved int
	cheap    int
	cost     float64 // in an hour, losses by evictions counted in
}

// PlanServers returns what to order and give back, zone by zone. The cheapest
// mix is taken that serves the work, also once a whole zone's cheap servers
// have vanished, within the limits.
func PlanServers(s ServerSnapshot) []ServerOrder {
	if s.Limits.SpendPerHour <= 0 || len(s.Zones) == 0 {
		return nil
	}
	need := s.Need()
	best, ok := s.cheapestTarget(need)
	if !ok {
		return nil
	}
	var orders []ServerOrder
	for _, zone := range s.Zones {
		orders = append(orders, s.zoneOrders(zone, need, best)...)
	}
	return orders
}

// zoneOrders compares a zone's servers with what it ought to have, reserved ones
// first. No more are ordered than it lacks in all: where it has too many of
// one kind, those go first.
func (s ServerSnapshot) zoneOrders(zone models.Zone, need float64, t target) []ServerOrder {
	lacking := t.reserved + t.cheap
	for _, server := range s.Servers {
		if server.Zone == zone && !server.Broken {
			lacking--
		}
	}
	var orders []ServerOrder
	for _, cheap := range []bool{false, true} {
		order, due := s.kindOrder(zone, cheap, need, t)
		order.Count = max(min(order.Count, lacking), 0)
		lacking -= order.Count
		if due && (order.Count > 0 || len(order.GiveBack) > 0) {
			orders = append(orders, order)
		}
	}
	return orders
}

// Need returns the engines that the work keeps busy, with its spread.
func (s ServerSnapshot) Need() float64 {
	spread := math.Hypot(s.Work.Deviation.Prefill, s.Work.Deviation.Decode)
	return s.Work.Mean.Total() + 2*spread
}

// utilization returns the share of the engines to keep busy.
func (s ServerSnapshot) utilization() float64 {
	return max(minUtilization, maxUtilization-worstWeightStep*max(0, s.Limits.WorstWeight-1))
}

// cheapestTarget tries each number of servers a zone. Cost weighs cheap servers
// against the work that their evictions would put off.
func (s ServerSnapshot) cheapestTarget(need float64) (target, bool) {
	zones := float64(len(s.Zones))
	most := s.Limits.MaxPerZone
	if most == 0 {
		most = int(math.Ceil(need/s.utilization()/zones)) + 1
	}
	var best target
	found := false
	served := -1.0
	for reserved := range most + 1 {
		for cheap := range most + 1 - reserved {
			t := target{reserved: reserved, cheap: cheap, cost: s.cost(reserved, cheap)}
			if !s.allowed(t) {
				continue
			}
			share := s.servedShare(t, need)
			if share > served+1e-9 || share > served-1e-9 && t.cost < best.cost {
				best, served, found = t, share, true
			}
		}
	}
	return best, found
}

// cost returns what a number of servers a zone costs in an hour. Evicted
// servers are paid for while their replacements start.
func (s ServerSnapshot) cost(reserved, cheap int) float64 {
	sum := 0.0
	for _, zone := range s.Zones {
		lost := s.Evictions[zone] * replacementDelay.Hours()
		weight := 1 / max(s.Limits.CostWeight, 0.1)
		sum += float64(reserved)*s.Prices.Reserved + float64(cheap)*(s.Prices.Cheap+weight*lost*s.Prices.Reserved)
	}
	return sum
}

// allowed reports whether servers are within the limits: spending, the share
// of work on cheap ones, and work that may not run there.
func (s ServerSnapshot) allowed(t target) bool {
	zones := float64(len(s.Zones))
	spend := zones * (float64(t.reserved)*s.Prices.Reserved + float64(t.cheap)*s.Prices.Cheap)
	if spend > s.Limits.SpendPerHour {
		return false
	}
	all := float64(t.reserved + t.cheap)
	return float64(t.cheap) <= min(s.Limits.CheapShare, s.Repeatable)*all
}

// servedShare returns the part of the need that servers meet: with all of them at
// the planned load, and without one zone's cheap ones at full load. The plan
// looks as far as the limits let it and no further.
func (s ServerSnapshot) servedShare(t target, need float64) float64 {
	if need <= 0 {
		need = 1
	}
	zones := float64(len(s.Zones))
	all := zones * float64(t.reserved+t.cheap)
	left := all - float64(t.cheap)
	if t.cheap == 0 {
		left = all
	}
	return min(1, min(all*s.utilization(), left)/need)
}

// kindOrder compares a zone's servers of one kind with what it ought to have.
func (s ServerSnapshot) kindOrder(zone models.Zone, cheap bool, need float64, t target) (order ServerOrder, due bool) {
	want := t.reserved
	if cheap {
		want = t.cheap
	}
	var working, broken []models.EngineID
	for _, server := range s.Servers {
		switch {
		case server.Zone != zone || server.Cheap != cheap:
		case server.Broken:
			broken = append(broken, server.ID)
		default:
			working = append(working, server.ID)
		}
	}
	slices.SortFunc(working, func(a, b models.EngineID) int { return strings.Compare(string(a), string(b)) })
	order = ServerOrder{Zone: zone, Cheap: cheap, GiveBack: broken, Why: s.why(zone, cheap, len(working), want, need, t)}
	switch {
	case len(working) < want:
		order.Count = want - len(working)
	case s.canGiveBack(need):
		order.GiveBack = append(order.GiveBack, working[min(want, len(working)):]...)
	}
	return order, order.Count > 0 || len(order.GiveBack) > 0
}

// canGiveBack reports whether there is so much more than needed that giving back is
// not soon regretted.
func (s ServerSnapshot) canGiveBack(need float64) bool {
	working := 0
	for _, server := range s.Servers {
		if !server.Broken {
			working++
		}
	}
	return float64(working)*s.utilization() > max(need, s.RecentPeak)*giveBackMargin
}

func (s ServerSnapshot) why(zone models.Zone, cheap bool, have, want int, need float64, t target) string {
	kind := "reserved"
	if cheap {
		kind = "cheap"
	}
	return fmt.Sprintf("the work is expected to keep %.1f engines busy; each zone ought to have %d reserved and %d cheap backend servers, "+
		"%.2f an hour in all, so that the loss of a zone's cheap ones harms nobody; zone %s has %d %s ones for %d wanted, and %.2f evictions an hour were seen there",
		need, t.reserved, t.cheap, t.cost, zone, have, kind, want, s.Evictions[zone])
}
