package control

import (
	"context"
	"fmt"
	"time"

	"quincewinch/models"
	"quincewinch/policy/fleet"
)

// loadBudget is this holder's part of what the weight store can serve: the
// limit of the table divided among the zones, so that all holders together
// keep to it.
type loadBudget struct {
	left    float64
	filled  time.Time
	perMin  float64
	holding int // zones in charge
}

// refill adds what has become free since the last step. A new holder starts
// with nothing, since it does not know what the one before it spent.
func (b *loadBudget) refill(now time.Time, perMinute float64, zones, held int) {
	b.perMin = perMinute * float64(held) / float64(max(zones, 1))
	if held != b.holding || b.filled.IsZero() {
		b.holding, b.left, b.filled = held, 0, now
		return
	}
	b.left = min(b.left+now.Sub(b.filled).Minutes()*b.perMin, max(b.perMin, 1))
	b.filled = now
}

// wait returns how long it takes until one load is allowed.
func (b *loadBudget) wait() time.Duration {
	if b.left >= 1 || b.perMin <= 0 {
		return 0
	}
	return time.Duration((1 - b.left) / b.perMin * float64(time.Minute))
}

// planModels begins the loads that are wanted and that the weight store's
// budget allows.
func (f *Fleet) planModels(ctx context.Context, now time.Time, view roleView, authorities map[models.Zone]models.Authority) {
	config := f.peers.Configuration.Config()
	f.budget.refill(now, config.Fleet.LoadsPerMinute, len(view.reached), len(authorities))
	for _, change := range fleet.PlanModels(f.modelSnapshot(view)) {
		authority, ours := authorities[change.Zone]
		desired, known := f.rows.get(change.Engine)
		if !ours || !known || f.busy(change.Engine) {
			continue
		}
		if f.budget.left < 1 {
			f.noteWait(change)
			continue
		}
		next := fleet.BeginModelChange(desired, change, now)
		if f.rows.write(ctx, authority, []models.DesiredEngine{next}) != nil {
			continue
		}
		f.budget.left--
		delete(f.waits, change.Load)
		f.record(models.EventFleet, next, fmt.Sprintf("load of %s begins", change.Load), next.Why)
	}
}

// modelSnapshot lists the engines in reach, what they ought to have loaded,
// and the work offered for each model.
func (f *Fleet) modelSnapshot(view roleView) fleet.ModelSnapshot {
	config := f.peers.Configuration.Config()
	snapshot := fleet.ModelSnapshot{Plans: config.Models, Offered: map[models.Model]float64{}}
	for zone := range view.reached {
		for model := range config.Models {
			snapshot.Offered[model] += f.demand.work(zone, []models.Model{model}, view.rates).Total()
		}
	}
	desired := f.rows.all()
	for _, server := range f.servers() {
		row, known := desired[server.Engine]
		state, present := view.states[server.Engine]
		leaves := server.Leaving || !state.EvictionAt.IsZero()
		if !view.reached[server.Zone] || leaves || !known || row.Step == models.StepBroken {
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

// noteWait tells once how long a cold model has to wait.
func (f *Fleet) noteWait(change fleet.ModelChange) {
	if f.waits[change.Load] {
		return
	}
	f.waits[change.Load] = true
	f.peers.Timeline.Record(models.Event{
		Kind:   models.EventFleet,
		Engine: change.Engine,
		Lease:  models.EngineLease(change.Zone),
		What:   fmt.Sprintf("load of %s waits for %s", change.Load, f.budget.wait().Round(time.Second)),
		Why:    fmt.Sprintf("%s; the weight store's part for this holder is %.2f loads a minute", change.Why, f.budget.perMin),
	})
}
