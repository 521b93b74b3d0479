package main

import (
	"fmt"
	"slices"
	"strings"
)

// objections returns what in a run differs from the list, in order; none if
// exactly the listed tests failed.
func objections(list []entry, r *results) []string {
	var found []string
	object := func(format string, arguments ...any) {
		found = append(found, fmt.Sprintf(format, arguments...))
	}
	listed := make(map[testID]bool)
	for _, e := range list {
		listed[e.id] = true
		switch o, ran := r.tests[e.id]; {
		case !ran:
			object("listed, but did not run: %s", e.id)
		case o == passed:
			object("listed, but passed: %s", e.id)
		case o == skipped:
			object("listed, but was skipped: %s", e.id)
		}
	}
	if len(r.tests) == 0 {
		object("no test ran")
	}
	broken := make(map[string]bool)
	for id, o := range r.tests {
		switch o {
		case "":
			object("did not end: %s", id)
		case failed:
			broken[id.importPath] = true
			if !listed[id] && !failedBelow(id, r) {
				object("failed: %s", id)
			}
		}
	}
	for id := range r.races {
		if !listed[id] {
			object("data race, not in a listed test: %s", strings.TrimSpace(id.String()))
		}
	}
	for importPath, p := range r.packages {
		switch {
		case p.outcome == "":
			object("package did not end: %s", importPath)
		case p.outcome == failed && !p.ranToEnd:
			object("package broke off (build, panic, timeout or exit): %s", importPath)
		case p.outcome == failed && !broken[importPath]:
			object("package failed though no test did: %s", importPath)
		}
	}
	for _, importPath := range r.builds {
		object("does not build: %s", importPath)
	}
	slices.Sort(found)
	return found
}

// failedBelow reports whether a subtest failed, and its test with it.
func failedBelow(id testID, r *results) bool {
	for other, o := range r.tests {
		if o == failed && other.importPath == id.importPath && strings.HasPrefix(other.test, id.test+"/") {
			return true
		}
	}
	return false
}
