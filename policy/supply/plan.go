// Package supply decides how many backend servers a service should have in
// each availability zone. It is made for loads that change faster than backend
// servers start, and for fleets that may lose all cheap backend servers of a
// zone at once. Cheap ones are ordered up to the limit; reserved ones stand in
// where a zone has lost its cheap ones. Where cheap ones cost nearly as much as
// reserved ones, there are as many reserved ones as the load needs.
package supply

import (
	"cmp"
	"math"
	"slices"
	"time"

	"quincewinch/models"
)

const (
	// replacementShare is the share of a zone's limit, rounded up, that is filled
	// with reserved backend servers when the zone has lost all its cheap ones.
	// Reserved ones start within seconds, while cheap ones may be unavailable for
	// longer; the rest of the limit is left for cheap ones.
	replacementShare = 0.5
	// maxCheapPrice is the price up to which a cheap backend server is worth the
	// risk of losing it, as a share of the price of a reserved one.
	maxCheapPrice = 0.7
	// targetBusy is the busy share of the reserved backend servers for which
	// their number is chosen. The rest is for bursts that pass before
	// another one has started.
	targetBusy = 0.5
)

// Zone is the number of backend servers that a service has in one zone.
type Zone struct {
	Name     models.Zone
	Reserved int // registered and not draining
	Cheap    int // registered and not draining
}

// Plan returns how many cheap and reserved backend servers each zone should
// have, two orders for each zone. It returns none while the demand that decides
// their number is not known.
func Plan(service models.RoutedService, zones []Zone, demand *Demand, now time.Time) []models.SupplyOrder {
	limits := service.Supply
	if limits == nil {
		return nil
	}
	if limits.CheapPrice <= 0 || limits.CheapPrice > maxCheapPrice {
		return planReserved(service, zones, demand, now)
	}
	var orders []models.SupplyOrder
	for _, z := range zones {
		reserved, cheap := targetCounts(*limits, z)
		orders = append(orders, zoneOrders(service.Name, z.Name, reserved, cheap)...)
	}
	return orders
}

// planReserved returns the orders of a service whose cheap backend servers are
// too expensive: as many reserved ones as the peak of the demand needs.
func planReserved(service models.RoutedService, zones []Zone, demand *Demand, now time.Time) []models.SupplyOrder {
	peak, known, whole := demand.Peak(now)
	if !known {
		return nil
	}
	total := int(math.Ceil(peak / targetBusy))
	if !whole {
		total = max(total, reservedCount(zones))
	}
	counts := spread(*service.Supply, zones, total)
	var orders []models.SupplyOrder
	for _, z := range zones {
		orders = append(orders, zoneOrders(service.Name, z.Name, counts[z.Name], 0)...)
	}
	return orders
}

func zoneOrders(service models.ServiceName, zone models.Zone, reserved, cheap int) []models.SupplyOrder {
	return []models.SupplyOrder{
		{Service: service, Zone: zone, Cheap: true, Count: cheap},
		{Service: service, Zone: zone, Count: reserved},
	}
}

func reservedCount(zones []Zone) int {
	total := 0
	for _, z := range zones {
		total += z.Reserved
	}
	return total
}

// targetCounts returns how many reserved and cheap backend servers a zone
// should have. Reserved ones are released once cheap ones have replaced them.
func targetCounts(limits models.SupplyLimits, z Zone) (reserved, cheap int) {
	switch {
	case z.Cheap == 0 && z.Reserved == 0:
		reserved = int(math.Ceil(replacementShare * float64(limits.Max)))
		return reserved, limits.Max - reserved
	case z.Cheap >= z.Reserved:
		return 0, limits.Max
	}
	return z.Reserved, max(limits.Max-z.Reserved, 0)
}

// spread divides a number of reserved backend servers among the zones, equally
// and the remainder to the zones of the lowest price. Zones keep what they have
// where that changes nothing in all.
func spread(limits models.SupplyLimits, zones []Zone, total int) map[models.Zone]int {
	counts := map[models.Zone]int{}
	sum := 0
	for _, z := range zones {
		counts[z.Name] = min(max(z.Reserved, limits.Min), limits.Max)
		sum += counts[z.Name]
	}
	byPrice := slices.Clone(zones)
	slices.SortStableFunc(byPrice, func(a, b Zone) int {
		return cmp.Compare(limits.ZonePrices[a.Name], limits.ZonePrices[b.Name])
	})
	for ; sum < total; sum++ {
		z, ok := fewest(byPrice, counts, limits.Max)
		if !ok {
			break
		}
		counts[z]++
	}
	for ; sum > total; sum-- {
		z, ok := most(byPrice, counts, limits.Min)
		if !ok {
			break
		}
		counts[z]--
	}
	return counts
}

// fewest returns the zone with the fewest backend servers below a limit, the
// first of several.
func fewest(zones []Zone, counts map[models.Zone]int, limit int) (zone models.Zone, ok bool) {
	for _, z := range zones {
		if n := counts[z.Name]; n < limit && (!ok || n < counts[zone]) {
			zone, ok = z.Name, true
		}
	}
	return zone, ok
}

// most returns the zone with the most backend servers above a limit, the last of
// several.
func most(zones []Zone, counts map[models.Zone]int, limit int) (zone models.Zone, ok bool) {
	for _, z := range zones {
		if n := counts[z.Name]; n > limit && (!ok || n >= counts[zone]) {
			zone, ok = z.Name, true
		}
	}
	return zone, ok
}
