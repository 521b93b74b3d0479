package supply_test

import (
	"testing"
	"time"

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
	orders := supply.Plan(service(limits), []supply.Zone{zone}, &supply.Demand{}, time.Time{})
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
		expectCounts(t, limits, supply.Zone{Name: "a", Reserved: 3, Cheap: 3}, 0, 6)
	})
	t.Run("reserved servers replace part of a zone's lost cheap ones", func(t *testing.T) {
		expectCounts(t, limits, supply.Zone{Name: "a"}, 3, 3)
	})
	t.Run("more than half of an odd limit", func(t *testing.T) {
		odd := limits
		odd.Max = 3
		expectCounts(t, odd, supply.Zone{Name: "a"}, 2, 1)
	})
	t.Run("reserved servers stay while there are no cheap ones", func(t *testing.T) {
		expectCounts(t, limits, supply.Zone{Name: "a", Reserved: 3}, 3, 3)
	})
	t.Run("no reserved servers are added while cheap ones run", func(t *testing.T) {
		expectCounts(t, limits, supply.Zone{Name: "a", Cheap: 2}, 0, 6)
	})
	t.Run("no orders for a service without supply limits", func(t *testing.T) {
		is := is.New(t)
		is.Equal(len(supply.Plan(models.RoutedService{Name: "s"}, []supply.Zone{{Name: "a"}}, &supply.Demand{}, time.Time{})), 0)
	})
}

// demandOf returns the demand after a number of backend servers has been busy for
// a while.
func demandOf(busy float64, duration time.Duration) (*supply.Demand, time.Time) {
	const interval = 250 * time.Millisecond
	d := &supply.Demand{}
	now := time.Unix(1000, 0)
	for end := now.Add(duration); now.Before(end); now = now.Add(interval) {
		d.Observe(busy, now)
	}
	return d, now
}

// Where cheap servers cost nearly as much, the number of reserved ones follows
// the load.
func TestReservedFollowLoad(t *testing.T) {
	limits := models.SupplyLimits{Min: 1, Max: 6, CheapPrice: 0.9, ZonePrices: map[models.Zone]float64{"a": 1.2, "b": 0.8}}
	const long, short = time.Minute, 10 * time.Second
	tests := []struct {
		name     string
		present  []int // in zones a and b
		busy     float64
		observed time.Duration
		want     []int
	}{
		{"as many as there are if half of them are busy", []int{3, 3}, 3, long, []int{3, 3}},
		{"twice as many if all are busy", []int{2, 2}, 4, long, []int{4, 4}},
		{"the odd one in the cheaper zone", []int{2, 2}, 2.2, long, []int{2, 3}},
		{"no more than the limit", []int{5, 5}, 10, long, []int{6, 6}},
		{"no fewer than the minimum", []int{3, 3}, 0.1, long, []int{1, 1}},
		{"fewer in the zone of the higher price", []int{3, 3}, 2.4, long, []int{2, 3}},
		{"a lost zone is made up for", []int{0, 4}, 4, long, []int{4, 4}},
		{"none is removed before a peak can have been seen", []int{3, 3}, 0.1, short, []int{3, 3}},
		{"but some are added", []int{2, 2}, 4, short, []int{4, 4}},
		{"no orders before backend servers have registered", []int{0, 1}, 0, 0, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			zones := []supply.Zone{{Name: "a", Reserved: test.present[0]}, {Name: "b", Reserved: test.present[1]}}
			demand, now := demandOf(test.busy, test.observed)
			var got []int
			for _, order := range supply.Plan(service(limits), zones, demand, now) {
				if order.Cheap {
					is.Equal(order.Count, 0)
					continue
				}
				got = append(got, order.Count)
			}
			is.Equal(got, test.want)
		})
	}
}

// A peak is remembered, then forgotten.
func TestDemandPeak(t *testing.T) {
	is := is.New(t)
	d, now := demandOf(8, 5*time.Second)
	later := func(duration time.Duration) float64 {
		for end := now.Add(duration); now.Before(end); now = now.Add(250 * time.Millisecond) {
			d.Observe(1, now)
		}
		peak, known, _ := d.Peak(now)
		is.True(known)
		return peak
	}
	is.True(later(15*time.Second) > 7)
	is.True(later(10*time.Second) < 2)
}
