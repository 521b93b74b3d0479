package supply_test

import (
	"testing"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/policy/supply"
)

func service(limits models.SupplyLimits) models.RoutedService {
	return models.RoutedService{Name: "s", Supply: &limits}
}

func expectCounts(t *testing.T, limits models.SupplyLimits, zone supply.Zone, reserved, cheap int) {
	t.Helper()
	is := is.New(t)
	orders := supply.Plan(service(limits), []supply.Zone{zone})
	is.Equal(orders, []models.SupplyOrder{
		{Service: "s", Zone: zone.Name, Cheap: true, Count: cheap},
		{Service: "s", Zone: zone.Name, Count: reserved},
	})
}

func TestPlan(t *testing.T) {
	limits := models.SupplyLimits{Min: 1, Max: 6, CheapPrice: 0.22}
	t.Run("cheap servers fill the remainder of the limit", func(t *testing.T) {
		expectCounts(t, limits, supply.Zone{Name: "a", Reserved: 3}, 3, 3)
	})
	t.Run("reserved servers are released once cheap ones have replaced them", func(t *testing.T) {
		expectCounts(t, limits, supply.Zone{Name: "a", Reserved: 3, Cheap: 3}, 1, 5)
	})
	t.Run("no release below the minimum", func(t *testing.T) {
		raised := limits
		raised.Min = 2
		expectCounts(t, raised, supply.Zone{Name: "a", Reserved: 3, Cheap: 3}, 2, 4)
	})
	t.Run("reserved servers replace part of a zone's lost cheap ones", func(t *testing.T) {
		expectCounts(t, limits, supply.Zone{Name: "a", Reserved: 1}, 3, 3)
	})
	t.Run("reserved servers stay while there are no cheap ones", func(t *testing.T) {
		expectCounts(t, limits, supply.Zone{Name: "a", Reserved: 3}, 3, 3)
	})
	t.Run("no reserved servers are added while cheap ones run", func(t *testing.T) {
		expectCounts(t, limits, supply.Zone{Name: "a", Reserved: 1, Cheap: 2}, 1, 5)
	})
	t.Run("no cheap servers above the maximum price", func(t *testing.T) {
		expensive := limits
		expensive.CheapPrice = 0.9
		expectCounts(t, expensive, supply.Zone{Name: "a", Reserved: 3}, 3, 0)
	})
	t.Run("no orders for a service without supply limits", func(t *testing.T) {
		is := is.New(t)
		is.Equal(len(supply.Plan(models.RoutedService{Name: "s"}, []supply.Zone{{Name: "a"}})), 0)
	})
}
