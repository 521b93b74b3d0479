// Package naive holds the simplest version of each decision. Differential
// tests and benchmarks run the real ones against it.
package naive

import (
	"slices"

	"quincewinch/models"
)

// RoundRobin takes engines in turn, whatever their load.
type RoundRobin struct {
	next int
}

// Choose returns the next engine of those given, false if there is none.
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
