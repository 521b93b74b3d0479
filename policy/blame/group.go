package blame

import (
	"maps"
	"time"

	"quincewinch/models"
)

// minGroup is the number of engines that crash together, each on another request, from
// which what these requests have in common is the reason.
const minGroup = 3

// group is a set of crashes that follow each other so fast that they have one reason.
type group struct {
	// common is the only part that a request of each of the crashes has; 0 if there is
	// none, or more than one.
	common models.PartID
	// counted are the requests of the crashes that were counted against common.
	counted map[uint64]bool
}

// groups returns the groups of crashes, by the index of their crashes. Engines of a zone, a
// host or a release fail together too. So what was served before the crashes is not the
// reason of a group, nor a request as a whole, nor a part that prompts begin with, which
// all requests of a kind may share.
func groups(crashes []Crash, sound map[models.PartID]time.Time) []*group {
	list := make([]*group, len(crashes))
	for first := 0; first < len(crashes); {
		end := first + 1
		for end < len(crashes) && crashes[end].At.Sub(crashes[first].At) < minSeparation {
			end++
		}
		g := &group{common: common(crashes[first:end], sound), counted: map[uint64]bool{}}
		for i := first; i < end; i++ {
			list[i] = g
		}
		first = end
	}
	return list
}

// common returns the only part that may be the reason and that requests of all crashes
// have, if enough engines crashed on different requests with it; 0 if there is none.
func common(crashes []Crash, sound map[models.PartID]time.Time) models.PartID {
	if len(crashes) < minGroup {
		return 0
	}
	shared := partsOf(crashes[0], sound)
	for _, crash := range crashes[1:] {
		parts := partsOf(crash, sound)
		for id := range shared {
			first, ok := parts[id]
			shared[id] = shared[id] || first
			if !ok {
				delete(shared, id)
			}
		}
	}
	if len(shared) != 1 {
		return 0
	}
	for id, first := range shared {
		if !first && enginesByRequest(crashes, id) >= minGroup {
			return id
		}
	}
	return 0
}

// partsOf returns the parts of the requests that a crash broke off which were never
// served, and whether a prompt begins with them. A crash on a blocked request has a reason
// of its own.
func partsOf(crash Crash, sound map[models.PartID]time.Time) map[models.PartID]bool {
	first := map[models.PartID]bool{}
	if crash.byRuns {
		return first
	}
	served := map[models.PartID]bool{}
	for _, run := range crash.Runs {
		for position, part := range run.Parts {
			at, ok := sound[part.ID]
			if part.Whole || ok && !crash.At.After(at) {
				continue
			}
			first[part.ID] = first[part.ID] || position == 0
			served[part.ID] = served[part.ID] || part.Served
		}
	}
	maps.DeleteFunc(first, func(id models.PartID, _ bool) bool { return served[id] })
	return first
}

// enginesByRequest returns the number of different engines that crashed, each on a
// request with a part that was at none of those counted before.
func enginesByRequest(crashes []Crash, id models.PartID) int {
	engines := map[models.EngineID]bool{}
	requests := map[uint64]bool{}
	for _, crash := range crashes {
		if engines[crash.Process.Engine] {
			continue
		}
		if key, ok := newRequest(crash, id, requests); ok {
			engines[crash.Process.Engine] = true
			requests[key] = true
		}
	}
	return len(engines)
}

// newRequest returns a request with a part that a crash broke off and that is not among
// others; ok is false if there is none.
func newRequest(crash Crash, id models.PartID, others map[uint64]bool) (key uint64, ok bool) {
	for _, run := range crash.Runs {
		for _, part := range run.Parts {
			if part.ID != id {
				continue
			}
			if key := run.key(part); !others[key] {
				return key, true
			}
		}
	}
	return 0, false
}

// separate reports whether a crash of the group counts against a part by itself: for a
// request that no crash of the group has been counted for. It notes that request.
func (g *group) separate(crash Crash, part models.PartID) bool {
	if part != g.common {
		return false
	}
	key, ok := newRequest(crash, part, g.counted)
	if ok {
		g.counted[key] = true
	}
	return ok
}
