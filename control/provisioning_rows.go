package control

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/table"
)

const giveBackPrefix = "give-back/"

func giveBackKey(id models.EngineID) models.RowKey {
	return models.RowKey{Partition: models.PartitionFleet, Name: giveBackPrefix + string(id)}
}

// syncRows adds a row for each backend server that the platform started, and
// deletes the row of each that it no longer lists. Rows of servers that the
// platform never listed belong to the operators and stay.
func (p *Provisioning) syncRows(ctx context.Context, authority models.Authority) error {
	backends := p.peers.Configuration.Config().Backends
	if err := p.loadLeaving(ctx); err != nil {
		return err
	}
	for _, id := range slices.Sorted(maps.Keys(p.listed)) {
		if _, known := backends[id]; !known && p.listed[id].URL != "" {
			if err := p.addRow(ctx, authority, p.listed[id]); err != nil {
				return err
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(backends)) {
		if !p.delisted(id) {
			continue
		}
		if err := p.deleteRow(ctx, authority, id); err != nil {
			return err
		}
	}
	return nil
}

// loadLeaving reads which servers a previous holder of the lease marked as
// leaving.
func (p *Provisioning) loadLeaving(ctx context.Context) error {
	changes, err := p.peers.Table.Changes(ctx, models.PartitionFleet, p.leavingThrough)
	if err != nil {
		return err
	}
	p.leavingThrough = changes.Through
	for _, row := range changes.Rows {
		name, found := strings.CutPrefix(row.Key.Name, giveBackPrefix)
		id := models.EngineID(name)
		if _, known := p.leaving[id]; found && !row.Deleted && !known {
			p.leaving[id] = p.peers.Clock.Now()
			p.everListed[id] = true
		}
	}
	return nil
}

func (p *Provisioning) addRow(ctx context.Context, authority models.Authority, server models.BackendServer) error {
	rows, err := p.peers.Table.Read(ctx, table.Key(table.KindBackend, string(server.Engine)))
	if err != nil || len(rows) > 0 && !rows[0].Deleted {
		return err // the row exists and will soon be in this daemon's configuration
	}
	cells := table.Cells{
		"zone":         string(server.Zone),
		"url":          server.URL,
		"cheap":        server.Cheap,
		"checks-fence": server.ChecksFence,
	}
	if err := p.writeRow(ctx, authority, server.Engine, cells); err != nil {
		return err
	}
	p.record(server.Engine, "backend server joined", "the platform lists it in zone "+string(server.Zone))
	return nil
}

func (p *Provisioning) deleteRow(ctx context.Context, authority models.Authority, id models.EngineID) error {
	key := table.Key(table.KindBackend, string(id))
	desired := models.RowKey{Partition: models.PartitionFleet, Name: desiredPrefix + string(id)}
	rows, err := p.peers.Table.Read(ctx, key)
	if err != nil || len(rows) == 0 || rows[0].Deleted {
		return err
	}
	_, err = p.peers.Table.Transact(ctx, models.Transaction{
		ID:         rowTransaction(authority, "delete", rows[0]),
		Conditions: []models.Condition{authority.Guard, {Key: key, Revision: rows[0].Revision}},
		Writes:     []models.Write{{Key: key, Delete: true}, {Key: desired, Delete: true}, {Key: giveBackKey(id), Delete: true}},
	})
	if err != nil {
		return err
	}
	delete(p.leaving, id)
	p.record(id, "backend server left the table", "the platform lists it no more")
	return nil
}

// markLeaving marks a server as leaving, so that it gets no new work.
func (p *Provisioning) markLeaving(ctx context.Context, authority models.Authority, id models.EngineID) error {
	rows, err := p.peers.Table.Read(ctx, table.Key(table.KindBackend, string(id)))
	if err != nil {
		return err
	}
	if len(rows) == 0 || rows[0].Deleted {
		return peer.NewFailure(peer.OutcomeMissing, "no row of backend server "+string(id), nil)
	}
	cells, err := table.Parse(table.KindBackend, rows[0].Value)
	if err != nil {
		return err
	}
	cells["leaving"] = true
	return p.writeRow(ctx, authority, id, cells, models.Write{Key: giveBackKey(id), Value: []byte("{}")})
}

// writeRow writes the row of a backend server, provided that it has not
// changed since it was read, and makes further writes in the same transaction.
func (p *Provisioning) writeRow(ctx context.Context, authority models.Authority, id models.EngineID, cells table.Cells, further ...models.Write) error {
	key := table.Key(table.KindBackend, string(id))
	rows, err := p.peers.Table.Read(ctx, key)
	if err != nil {
		return err
	}
	row := models.Row{Key: key}
	if len(rows) > 0 {
		row = rows[0]
	}
	value, err := table.Encode(cells)
	if err != nil {
		return err
	}
	_, err = p.peers.Table.Transact(ctx, models.Transaction{
		ID:         rowTransaction(authority, "write", row),
		Conditions: []models.Condition{authority.Guard, {Key: key, Revision: row.Revision}},
		Writes:     append([]models.Write{{Key: key, Value: value}}, further...),
	})
	return err
}

// rowTransaction returns the ID of a transaction on a row at its revision.
func rowTransaction(authority models.Authority, verb string, row models.Row) string {
	return "servers-" + verb + "-" + strconv.FormatUint(authority.Fence, 10) + "-" + row.Key.Name + "-" + strconv.FormatUint(uint64(row.Revision), 10)
}
