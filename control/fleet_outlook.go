package control

import (
	"maps"
	"slices"

	"quincewinch/models"
	"quincewinch/policy/fleet"
)

// Forecast returns the work that all groups together are expected to offer.
func (f *Fleet) Forecast() fleet.Forecast {
	f.mu.Lock()
	defer f.mu.Unlock()
	var total fleet.Forecast
	first := true
	for _, forecast := range f.latestPlan.forecasts {
		if first {
			total, first = forecast, false
			continue
		}
		total = total.Add(forecast)
	}
	return total
}

// repeatableShare returns the share of routes to models whose requests may run more
// than once, 0 to 1.
func (f *Fleet) repeatableShare() float64 {
	all, repeatable := 0.0, 0.0
	for _, route := range f.peers.Configuration.Config().Routes {
		if route.Kind != models.RouteModel {
			continue
		}
		all++
		if route.Repeatable {
			repeatable++
		}
	}
	if all == 0 {
		return 0
	}
	return repeatable / all
}

// dispensable reports whether each model of an engine has engines enough without
// it, one of them in its zone.
func (f *Fleet) dispensable(id models.EngineID) bool {
	config := f.peers.Configuration.Config()
	desired := f.rows.all()
	for _, model := range desired[id].Models {
		left, inZone := 0, 0
		for other, row := range desired {
			server, known := config.Backends[other]
			if other == id || !known || server.Leaving || row.Step != models.StepSteady || !slices.Contains(row.Models, model) {
				continue
			}
			left++
			if server.Zone == config.Backends[id].Zone {
				inZone++
			}
		}
		if left < max(config.Models[model].MinHot, 1) || inZone == 0 {
			return false
		}
	}
	return true
}

// GroupForecast is what is planned for the engines that serve the same models.
type GroupForecast struct {
	Group       string
	Split       fleet.Split // engines by role, those that change in their new one
	Expected    fleet.Work  // engines that the work keeps busy
	ServedShare float64     // of the expected work, 0 to 1
}

// Groups returns what is planned for each group, by the latest plan.
func (f *Fleet) Groups() []GroupForecast {
	f.mu.Lock()
	defer f.mu.Unlock()
	var groups []GroupForecast
	for _, name := range slices.Sorted(maps.Keys(f.latestPlan.splits)) {
		split, forecast := f.latestPlan.splits[name], f.latestPlan.forecasts[name]
		groups = append(groups, GroupForecast{
			Group:       name,
			Split:       split,
			Expected:    forecast.Mean,
			ServedShare: split.ServedShare(forecast.Mean),
		})
	}
	return groups
}
