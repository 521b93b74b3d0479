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

// fullBatchGain is what a full batch decodes in a second over one stream's
// rate, by the cost model.
const fullBatchGain = 24

// engineRates are the tokens that one engine does in a second.
type engineRates struct {
	prefill float64
	decode  float64
}

// estimatorKey names an estimator.
type estimatorKey struct {
	group string
	zone  models.Zone
}

// roleView is what roles are planned from.
type roleView struct {
	snapshot fleet.RoleSnapshot
	groups   map[models.EngineID]string
	splits   map[string]fleet.Split
	reached  map[models.Zone]bool
	states   map[models.EngineID]models.EngineState
	rates    engineRates // mean of all engines
}

// planRoles plans for all engines in reach, and begins the changes of those in
// charge: the holders of the other zones' leases come to the same plan.
func (f *Fleet) planRoles(ctx context.Context, now time.Time, view roleView, authorities map[models.Zone]models.Authority) {
	changes := fleet.PlanRoles(view.snapshot)
	f.remember(view, changes)
	for _, change := range changes {
		authority, ours := authorities[change.Zone]
		desired, known := f.rows.get(change.Engine)
		if !ours || !known || f.busy(change.Engine) {
			continue
		}
		next := fleet.BeginRoleChange(desired, change, now)
		if f.rows.write(ctx, authority, []models.DesiredEngine{next}) != nil {
			continue
		}
		f.record(models.EventRole, next, fmt.Sprintf("change of role from %s to %s begins", change.From, change.To), change.Why())
	}
}

// view follows the work offered and makes the snapshot of the engines in
// reach. Zones none of whose engines answers are on the other side of a
// partition.
func (f *Fleet) view(now time.Time, states map[models.EngineID]models.EngineState) roleView {
	desired := f.rows.all()
	loaded := map[models.EngineID][]models.Model{}
	reached := map[models.Zone]bool{}
	for _, server := range f.servers() {
		if state, ok := states[server.Engine]; ok {
			loaded[server.Engine] = state.Models
			reached[server.Zone] = true
		} else if row, ok := desired[server.Engine]; ok {
			loaded[server.Engine] = row.Models
		}
	}
	members, groups := fleet.Groups(loaded)
	view := roleView{groups: groups, splits: map[string]fleet.Split{}, reached: reached, states: states, rates: groupRates(nil, states)[""]}
	for _, server := range f.servers() {
		row, known := desired[server.Engine]
		leaves := server.Leaving || !states[server.Engine].EvictionAt.IsZero()
		if !reached[server.Zone] || groups[server.Engine] == "" || known && row.Step == models.StepBroken || leaves {
			continue
		}
		e := planEngine(server, row, states, groups[server.Engine])
		e.Frozen = !known || f.busy(server.Engine)
		view.snapshot.Engines = append(view.snapshot.Engines, e)
		view.splits[e.Group] = view.splits[e.Group].With(e.Role, 1)
	}
	view.snapshot.Forecasts = f.forecasts(now, members, groups, states, reached)
	view.snapshot.Cost = f.settings.Cost
	view.snapshot.MinPerRole = f.peers.Configuration.Config().Fleet.MinPerRoleInZone
	return view
}

// planEngine returns an engine as the plan sees it: an engine that changes is
// away, in the role that it will have.
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

// forecasts follows the work of each group in each zone in reach, and sums it.
func (f *Fleet) forecasts(now time.Time, members map[string][]models.Model, groups map[models.EngineID]string, states map[models.EngineID]models.EngineState, reached map[models.Zone]bool) map[string]fleet.Forecast {
	rates := groupRates(groups, states)
	forecasts := map[string]fleet.Forecast{}
	for name, list := range members {
		first := true
		for _, zone := range slices.Sorted(maps.Keys(reached)) {
			estimator := f.demand.estimator(estimatorKey{group: name, zone: zone})
			estimator.Observe(now, f.demand.work(zone, list, rates[name]))
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

// remember keeps the plan for those who ask why.
func (f *Fleet) remember(view roleView, changes []fleet.RoleChange) {
	plan := planned{
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
	f.plan = plan
}
