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
	// maxUtilization is the highest planned share of busy engines. A higher
	// weight of the worst-served workspace lowers it, to leave more spare
	// capacity.
	maxUtilization  = 0.85
	worstWeightStep = 0.05 // reduction of utilization per unit of worst-weight over 1
	minUtilization  = 0.5  // lower bound of utilization
	giveBackMargin  = 1.15 // servers are given back only above this multiple of the need
	// replacementDelay is the time that it takes to replace evicted servers.
	replacementDelay = 90 * time.Second
)

// Prices are the hourly prices of a backend server, in the table's currency.
type Prices struct {
	Reserved float64
	Cheap    float64
}

// Server is a backend server in a ServerSnapshot.
type Server struct {
	ID      models.EngineID
	Zone    models.Zone
	Cheap   bool
	Broken  bool // cannot be repaired
	Ordered bool // ordered, not yet delivered
}

// ServerSnapshot is the input of PlanServers.
type ServerSnapshot struct {
	Zones      []models.Zone
	Servers    []Server
	Work       Forecast                // of all groups, at the time when an order would be delivered
	RecentPeak float64                 // maximum need in the recent past, in engines
	Repeatable float64                 // share of the work that may be retried or moved, 0 to 1
	Evictions  map[models.Zone]float64 // of a zone's cheap servers, per hour
	Limits     models.FleetLimits
	Prices     Prices
}

// ServerOrder is the decision to order or give back servers of one kind in a
// zone.
type ServerOrder struct {
	Zone     models.Zone
	Cheap    bool
	Count    int
	GiveBack []models.EngineID
	Why      string
}

// target is the desired number of servers of each kind per zone.
type target struct {
	reserved int
	cheap    int
	cost     float64 // per hour, including the expected losses by evictions
}

// PlanServers returns the servers to order and to give back in each zone. It
// picks the cheapest mix within the limits that serves the work even after all
// cheap servers of a zone have been evicted.
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

// zoneOrders compares a zone's servers with its target, reserved ones first. It
// orders no more servers than the zone lacks in total: if there are too many of
// one kind, those are given back before the other kind is ordered.
func (s ServerSnapshot) zoneOrders(zone models.Zone, need float64, t target) []ServerOrder {
	missing := t.reserved + t.cheap
	for _, server := range s.Servers {
		if server.Zone == zone && !server.Broken {
			missing--
		}
	}
	var orders []ServerOrder
	for _, cheap := range []bool{false, true} {
		order, due := s.kindOrder(zone, cheap, need, t)
		order.Count = max(min(order.Count, missing), 0)
		missing -= order.Count
		if due && (order.Count > 0 || len(order.GiveBack) > 0) {
			orders = append(orders, order)
		}
	}
	return orders
}

// Need returns the number of engines that the work keeps busy, plus two
// standard deviations.
func (s ServerSnapshot) Need() float64 {
	deviation := math.Hypot(s.Work.Deviation.Prefill, s.Work.Deviation.Decode)
	return s.Work.Mean.Total() + 2*deviation
}

// utilization returns the planned share of busy engines.
func (s ServerSnapshot) utilization() float64 {
	return max(minUtilization, maxUtilization-worstWeightStep*max(0, s.Limits.WorstWeight-1))
}

// cheapestTarget searches all numbers of servers per zone for the target that
// serves the largest share of the need, and among those the cheapest. The cost
// of cheap servers includes the work that their evictions would delay.
func (s ServerSnapshot) cheapestTarget(need float64) (target, bool) {
	zones := float64(len(s.Zones))
	limit := s.Limits.MaxPerZone
	if limit == 0 {
		limit = int(math.Ceil(need/s.utilization()/zones)) + 1
	}
	var best target
	found := false
	bestShare := -1.0
	for reserved := range limit + 1 {
		for cheap := range limit + 1 - reserved {
			t := target{reserved: reserved, cheap: cheap, cost: s.cost(reserved, cheap)}
			if !s.allowed(t) {
				continue
			}
			share := s.servedShare(t, need)
			if share > bestShare+1e-9 || share > bestShare-1e-9 && t.cost < best.cost {
				best, bestShare, found = t, share, true
			}
		}
	}
	return best, found
}

// cost returns the hourly cost of the given numbers of servers per zone.
// Evicted servers are charged at the reserved price while their replacements
// start, divided by the cost weight.
func (s ServerSnapshot) cost(reserved, cheap int) float64 {
	sum := 0.0
	for _, zone := range s.Zones {
		lost := s.Evictions[zone] * replacementDelay.Hours()
		weight := 1 / max(s.Limits.CostWeight, 0.1)
		sum += float64(reserved)*s.Prices.Reserved + float64(cheap)*(s.Prices.Cheap+weight*lost*s.Prices.Reserved)
	}
	return sum
}

// allowed reports whether a target is within the limits: spending, the share of
// cheap servers, and the share of work that may run on them.
func (s ServerSnapshot) allowed(t target) bool {
	zones := float64(len(s.Zones))
	spend := zones * (float64(t.reserved)*s.Prices.Reserved + float64(t.cheap)*s.Prices.Cheap)
	if spend > s.Limits.SpendPerHour {
		return false
	}
	all := float64(t.reserved + t.cheap)
	return float64(t.cheap) <= min(s.Limits.CheapShare, s.Repeatable)*all
}

// servedShare returns the share of the need that a target meets: with all
// servers at the planned utilization and, after the loss of one zone's cheap
// servers, with the remaining ones fully utilized. It is below 1 if the limits
// do not allow enough servers.
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

// kindOrder compares a zone's servers of one kind with the target. Broken
// servers are always given back.
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

// canGiveBack reports whether capacity exceeds the current and the recent need
// by giveBackMargin, so that servers given back do not have to be reordered
// soon.
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
