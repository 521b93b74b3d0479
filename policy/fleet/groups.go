package fleet

import (
	"maps"
	"slices"
	"strings"

	"quincewinch/models"
)

// Groups returns the models of each group and the group of each engine. Engines
// that share a model, directly or transitively, belong to the same group.
func Groups(loaded map[models.EngineID][]models.Model) (map[string][]models.Model, map[models.EngineID]string) {
	parent := map[models.Model]models.Model{}
	for _, id := range slices.Sorted(maps.Keys(loaded)) {
		for _, model := range loaded[id] {
			first, other := findRoot(parent, loaded[id][0]), findRoot(parent, model)
			parent[max(first, other)] = min(first, other)
		}
	}
	members := map[models.Model][]models.Model{}
	for _, model := range slices.Sorted(maps.Keys(parent)) {
		members[findRoot(parent, model)] = append(members[findRoot(parent, model)], model)
	}
	groups := map[string][]models.Model{}
	for _, group := range members {
		groups[groupName(group)] = group
	}
	engines := map[models.EngineID]string{}
	for id, list := range loaded {
		if len(list) > 0 {
			engines[id] = groupName(members[findRoot(parent, list[0])])
		}
	}
	return groups, engines
}

func findRoot(parent map[models.Model]models.Model, model models.Model) models.Model {
	next, ok := parent[model]
	if !ok || next == model {
		return model
	}
	return findRoot(parent, next)
}

func groupName(group []models.Model) string {
	names := make([]string, 0, len(group))
	for _, model := range group {
		names = append(names, string(model))
	}
	return strings.Join(names, "+")
}
