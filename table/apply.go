package table

import (
	"cmp"
	"maps"
	"slices"

	"github.com/juju/errors"

	"quincewinch/models"
)

// Change is the replacement of one version of a row by the next. Old is the
// zero Row if the row is new.
type Change struct {
	Old models.Row
	New models.Row
}

// Apply returns the configuration that results from changes, complete through a
// revision. It copies only the maps that the changes affect and does not modify
// the given configuration. The result equals that of Build over all rows. Rows
// that do not parse are left out; the errors name each.
func Apply(c *models.Config, through models.Revision, changes []Change) (*models.Config, []error) {
	next := *c
	next.Through = through
	var errs []error
	cloned := map[Kind]bool{}
	for _, change := range changes {
		kind, _ := SplitName(change.New.Key)
		if !cloned[kind] {
			cloneMap(&next, kind)
			cloned[kind] = true
		}
		removeRow(&next, change.Old)
		if change.New.Deleted {
			continue
		}
		if err := addRow(&next, change.New); err != nil {
			errs = append(errs, errors.Annotate(err, change.New.Key.Name))
		}
	}
	if cloned[KindService] {
		sortServices(&next)
	}
	return &next, errs
}

// cloneMap replaces the map for a kind of row by a copy.
func cloneMap(c *models.Config, kind Kind) {
	switch kind {
	case KindWorkspace:
		c.Workspaces = maps.Clone(c.Workspaces)
	case KindKey:
		c.Keys = maps.Clone(c.Keys)
	case KindRoute:
		c.Routes = maps.Clone(c.Routes)
	case KindModel:
		c.Models = maps.Clone(c.Models)
	case KindBackend:
		c.Backends = maps.Clone(c.Backends)
	case KindService:
		c.Services = maps.Clone(c.Services)
		for name, backends := range c.Services {
			c.Services[name] = slices.Clone(backends)
		}
	}
}

// removeRow removes the former version of a row from a configuration.
func removeRow(c *models.Config, old models.Row) {
	if old.Revision == 0 || old.Deleted {
		return
	}
	kind, name := SplitName(old.Key)
	switch kind {
	case KindWorkspace:
		delete(c.Workspaces, models.Workspace(name))
	case KindKey:
		removeKey(c, name)
	case KindRoute:
		delete(c.Routes, name)
	case KindModel:
		delete(c.Models, models.Model(name))
	case KindBackend:
		delete(c.Backends, models.EngineID(name))
	case KindService:
		removeService(c, old)
	case KindFleet:
		c.Fleet = models.FleetLimits{}
	}
}

func removeKey(c *models.Config, name string) {
	maps.DeleteFunc(c.Keys, func(_ [32]byte, key models.Key) bool { return key.ID == models.KeyID(name) })
}

func removeService(c *models.Config, old models.Row) {
	cells, err := Parse(KindService, old.Value)
	if err != nil {
		return // an invalid row was never added
	}
	backend := serviceBackendFrom(cells)
	backends := c.Services[backend.Service]
	if i := slices.Index(backends, backend); i >= 0 {
		backends = slices.Delete(backends, i, i+1)
	}
	if len(backends) == 0 {
		delete(c.Services, backend.Service)
		return
	}
	c.Services[backend.Service] = backends
}

// sortServices sorts the backends of each service, so that their order does not
// depend on the order of the changes.
func sortServices(c *models.Config) {
	for _, backends := range c.Services {
		slices.SortFunc(backends, func(a, b models.ServiceBackend) int {
			return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.URL, b.URL))
		})
	}
}
