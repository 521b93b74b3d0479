package control

import (
	"maps"
	"slices"

	"quincewinch/models"
	"quincewinch/policy/fleet"
)

// Forecast returns the sum of the forecasts of all groups.
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

// repeatableShare returns the share, 0 to 1, of the routes to models whose
// requests may run more than once.
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

// dispensable reports whether each model of an engine would still have at
// least MinHot steady engines without it, one of them in its zone.
func (f *Fleet) dispensable(id models.EngineID) bool {
	config := f.peers.Configuration.Config()
	desired := f.rows.all()
	for _, model := range desired[id].Models {
		remaining, inZone := 0, 0
		for other, row := range desired {
			server, known := config.Backends[other]
			if other == id || !known || server.Leaving || row.Step != models.StepSteady || !slices.Contains(row.Models, model) {
				continue
			}
			remaining++
			if server.Zone == config.Backends[id].Zone {
				inZone++
			}
		}
		if remaining < max(config.Models[model].MinHot, 1) || inZone == 0 {
			return false
		}
	}
	return true
}

// GroupForecast is the plan for the engines that serve the same models.
type GroupForecast struct {
	Group       string
	Split       fleet.Split // engines by role; a changing one counts in its new role
	Expected    fleet.Work  // in engines kept busy
	ServedShare float64     // of the expected work, 0 to 1
}

// Groups returns the latest plan of each group, sorted by name.
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
