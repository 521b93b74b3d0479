package fleet_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/policy/fleet"
)

func modelEngines(pieces int, lists ...[]models.Model) []fleet.ModelEngine {
	var list []fleet.ModelEngine
	for i, loaded := range lists {
		list = append(list, fleet.ModelEngine{
			ID:     models.EngineID("engine-" + strconv.Itoa(100+i)),
			Zone:   models.Zone("zone-" + strconv.Itoa(i%2)),
			Models: loaded,
			Pieces: pieces,
		})
	}
	return list
}

func plans(minHot int, names ...models.Model) map[models.Model]models.ModelPlan {
	list := map[models.Model]models.ModelPlan{}
	for _, name := range names {
		list[name] = models.ModelPlan{Model: name, Pieces: 500, MinHot: minHot}
	}
	return list
}

func TestPlanModels(t *testing.T) {
	oak := []models.Model{"oak"}
	t.Run("loads popular models first", func(t *testing.T) {
		is := is.New(t)
		changes := fleet.PlanModels(fleet.ModelSnapshot{
			Engines: modelEngines(2048, oak, oak, oak),
			Plans:   plans(1, "oak", "ash", "elm"),
			Offered: map[models.Model]float64{"elm": 2, "ash": 1},
		})
		is.Equal(len(changes), 2)
		is.Equal(changes[0].Load, models.Model("elm"))
	})
	t.Run("keeps the last engine of a model", func(t *testing.T) {
		is := is.New(t)
		is.Equal(len(fleet.PlanModels(fleet.ModelSnapshot{
			Engines: modelEngines(2048, oak),
			Plans:   plans(1, "oak", "ash"),
		})), 0)
	})
	t.Run("unloads a less popular model", func(t *testing.T) {
		is := is.New(t)
		both := []models.Model{"ash", "elm"}
		changes := fleet.PlanModels(fleet.ModelSnapshot{
			Engines: modelEngines(1400, both, both, both),
			Plans:   plans(1, "oak", "ash", "elm"),
			Offered: map[models.Model]float64{"oak": 3, "ash": 2, "elm": 1},
		})
		is.Equal(len(changes), 1)
		is.Equal(changes[0].Unload, []models.Model{"elm"})
	})
}

// For random loads, checks that a plan never exceeds an engine's memory and
// never changes the last engine that serves a model.
func TestPlanModelsRespectsMemoryAndLastEngine(t *testing.T) {
	random := rand.New(rand.NewPCG(6, 9))
	names := []models.Model{"oak", "ash", "elm", "fir"}
	planned := 0
	for range 10000 {
		is := is.New(t)
		var lists [][]models.Model
		for range 1 + random.IntN(6) {
			var list []models.Model
			for _, name := range names {
				if random.IntN(3) == 0 && len(list) < 2 {
					list = append(list, name)
				}
			}
			lists = append(lists, list)
		}
		s := fleet.ModelSnapshot{
			Engines: modelEngines(1400, lists...),
			Plans:   plans(random.IntN(4), names...),
			Offered: map[models.Model]float64{"oak": random.Float64(), "ash": random.Float64()},
		}
		changes := fleet.PlanModels(s)
		planned += len(changes)
		changed := map[models.EngineID]bool{}
		for _, c := range changes {
			changed[c.Engine] = true
			i := slices.IndexFunc(s.Engines, func(e fleet.ModelEngine) bool { return e.ID == c.Engine })
			is.True(len(s.Engines[i].Models)-len(c.Unload)+1 <= 2) // the memory holds two models beside the KV caches
		}
		for _, name := range names {
			before, left := 0, 0
			for _, e := range s.Engines {
				if slices.Contains(e.Models, name) {
					before++
					if !changed[e.ID] {
						left++
					}
				}
			}
			is.True(before == 0 || left > 0) // the last engine is not changed
		}
	}
	is.New(t).True(planned > 1000)
}
