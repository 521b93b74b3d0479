package fleet

import (
	"fmt"
	"slices"
	"strings"

	"quincewinch/models"
)

// cacheShare is the share of an engine's memory that is reserved for KV caches;
// model weights may use the rest.
const cacheShare = 0.25

// ModelEngine is an engine in a ModelSnapshot.
type ModelEngine struct {
	ID          models.EngineID
	Zone        models.Zone
	Models      []models.Model // desired
	Pieces      int            // total memory, in pieces
	Unavailable bool           // takes no work at present
	Frozen      bool           // no change may be started
}

// ModelSnapshot is the input of PlanModels.
type ModelSnapshot struct {
	Engines []ModelEngine
	Plans   map[models.Model]models.ModelPlan
	Offered map[models.Model]float64 // engines kept busy by each model's work
}

// ModelChange is the decision to load a model on an engine and to unload others
// to make room for it.
type ModelChange struct {
	Engine models.EngineID
	Zone   models.Zone
	Load   models.Model
	Unload []models.Model
	Why    string
}

// PlanModels returns the loads to carry out, the most popular model first. The
// caller starts as many as the weight store's budget allows and defers the
// rest.
func PlanModels(s ModelSnapshot) []ModelChange {
	s.Engines = slices.Clone(s.Engines)
	slices.SortFunc(s.Engines, func(a, b ModelEngine) int { return strings.Compare(string(a.ID), string(b.ID)) })
	var changes []ModelChange
	for _, model := range s.byPopularity() {
		for s.hotEngines(model) < s.Plans[model].MinHot {
			change, ok := s.place(model, fmt.Sprintf("%d engines have it loaded for %d wanted", s.hotEngines(model), s.Plans[model].MinHot))
			if !ok {
				break
			}
			changes = append(changes, change)
		}
	}
	return append(changes, s.fillEmptyEngines()...)
}

// byPopularity lists the planned models in descending order of offered work.
func (s ModelSnapshot) byPopularity() []models.Model {
	var list []models.Model
	for model := range s.Plans {
		list = append(list, model)
	}
	slices.SortFunc(list, func(a, b models.Model) int {
		if order := compareFloats(s.Offered[b], s.Offered[a]); order != 0 {
			return order
		}
		return strings.Compare(string(a), string(b))
	})
	return list
}

// fillEmptyEngines loads on each engine without a model the model that has the
// most work per engine.
func (s ModelSnapshot) fillEmptyEngines() []ModelChange {
	var changes []ModelChange
	for i, e := range s.Engines {
		if len(e.Models) > 0 || e.Unavailable || e.Frozen {
			continue
		}
		model, ok := s.scarcest(e)
		if !ok {
			continue
		}
		s.Engines[i].Models = []models.Model{model}
		changes = append(changes, ModelChange{
			Engine: e.ID,
			Zone:   e.Zone,
			Load:   model,
			Why:    fmt.Sprintf("the engine has no model, and the work for %s keeps %.1f engines busy", model, s.Offered[model]),
		})
	}
	return changes
}

// scarcest returns the model that would have the most work per engine after
// being loaded on e, among those that fit.
func (s ModelSnapshot) scarcest(e ModelEngine) (models.Model, bool) {
	var best models.Model
	highest := -1.0
	for _, model := range s.byPopularity() {
		if !s.fits(e, nil, model) {
			continue
		}
		if load := s.Offered[model] / float64(1+s.hotEngines(model)); load > highest {
			best, highest = model, load
		}
	}
	return best, highest >= 0
}

// hotEngines counts the engines that have a model loaded or are about to load
// it.
func (s ModelSnapshot) hotEngines(model models.Model) int {
	count := 0
	for _, e := range s.Engines {
		if slices.Contains(e.Models, model) {
			count++
		}
	}
	return count
}

// place picks the engine with the lowest placement cost for one more copy of a
// model and adds the load to the snapshot.
func (s ModelSnapshot) place(model models.Model, why string) (ModelChange, bool) {
	best, bestCost := -1, 0
	var bestUnload []models.Model
	for i, e := range s.Engines {
		if e.Unavailable || e.Frozen || slices.Contains(e.Models, model) || !s.modelsStayServed(e) {
			continue
		}
		unload, ok := s.selectUnloads(e, model)
		if !ok {
			continue
		}
		if cost := s.placementCost(e, unload, model); best < 0 || cost < bestCost {
			best, bestCost, bestUnload = i, cost, unload
		}
	}
	if best < 0 {
		return ModelChange{}, false
	}
	e := &s.Engines[best]
	e.Models = append(without(e.Models, bestUnload), model)
	e.Frozen = true
	return ModelChange{Engine: e.ID, Zone: e.Zone, Load: model, Unload: bestUnload, Why: why}, true
}

// placementCost ranks engines for a load: first by the number of models to
// unload, then empty ones before others, then those in a zone that does not
// have the model yet.
func (s ModelSnapshot) placementCost(e ModelEngine, unload []models.Model, model models.Model) int {
	cost := 4 * len(unload)
	if len(e.Models) > 0 {
		cost += 2
	}
	for _, other := range s.Engines {
		if other.Zone == e.Zone && slices.Contains(other.Models, model) {
			return cost + 1
		}
	}
	return cost
}

// modelsStayServed reports whether another working engine serves each of an
// engine's models while this one is unavailable.
func (s ModelSnapshot) modelsStayServed(e ModelEngine) bool {
	for _, model := range e.Models {
		working := 0
		for _, other := range s.Engines {
			if other.ID != e.ID && !other.Unavailable && !other.Frozen && slices.Contains(other.Models, model) {
				working++
			}
		}
		if working == 0 {
			return false
		}
	}
	return true
}

// selectUnloads returns the models to unload from an engine so that a model
// fits, the least popular first. It keeps models that would fall below MinHot
// and models more popular than the one to load.
func (s ModelSnapshot) selectUnloads(e ModelEngine, model models.Model) ([]models.Model, bool) {
	var unload []models.Model
	ranked := s.byPopularity()
	slices.Reverse(ranked)
	for _, other := range ranked {
		if s.fits(e, unload, model) {
			break
		}
		if slices.Contains(e.Models, other) && s.hotEngines(other) > s.Plans[other].MinHot && s.Offered[other] <= s.Offered[model] {
			unload = append(unload, other)
		}
	}
	return unload, s.fits(e, unload, model)
}

// fits reports whether a model's weights fit beside those that are not
// unloaded.
func (s ModelSnapshot) fits(e ModelEngine, unload []models.Model, model models.Model) bool {
	pieces := s.Plans[model].Pieces
	for _, loaded := range without(e.Models, unload) {
		pieces += s.Plans[loaded].Pieces
	}
	return float64(pieces) <= (1-cacheShare)*float64(e.Pieces)
}

func without(list, drop []models.Model) []models.Model {
	return slices.DeleteFunc(slices.Clone(list), func(m models.Model) bool { return slices.Contains(drop, m) })
}
