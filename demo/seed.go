package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"github.com/juju/errors"

	"quincewinch/models"
	"quincewinch/table"
)

// seed writes the rows that operators would write in a real deployment.
func (s *System) seed(ctx context.Context) error {
	for _, pool := range s.deployment.Pools {
		if err := s.put(ctx, table.KindRoute, string(pool.Model), routeCells(models.RouteModel, false, true)); err != nil {
			return err
		}
		if err := s.put(ctx, table.KindModel, string(pool.Model), table.Cells{"pieces": int64(512), "min-hot": int64(1)}); err != nil {
			return err
		}
	}
	for _, plan := range s.deployment.Workspaces {
		if err := s.seedWorkspace(ctx, plan); err != nil {
			return err
		}
	}
	return s.putJSON(ctx, table.KindFleet, "limits", []byte(s.deployment.FleetCells))
}

func (s *System) seedWorkspace(ctx context.Context, plan WorkspacePlan) error {
	if err := s.putJSON(ctx, table.KindWorkspace, plan.Name, []byte(plan.Cells)); err != nil {
		return err
	}
	secret := "qw-" + randomHex()
	hash := sha256.Sum256([]byte(secret))
	cells := table.Cells{"workspace": plan.Name, "hash": hex.EncodeToString(hash[:])}
	if err := s.put(ctx, table.KindKey, plan.Name+"-1", cells); err != nil {
		return err
	}
	s.Ready.Workspaces = append(s.Ready.Workspaces, WorkspaceKey{Name: plan.Name, Key: secret})
	return nil
}

func (s *System) put(ctx context.Context, kind table.Kind, name string, cells table.Cells) error {
	raw, err := table.Encode(cells)
	if err != nil {
		return err
	}
	return s.putJSON(ctx, kind, name, raw)
}

func (s *System) putJSON(ctx context.Context, kind table.Kind, name string, raw []byte) error {
	cells, err := table.Parse(kind, raw)
	if err != nil {
		return errors.Annotate(err, name)
	}
	encoded, err := table.Encode(cells)
	if err != nil {
		return err
	}
	_, err = s.Store.Transact(ctx, models.Transaction{
		Writes: []models.Write{{Key: table.Key(kind, name), Value: encoded}},
	})
	return errors.Trace(err)
}

func backendCells(server models.BackendServer) table.Cells {
	return table.Cells{
		"zone":         string(server.Zone),
		"url":          server.URL,
		"cheap":        server.Cheap,
		"checks-fence": server.ChecksFence,
	}
}

func routeCells(kind models.RouteKind, open, repeatable bool) table.Cells {
	return table.Cells{"kind": string(kind), "open": open, "repeatable": repeatable}
}

func serviceCells(name string, zone models.Zone, url string) table.Cells {
	return table.Cells{"service": name, "zone": string(zone), "url": url}
}
