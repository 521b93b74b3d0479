package control

import (
	"context"
	"fmt"
	"time"

	"quincewinch/models"
	"quincewinch/policy/fleet"
)

// loadBudget limits the rate of model loads to this holder's share of what the
// weight store can serve. The table's limit is divided evenly among the zones,
// so that all holders together stay within it.
type loadBudget struct {
	available  float64
	refilledAt time.Time
	perMinute  float64
	zonesHeld  int // at the last refill
}

// refill adds the budget accrued since the last step. It starts from zero when
// the number of held zones changes, since a new holder does not know what the
// previous one spent.
func (b *loadBudget) refill(now time.Time, tablePerMinute float64, zones, zonesHeld int) {
	b.perMinute = tablePerMinute * float64(zonesHeld) / float64(max(zones, 1))
	if zonesHeld != b.zonesHeld || b.refilledAt.IsZero() {
		b.zonesHeld, b.available, b.refilledAt = zonesHeld, 0, now
		return
	}
	b.available = min(b.available+now.Sub(b.refilledAt).Minutes()*b.perMinute, max(b.perMinute, 1))
	b.refilledAt = now
}

// wait returns the time until the next load is allowed.
func (b *loadBudget) wait() time.Duration {
	if b.available >= 1 || b.perMinute <= 0 {
		return 0
	}
	return time.Duration((1 - b.available) / b.perMinute * float64(time.Minute))
}

// planModels starts the planned loads that the budget of the weight store
// allows.
func (f *Fleet) planModels(ctx context.Context, now time.Time, view planView, authorities map[models.Zone]models.Authority) {
	config := f.peers.Configuration.Config()
	f.budget.refill(now, config.Fleet.LoadsPerMinute, len(view.reachable), len(authorities))
	for _, change := range fleet.PlanModels(f.modelSnapshot(view)) {
		authority, held := authorities[change.Zone]
		desired, known := f.rows.get(change.Engine)
		if !held || !known || f.busy(change.Engine) {
			continue
		}
		if f.budget.available < 1 {
			f.recordWait(change)
			continue
		}
		next := fleet.BeginModelChange(desired, change, now)
		if f.rows.write(ctx, authority, []models.DesiredEngine{next}) != nil {
			continue
		}
		f.budget.available--
		delete(f.waitRecorded, change.Load)
		f.record(models.EventFleet, next, fmt.Sprintf("load of %s begins", change.Load), next.Why)
	}
}

// modelSnapshot returns the engines in reachable zones with their desired
// models, and the work offered for each model.
func (f *Fleet) modelSnapshot(view planView) fleet.ModelSnapshot {
	config := f.peers.Configuration.Config()
	snapshot := fleet.ModelSnapshot{Plans: config.Models, Offered: map[models.Model]float64{}}
	for zone := range view.reachable {
		for model := range config.Models {
			snapshot.Offered[model] += f.demand.offeredWork(zone, []models.Model{model}, view.rates).Total()
		}
	}
	desired := f.rows.all()
	for _, server := range f.servers() {
		row, known := desired[server.Engine]
		state, present := view.states[server.Engine]
		leaving := server.Leaving || !state.EvictionAt.IsZero()
		if !view.reachable[server.Zone] || leaving || !known || row.Step == models.StepBroken {
			continue
		}
		steady := present && row.Step == models.StepSteady && !state.Changing && !state.Draining
		snapshot.Engines = append(snapshot.Engines, fleet.ModelEngine{
			ID:          server.Engine,
			Zone:        server.Zone,
			Models:      row.Models,
			Pieces:      state.TotalPieces,
			Unavailable: !steady,
			Frozen:      f.busy(server.Engine),
		})
	}
	return snapshot
}

// recordWait records once on the time line how long the load of a model has to
// wait.
func (f *Fleet) recordWait(change fleet.ModelChange) {
	if f.waitRecorded[change.Load] {
		return
	}
	f.waitRecorded[change.Load] = true
	f.peers.Timeline.Record(models.Event{
		Kind:   models.EventFleet,
		Engine: change.Engine,
		Lease:  models.EngineLease(change.Zone),
		What:   fmt.Sprintf("load of %s waits for %s", change.Load, f.budget.wait().Round(time.Second)),
		Why:    fmt.Sprintf("%s; the weight store's part for this holder is %.2f loads a minute", change.Why, f.budget.perMinute),
	})
}
