package control

import (
	"slices"

	"quincewinch/models"
	"quincewinch/policy/fleet"
)

// Outlook returns the work that all groups together are expected to offer.
func (f *Fleet) Outlook() fleet.Forecast {
	f.mu.Lock()
	defer f.mu.Unlock()
	var total fleet.Forecast
	first := true
	for _, forecast := range f.plan.forecasts {
		if first {
			total, first = forecast, false
			continue
		}
		total = total.Add(forecast)
	}
	return total
}

// repeatable returns the share of routes to models whose requests may run more
// than once, 0 to 1.
func (f *Fleet) repeatable() float64 {
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

// spared reports whether each model of an engine has engines enough without
// it, one of them in its zone.
func (f *Fleet) spared(id models.EngineID) bool {
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
