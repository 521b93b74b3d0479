package trace

import (
	"quincewinch/models"
	"quincewinch/policy/fleet"
	"quincewinch/policy/naive"
)

// horizon is the lead time of forecasts: the time until a change that is based
// on them has taken effect.
const horizon = observationLag*Tick + changeTicks*Tick

// Planned is the strategy that uses fleet.PlanRoles.
type Planned struct {
	estimators map[int]*fleet.Estimator // by zone
}

// NewPlanned returns a Planned strategy without observations.
func NewPlanned() *Planned {
	return &Planned{estimators: map[int]*fleet.Estimator{}}
}

// Choose implements Strategy.
func (p *Planned) Choose(view View) []fleet.RoleChange {
	var forecast fleet.Forecast
	for i, zone := range view.Zones {
		e, ok := p.estimators[zone]
		if !ok {
			e = fleet.NewEstimator()
			p.estimators[zone] = e
		}
		e.Observe(view.At, view.Offered[i])
		if i == 0 {
			forecast = e.Forecast(horizon)
			continue
		}
		forecast = forecast.Add(e.Forecast(horizon))
	}
	return fleet.PlanRoles(fleet.RoleSnapshot{
		Engines:    view.Engines,
		Forecasts:  map[string]fleet.Forecast{groupName: forecast},
		Cost:       RoleChangeCost,
		MinPerRole: 1,
	})
}

// Fixed is the strategy that keeps the baseline split.
type Fixed struct{}

// Choose implements Strategy.
func (Fixed) Choose(View) []fleet.RoleChange {
	return nil
}

// Greedy is the strategy that changes a role whenever the ratio of the queues
// crosses a threshold.
type Greedy struct{}

// Choose implements Strategy.
func (Greedy) Choose(view View) []fleet.RoleChange {
	var work fleet.Work
	for _, offered := range view.Offered {
		work = work.Add(offered)
	}
	from, to := naive.ChangeByQueues(queues(view, work))
	for _, e := range view.Engines {
		if from != "" && e.Role == from && !e.Unavailable {
			return []fleet.RoleChange{{Engine: e.ID, Zone: e.Zone, From: from, To: to}}
		}
	}
	return nil
}

// queues returns the load per engine of each role. Engines that are changing
// count in their new role.
func queues(view View, work fleet.Work) (prefill, decode float64) {
	engines := map[models.Role]float64{}
	for _, e := range view.Engines {
		engines[e.Role]++
	}
	return work.Prefill / max(engines[models.RolePrefill], 0.5), work.Decode / max(engines[models.RoleDecode], 0.5)
}
