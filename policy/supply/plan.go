// Package supply decides how many backend servers a service should have in
// each availability zone. It answers a load that swings within seconds, before
// a fleet whose cheap part may vanish a zone at a time: cheap backend servers
// carry the peaks, reserved ones what must stay when a zone's cheap ones go.
package supply

import (
	"quincewinch/models"
)

const (
	// reservedPerZone is how many reserved backend servers a zone keeps where
	// cheap ones can be had: with the cheap ones of one zone gone, every zone
	// still has some.
	reservedPerZone = 1
	// standInShare is the part of the cheap backend servers that reserved ones
	// stand in for where a zone has lost them all: they come within seconds, when
	// there may be no cheap ones for longer, and leave room for these.
	standInShare = 0.5
	// worthwhilePrice is the share of a reserved one's price up to which a
	// cheap backend server is worth the risk to lose it.
	worthwhilePrice = 0.7
)

// Zone is a service in one zone.
type Zone struct {
	Name     models.Zone
	Reserved int // registered and not draining
	Cheap    int // likewise
}

// Plan returns how many backend servers of each price each zone should have.
func Plan(service models.RoutedService, zones []Zone) []models.SupplyOrder {
	limits := service.Supply
	if limits == nil {
		return nil
	}
	var orders []models.SupplyOrder
	for _, z := range zones {
		reserved, cheap := want(*limits, z)
		orders = append(orders,
			models.SupplyOrder{Service: service.Name, Zone: z.Name, Cheap: true, Count: cheap},
			models.SupplyOrder{Service: service.Name, Zone: z.Name, Count: reserved},
		)
	}
	return orders
}

// want returns how many backend servers of each price a zone should have.
// Reserved ones are given back once cheap ones stand in for them.
func want(limits models.SupplyLimits, z Zone) (reserved, cheap int) {
	if limits.CheapPrice <= 0 || limits.CheapPrice > worthwhilePrice {
		return max(z.Reserved, limits.Min), 0
	}
	kept := max(reservedPerZone, limits.Min)
	if z.Cheap == 0 && z.Reserved <= kept {
		reserved = kept + int(standInShare*float64(limits.Max-kept))
		return reserved, limits.Max - reserved
	}
	cheap = max(limits.Max-max(z.Reserved, kept), 0)
	if z.Cheap >= z.Reserved-kept {
		cheap = max(limits.Max-kept, 0)
		return kept, cheap
	}
	return z.Reserved, cheap
}
