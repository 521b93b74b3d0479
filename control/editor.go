package control

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/table"
)

const (
	keyBytes   = 24
	keyIDBytes = 6
	keyPrefix  = "qw-"
)

// Editor implements peer.Editor on the platform's table.
type Editor struct {
	table         peer.Table
	configuration *Configuration
	timeline      peer.Timeline
}

// NewEditor returns an editor of a table; edits are in force here at once.
func NewEditor(t peer.Table, configuration *Configuration, timeline peer.Timeline) *Editor {
	return &Editor{table: t, configuration: configuration, timeline: timeline}
}

// Rows implements peer.Editor.
func (e *Editor) Rows(_ context.Context, kind string) ([]peer.TableRow, error) {
	var rows []peer.TableRow
	for _, row := range e.configuration.Rows() {
		shown := show(row)
		if !row.Deleted && (kind == "" || shown.Kind == kind) {
			rows = append(rows, shown)
		}
	}
	return rows, nil
}

// Put implements peer.Editor.
func (e *Editor) Put(ctx context.Context, kind, name string, version models.Revision, cells []byte) (peer.TableRow, error) {
	parsed, err := table.Parse(table.Kind(kind), cells)
	if err != nil {
		return peer.TableRow{}, err
	}
	encoded, err := table.Encode(parsed)
	if err != nil {
		return peer.TableRow{}, err
	}
	return e.write(ctx, models.Write{Key: table.Key(table.Kind(kind), name), Value: encoded}, version)
}

// Delete implements peer.Editor.
func (e *Editor) Delete(ctx context.Context, kind, name string, version models.Revision) (peer.TableRow, error) {
	return e.write(ctx, models.Write{Key: table.Key(table.Kind(kind), name), Delete: true}, version)
}

// GiveKey implements peer.Editor.
func (e *Editor) GiveKey(ctx context.Context, workspace models.Workspace) (models.KeyID, string, error) {
	secret := keyPrefix + randomHex(keyBytes)
	id := models.KeyID(randomHex(keyIDBytes))
	hash := sha256.Sum256([]byte(secret))
	cells, err := table.Encode(table.Cells{"workspace": string(workspace), "hash": hex.EncodeToString(hash[:]), "withdrawn": false})
	if err != nil {
		return "", "", err
	}
	if _, err := e.write(ctx, models.Write{Key: table.Key(table.KindKey, string(id)), Value: cells}, 0); err != nil {
		return "", "", err
	}
	return id, secret, nil
}

// WithdrawKey implements peer.Editor.
func (e *Editor) WithdrawKey(ctx context.Context, id models.KeyID) (models.Withdrawal, error) {
	key := table.Key(table.KindKey, string(id))
	rows, err := e.table.Read(ctx, key)
	if err != nil {
		return models.Withdrawal{}, err
	}
	if len(rows) == 0 {
		return models.Withdrawal{}, peer.NewFailure(peer.OutcomeMissing, "no key "+string(id), nil)
	}
	cells, err := table.Parse(table.KindKey, rows[0].Value)
	if err != nil {
		return models.Withdrawal{}, err
	}
	cells["withdrawn"] = true
	encoded, err := table.Encode(cells)
	if err != nil {
		return models.Withdrawal{}, err
	}
	row, err := e.write(ctx, models.Write{Key: key, Value: encoded}, rows[0].Revision)
	if err != nil {
		return models.Withdrawal{}, err
	}
	return models.Withdrawal{Key: id, Revision: row.Version}, nil
}

func (e *Editor) write(ctx context.Context, write models.Write, version models.Revision) (peer.TableRow, error) {
	transaction := models.Transaction{
		ID:         randomHex(keyIDBytes),
		Conditions: []models.Condition{{Key: write.Key, Revision: version}},
		Writes:     []models.Write{write},
	}
	revision, err := e.table.Transact(ctx, transaction)
	if err != nil {
		return e.standing(ctx, write.Key, err)
	}
	row := models.Row{Key: write.Key, Revision: revision, Value: write.Value, Deleted: write.Delete}
	e.configuration.Learn([]models.Row{row})
	e.timeline.Record(models.Event{Kind: models.EventConfig, What: "row " + write.Key.Name + " written", Why: "an operator's edit was accepted"})
	return show(row), nil
}

// standing returns the row as it stands beside the error of a lost race.
func (e *Editor) standing(ctx context.Context, key models.RowKey, cause error) (peer.TableRow, error) {
	if peer.OutcomeOf(cause) != peer.OutcomeConflict {
		return peer.TableRow{}, cause
	}
	rows, err := e.table.Read(ctx, key)
	if err != nil || len(rows) == 0 {
		return peer.TableRow{}, cause
	}
	return show(rows[0]), cause
}

func show(row models.Row) peer.TableRow {
	kind, name := table.SplitName(row.Key)
	shown := peer.TableRow{Kind: string(kind), Name: name, Version: row.Revision, Deleted: row.Deleted}
	if err := json.Unmarshal(row.Value, &shown.Cells); err != nil {
		shown.Cells = nil
	}
	return shown
}

// randomHex returns a random text; the system's source never fails.
func randomHex(n int) string {
	raw := make([]byte, n)
	_, _ = rand.Read(raw)
	return strings.ToLower(hex.EncodeToString(raw))
}
