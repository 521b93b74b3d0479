package control_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
)

const coldModel = models.Model("stock")

// setModelPlans sets the model plans and the load limit of the configuration.
func setModelPlans(w *world, loadsPerMinute float64, plans ...models.ModelPlan) {
	w.config.Models = map[models.Model]models.ModelPlan{}
	w.config.Fleet.LoadsPerMinute = loadsPerMinute
	for _, plan := range plans {
		w.config.Models[plan.Model] = plan
	}
}

// countLoaded counts the engines that have a model loaded.
func countLoaded(w *world, model models.Model) int {
	count := 0
	for _, state := range (visibleStates{world: w}).States() {
		for _, other := range state.Models {
			if other == model {
				count++
			}
		}
	}
	return count
}

func TestColdModelIsLoadedWithinTheBudget(t *testing.T) {
	runSimulation(t, engineCount, func(t *testing.T, w *world) {
		is := is.New(t)
		setModelPlans(w, 2, models.ModelPlan{Model: model, Pieces: 512, MinHot: 2}, models.ModelPlan{Model: coldModel, Pieces: 256, MinHot: 4})
		fleet := w.newFleet("entry-1", w.leases.current(), nil)
		w.run(t, 70, fleet)
		is.True(countLoaded(w, coldModel) <= 2) // the limit is two loads a minute
		waits := w.ring.Events(models.EventFilter{Kind: models.EventFleet})
		is.True(strings.Contains(waits[0].What, "load of stock waits for 30s"))
		w.run(t, 120, fleet)
		is.Equal(countLoaded(w, coldModel), 4)
		is.Equal(countLoaded(w, model), engineCount)
		assertWorking(t, w)
	})
}

func TestEmptyEngineGetsAModel(t *testing.T) {
	runSimulation(t, engineCount, func(t *testing.T, w *world) {
		is := is.New(t)
		setModelPlans(w, 6, models.ModelPlan{Model: model, Pieces: 512, MinHot: 2})
		w.addWith("engine-new", "zone-0", models.RoleBoth, nil)
		fleet := w.newFleet("entry-1", w.leases.current(), nil)
		w.run(t, 90, fleet)
		is.Equal(countLoaded(w, model), engineCount+1)
		assertWorking(t, w)
	})
}

func TestFailedLoadIsUndone(t *testing.T) {
	runSimulation(t, engineCount, func(t *testing.T, w *world) {
		is := is.New(t)
		setModelPlans(w, 6, models.ModelPlan{Model: model, Pieces: 512, MinHot: 2}, models.ModelPlan{Model: coldModel, Pieces: 256, MinHot: 1})
		fleet := w.newFleet("entry-1", w.leases.current(), nil)
		w.run(t, 5, fleet)
		for id, e := range w.engines {
			w.faulty[id] = silentEngine{e, coldModel}
		}
		w.run(t, 60, fleet)
		w.config.Models[coldModel] = models.ModelPlan{Model: coldModel, Pieces: 256} // the operator no longer wants it
		w.run(t, 120, fleet)
		is.Equal(countLoaded(w, coldModel), 0) // unloaded after the check failed
		assertWorking(t, w)
		is.NoErr(w.clock.Sleep(t.Context(), time.Second))
	})
}
