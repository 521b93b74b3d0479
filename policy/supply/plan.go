// Package supply decides how many backend servers a service should have in
// each availability zone. It is made for loads that change within seconds and
// for fleets that may lose all cheap backend servers of a zone at once: cheap
// backend servers carry the peaks, reserved ones the load that has to be served
// when a zone loses its cheap ones.
package supply

import (
	"quincewinch/models"
)

const (
	// reservedPerZone is how many reserved backend servers a zone keeps while
	// cheap ones are used, so that every zone still has some after the loss of
	// its cheap ones.
	reservedPerZone = 1
	// replacementShare is the share of a zone's cheap backend servers that is
	// replaced by reserved ones when the zone has lost them all. Reserved ones
	// start within seconds, while cheap ones may be unavailable for longer; the
	// rest of the limit is left for cheap ones.
	replacementShare = 0.5
	// maxCheapPrice is the price up to which a cheap backend server is worth the
	// risk of losing it, as a share of the price of a reserved one.
	maxCheapPrice = 0.7
)

// Zone is the number of backend servers that a service has in one zone.
type Zone struct {
	Name     models.Zone
	Reserved int // registered and not draining
	Cheap    int // registered and not draining
}

// Plan returns how many cheap and reserved backend servers each zone should
// have.
func Plan(service models.RoutedService, zones []Zone) []models.SupplyOrder {
	limits := service.Supply
	if limits == nil {
		return nil
	}
	var orders []models.SupplyOrder
	for _, z := range zones {
		reserved, cheap := targetCounts(*limits, z)
		orders = append(orders,
			models.SupplyOrder{Service: service.Name, Zone: z.Name, Cheap: true, Count: cheap},
			models.SupplyOrder{Service: service.Name, Zone: z.Name, Count: reserved},
		)
	}
	return orders
}

// targetCounts returns how many reserved and cheap backend servers a zone
// should have. Reserved ones are released once cheap ones have replaced them.
func targetCounts(limits models.SupplyLimits, z Zone) (reserved, cheap int) {
	if limits.CheapPrice <= 0 || limits.CheapPrice > maxCheapPrice {
		return max(z.Reserved, limits.Min), 0
	}
	minReserved := max(reservedPerZone, limits.Min)
	if z.Cheap == 0 && z.Reserved <= minReserved {
		reserved = minReserved + int(replacementShare*float64(limits.Max-minReserved))
		return reserved, limits.Max - reserved
	}
	cheap = max(limits.Max-max(z.Reserved, minReserved), 0)
	if z.Cheap >= z.Reserved-minReserved {
		cheap = max(limits.Max-minReserved, 0)
		return minReserved, cheap
	}
	return z.Reserved, cheap
}
