package table

import (
	"encoding/hex"
	"slices"

	"github.com/juju/errors"

	"quincewinch/models"
)

// NewConfig returns an empty configuration.
func NewConfig() *models.Config {
	return &models.Config{
		Workspaces: map[models.Workspace]models.WorkspaceSettings{},
		Keys:       map[[32]byte]models.Key{},
		Routes:     map[string]models.Route{},
		Models:     map[models.Model]models.ModelPlan{},
		Backends:   map[models.EngineID]models.BackendServer{},
		Services:   map[models.ServiceName][]models.ServiceBackend{},
	}
}

// Build returns the configuration that all rows make up, complete through a
// revision. Rows that do not parse are left out; the errors name each.
func Build(rows []models.Row, through models.Revision) (*models.Config, []error) {
	c := NewConfig()
	c.Through = through
	var errs []error
	rows = slices.Clone(rows)
	slices.SortFunc(rows, func(a, b models.Row) int { return compareNames(a.Key.Name, b.Key.Name) })
	for _, row := range rows {
		if row.Deleted {
			continue
		}
		if err := addRow(c, row); err != nil {
			errs = append(errs, errors.Annotate(err, row.Key.Name))
		}
	}
	sortServices(c)
	return c, errs
}

func compareNames(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func addRow(c *models.Config, row models.Row) error {
	kind, name := SplitName(row.Key)
	cells, err := Parse(kind, row.Value)
	if err != nil {
		return err
	}
	switch kind {
	case KindWorkspace:
		c.Workspaces[models.Workspace(name)] = workspaceFrom(name, cells)
	case KindKey:
		return addKey(c, name, cells)
	case KindRoute:
		c.Routes[name] = models.Route{
			Name:       name,
			Kind:       models.RouteKind(cells.text("kind")),
			Open:       cells.boolean("open"),
			Repeatable: cells.boolean("repeatable"),
		}
	case KindModel:
		c.Models[models.Model(name)] = models.ModelPlan{
			Model:   models.Model(name),
			Version: cells.text("version"),
			Pieces:  cells.integer("pieces"),
			MinHot:  cells.integer("min-hot"),
		}
	case KindBackend:
		c.Backends[models.EngineID(name)] = models.BackendServer{
			Engine:      models.EngineID(name),
			Zone:        models.Zone(cells.text("zone")),
			URL:         cells.text("url"),
			Cheap:       cells.boolean("cheap"),
			ChecksFence: cells.boolean("checks-fence"),
			Leaving:     cells.boolean("leaving"),
		}
	case KindService:
		backend := serviceBackendFrom(cells)
		c.Services[backend.Service] = append(c.Services[backend.Service], backend)
	case KindFleet:
		c.Fleet = fleetLimitsFrom(cells)
	}
	return nil
}

func workspaceFrom(name string, cells Cells) models.WorkspaceSettings {
	return models.WorkspaceSettings{
		Name:              models.Workspace(name),
		Weight:            cells.number("weight"),
		RequestsPerSecond: cells.number("requests-per-second"),
		TokensPerSecond:   cells.number("tokens-per-second"),
		Concurrent:        cells.integer("concurrent"),
		KeyFreshness:      cells.duration("key-freshness"),
		ClaimRetention:    cells.duration("claim-retention"),
		Priority:          models.Priority(cells.integer("priority")),
	}
}

func serviceBackendFrom(cells Cells) models.ServiceBackend {
	return models.ServiceBackend{
		Service: models.ServiceName(cells.text("service")),
		Zone:    models.Zone(cells.text("zone")),
		URL:     cells.text("url"),
	}
}

func fleetLimitsFrom(cells Cells) models.FleetLimits {
	return models.FleetLimits{
		SpendPerHour:     cells.number("spend-per-hour"),
		MaxPerZone:       cells.integer("max-per-zone"),
		CostWeight:       cells.number("cost-weight"),
		WorstWeight:      cells.number("worst-weight"),
		CheapShare:       cells.number("cheap-share"),
		LoadsPerMinute:   cells.number("loads-per-minute"),
		MinPerRoleInZone: cells.integer("min-per-role-in-zone"),
		Price:            cells.number("price"),
		CheapPrice:       cells.number("cheap-price"),
	}
}

func addKey(c *models.Config, name string, cells Cells) error {
	raw, err := hex.DecodeString(cells.text("hash"))
	if err != nil || len(raw) != len(models.Key{}.Hash) {
		return &CellError{KindKey, "hash", "must be a SHA-256 in hexadecimal"}
	}
	key := models.Key{
		ID:        models.KeyID(name),
		Workspace: models.Workspace(cells.text("workspace")),
		Withdrawn: cells.boolean("withdrawn"),
	}
	copy(key.Hash[:], raw)
	c.Keys[key.Hash] = key
	return nil
}
