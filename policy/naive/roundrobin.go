// Package naive holds the simplest version of each policy, as a baseline for
// differential tests and benchmarks of the real ones.
package naive

import (
	"slices"

	"quincewinch/models"
)

// RoundRobin chooses engines in turn, regardless of their load.
type RoundRobin struct {
	next int
}

// Choose returns the next of the given engines, and reports false if there are
// none.
func (r *RoundRobin) Choose(servers []models.BackendServer) (models.BackendServer, bool) {
	if len(servers) == 0 {
		return models.BackendServer{}, false
	}
	sorted := slices.SortedFunc(slices.Values(servers), func(a, b models.BackendServer) int {
		if a.Engine < b.Engine {
			return -1
		}
		return 1
	})
	r.next++
	return sorted[r.next%len(sorted)], true
}
