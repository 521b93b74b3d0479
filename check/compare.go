package check

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"unicode"

	"quincewinch/models"
)

// Change is what happens to an entry.
type Change string

// Changes.
const (
	ChangeAdded   Change = "added"
	ChangeRemoved Change = "removed"
	ChangeField   Change = "changed"
)

// Difference is a difference between two versions of a configuration.
type Difference struct {
	Subject Subject
	Change  Change
	Field   string // empty if the entry is added or removed
	Before  string
	After   string
}

// Compare returns what a configuration changes compared with the one in force, and
// what is wrong with the change itself.
func Compare(before, after *Document) ([]Difference, []Finding) {
	if before.Routing == nil || after.Routing == nil {
		return nil, nil
	}
	c := &comparison{}
	c.compareFields(Subject{Kind: KindConfiguration}, before.Routing.Limits, after.Routing.Limits)
	compareEntries(c, KindRoute, before.Routing.Routes, after.Routing.Routes, func(r models.PathRoute) string { return r.Name })
	compareEntries(c, KindService, before.Services, after.Services, func(s models.RoutedService) string { return string(s.Name) })
	c.compareWorkspaces(before.Workspaces, after.Workspaces)
	f := &findings{}
	f.about(KindConfiguration, "")
	f.errorIf(after.Routing.Version <= before.Routing.Version, "version %d does not follow version %d, which is in force", after.Routing.Version, before.Routing.Version)
	f.warnIf(len(c.list) == 0, "it changes nothing")
	for _, r := range before.Routing.Routes {
		f.about(KindRoute, r.Name)
		f.warnIf(!hasRoute(after.Routing.Routes, r), "requests that match it today match no route, or another one")
	}
	return c.list, f.list
}

// hasRoute reports whether a route with the same host and prefix exists.
func hasRoute(routes []models.PathRoute, wanted models.PathRoute) bool {
	return slices.ContainsFunc(routes, func(r models.PathRoute) bool { return r.Host == wanted.Host && r.Prefix == wanted.Prefix })
}

// comparison collects differences.
type comparison struct {
	list []Difference
}

func (c *comparison) add(subject Subject, change Change, field, before, after string) {
	c.list = append(c.list, Difference{Subject: subject, Change: change, Field: field, Before: before, After: after})
}

// compareEntries compares the entries of one kind by their names.
func compareEntries[E any](c *comparison, kind Kind, before, after []E, name func(E) string) {
	old, current := map[string]E{}, map[string]E{}
	for _, entry := range before {
		old[name(entry)] = entry
	}
	for _, entry := range after {
		current[name(entry)] = entry
	}
	for _, key := range unionOfKeys(old, current) {
		subject := Subject{Kind: kind, Name: key}
		was, existed := old[key]
		is, exists := current[key]
		switch {
		case !existed:
			c.add(subject, ChangeAdded, "", "", "")
		case !exists:
			c.add(subject, ChangeRemoved, "", "", "")
		default:
			c.compareFields(subject, was, is)
		}
	}
}

func unionOfKeys[E any](a, b map[string]E) []string {
	keys := maps.Clone(a)
	maps.Copy(keys, b)
	return slices.Sorted(maps.Keys(keys))
}

// compareFields compares the fields of two values of the same struct type.
func (c *comparison) compareFields(subject Subject, before, after any) {
	was, is := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range was.NumField() {
		if reflect.DeepEqual(was.Field(i).Interface(), is.Field(i).Interface()) {
			continue
		}
		c.add(subject, ChangeField, kebabCase(was.Type().Field(i).Name), textOf(was.Field(i)), textOf(is.Field(i)))
	}
}

// kebabCase returns the name of a Go field as the project's own formats write it.
func kebabCase(name string) string {
	var b strings.Builder
	for i, r := range name {
		if unicode.IsUpper(r) && i > 0 {
			b.WriteByte('-')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}

// textOf returns a value as text, the values that pointers refer to included.
func textOf(v reflect.Value) string {
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return "none"
		}
		v = v.Elem()
	}
	return fmt.Sprintf("%+v", v.Interface())
}

// compareWorkspaces compares workspaces by name. Keys are counted, never shown.
func (c *comparison) compareWorkspaces(before, after []Workspace) {
	old, current := keysByWorkspace(before), keysByWorkspace(after)
	limits, nextLimits := limitsByWorkspace(before), limitsByWorkspace(after)
	ranks, nextRanks := ranksByWorkspace(before), ranksByWorkspace(after)
	for _, name := range unionOfKeys(old, current) {
		subject := Subject{Kind: KindWorkspace, Name: name}
		was, existed := old[name]
		is, exists := current[name]
		switch {
		case !existed:
			c.add(subject, ChangeAdded, "", "", "")
		case !exists:
			c.add(subject, ChangeRemoved, "", "", "")
		default:
			if !maps.Equal(was, is) {
				c.add(subject, ChangeField, "keys", keyCount(was, is, "withdrawn"), keyCount(is, was, "given"))
			}
			if before, after := ranks[name], nextRanks[name]; before != after {
				c.add(subject, ChangeField, "rank", before, after)
			}
			c.compareFields(subject, limits[name], nextLimits[name])
		}
	}
}

func ranksByWorkspace(list []Workspace) map[string]string {
	ranks := map[string]string{}
	for _, w := range list {
		ranks[string(w.Name)] = "none"
		if w.Rank != nil {
			ranks[string(w.Name)] = strconv.Itoa(*w.Rank)
		}
	}
	return ranks
}

func limitsByWorkspace(list []Workspace) map[string]models.RateLimit {
	limits := map[string]models.RateLimit{}
	for _, w := range list {
		limits[string(w.Name)] = w.Limit
	}
	return limits
}

func keysByWorkspace(list []Workspace) map[string]map[[sha256.Size]byte]bool {
	keys := map[string]map[[sha256.Size]byte]bool{}
	for _, w := range list {
		name := string(w.Name)
		if keys[name] == nil {
			keys[name] = map[[sha256.Size]byte]bool{}
		}
		for _, key := range w.Keys {
			keys[name][key] = true
		}
	}
	return keys
}

// keyCount describes the keys of one version, with how many of them the other lacks.
func keyCount(keys, other map[[sha256.Size]byte]bool, verb string) string {
	missing := 0
	for key := range keys {
		if !other[key] {
			missing++
		}
	}
	return fmt.Sprintf("%d keys, %d %s", len(keys), missing, verb)
}
