package control

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"quincewinch/models"
	"quincewinch/policy/fleet"
)

// fullBatchGain is the decode rate of a full batch as a multiple of a single
// stream's rate, by the cost model.
const fullBatchGain = 24

// engineRates are the tokens per second of one engine.
type engineRates struct {
	prefill float64
	decode  float64
}

// estimatorKey identifies an estimator.
type estimatorKey struct {
	group string
	zone  models.Zone
}

// planView is the input of a plan.
type planView struct {
	snapshot  fleet.RoleSnapshot
	groups    map[models.EngineID]string
	splits    map[string]fleet.Split
	reachable map[models.Zone]bool
	states    map[models.EngineID]models.EngineState
	rates     engineRates // mean over all engines
}

// planRoles plans the roles of all reachable engines and starts the changes in
// the zones whose lease this daemon holds. The holders of the other zones'
// leases compute the same plan.
func (f *Fleet) planRoles(ctx context.Context, now time.Time, view planView, authorities map[models.Zone]models.Authority) {
	changes := fleet.PlanRoles(view.snapshot)
	f.storePlan(view, changes)
	for _, change := range changes {
		authority, held := authorities[change.Zone]
		desired, known := f.rows.get(change.Engine)
		if !held || !known || f.busy(change.Engine) {
			continue
		}
		next := fleet.BeginRoleChange(desired, change, now)
		if f.rows.write(ctx, authority, []models.DesiredEngine{next}) != nil {
			continue
		}
		f.record(models.EventRole, next, fmt.Sprintf("change of role from %s to %s begins", change.From, change.To), change.Why())
	}
}

// newPlanView updates the forecasts and returns a snapshot of the engines in
// reachable zones. A zone is reachable if any of its engines answers;
// otherwise it is taken to be on the other side of a network partition.
func (f *Fleet) newPlanView(now time.Time, states map[models.EngineID]models.EngineState) planView {
	desired := f.rows.all()
	loaded := map[models.EngineID][]models.Model{}
	reachable := map[models.Zone]bool{}
	for _, server := range f.servers() {
		if state, ok := states[server.Engine]; ok {
			loaded[server.Engine] = state.Models
			reachable[server.Zone] = true
		} else if row, ok := desired[server.Engine]; ok {
			loaded[server.Engine] = row.Models
		}
	}
	members, groups := fleet.Groups(loaded)
	view := planView{groups: groups, splits: map[string]fleet.Split{}, reachable: reachable, states: states, rates: groupRates(nil, states)[""]}
	for _, server := range f.servers() {
		row, known := desired[server.Engine]
		leaving := server.Leaving || !states[server.Engine].EvictionAt.IsZero()
		if !reachable[server.Zone] || groups[server.Engine] == "" || known && row.Step == models.StepBroken || leaving {
			continue
		}
		e := planEngine(server, row, states, groups[server.Engine])
		e.Frozen = !known || f.busy(server.Engine)
		view.snapshot.Engines = append(view.snapshot.Engines, e)
		view.splits[e.Group] = view.splits[e.Group].With(e.Role, 1)
	}
	view.snapshot.Forecasts = f.forecasts(now, members, groups, states, reachable)
	view.snapshot.Cost = f.settings.Cost
	view.snapshot.MinPerRole = f.peers.Configuration.Config().Fleet.MinPerRoleInZone
	return view
}

// planEngine returns an engine as the planner sees it. An engine that is
// changing is unavailable and already counts in its desired role.
func planEngine(server models.BackendServer, row models.DesiredEngine, states map[models.EngineID]models.EngineState, group string) fleet.Engine {
	state, present := states[server.Engine]
	e := fleet.Engine{
		ID:          server.Engine,
		Zone:        server.Zone,
		Group:       group,
		Role:        row.Role,
		Unavailable: !present || state.Changing || state.Draining,
	}
	if row.Engine == "" {
		e.Role = state.Role
	}
	if row.Engine != "" && row.Step != models.StepSteady {
		e.Unavailable = true
	}
	return e
}

// forecasts feeds the work of each group in each reachable zone to its
// estimator and returns the sum of the forecasts by group.
func (f *Fleet) forecasts(now time.Time, members map[string][]models.Model, groups map[models.EngineID]string, states map[models.EngineID]models.EngineState, reachable map[models.Zone]bool) map[string]fleet.Forecast {
	rates := groupRates(groups, states)
	forecasts := map[string]fleet.Forecast{}
	for name, list := range members {
		first := true
		for _, zone := range slices.Sorted(maps.Keys(reachable)) {
			estimator := f.demand.estimator(estimatorKey{group: name, zone: zone})
			estimator.Observe(now, f.demand.offeredWork(zone, list, rates[name]))
			forecast := estimator.Forecast(f.settings.Cost.Downtime)
			if !first {
				forecast = forecasts[name].Add(forecast)
			}
			forecasts[name] = forecast
			first = false
		}
	}
	return forecasts
}

// groupRates returns the mean rates of the engines of each group.
func groupRates(groups map[models.EngineID]string, states map[models.EngineID]models.EngineState) map[string]engineRates {
	sums := map[string]engineRates{}
	counts := map[string]float64{}
	for id, state := range states {
		name := groups[id]
		sum := sums[name]
		sums[name] = engineRates{prefill: sum.prefill + state.PrefillRate, decode: sum.decode + state.DecodeRate*fullBatchGain}
		counts[name]++
	}
	for name, sum := range sums {
		sums[name] = engineRates{
			prefill: max(sum.prefill/counts[name], 1),
			decode:  max(sum.decode/counts[name], 1),
		}
	}
	return sums
}

// storePlan keeps the plan for Explain, Forecast and Groups.
func (f *Fleet) storePlan(view planView, changes []fleet.RoleChange) {
	plan := rolePlan{
		forecasts: view.snapshot.Forecasts,
		groups:    view.groups,
		splits:    view.splits,
		changes:   map[models.EngineID]fleet.RoleChange{},
	}
	for _, change := range changes {
		plan.changes[change.Engine] = change
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latestPlan = plan
}
