package control

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"quincewinch/models"
	"quincewinch/peer"
)

const desiredPrefix = "desired/"

// desiredRows caches the desired states of engines from the table.
type desiredRows struct {
	table peer.Table

	mu      sync.Mutex
	through models.Revision
	rows    map[models.EngineID]desiredRow
}

type desiredRow struct {
	desired  models.DesiredEngine
	revision models.Revision
}

func newDesiredRows(table peer.Table) *desiredRows {
	return &desiredRows{table: table, rows: map[models.EngineID]desiredRow{}}
}

// refresh reads the rows that changed since the last read. If the table has
// returned from an older copy, it reads all rows anew.
func (d *desiredRows) refresh(ctx context.Context) error {
	d.mu.Lock()
	through := d.through
	d.mu.Unlock()
	changes, err := d.table.Changes(ctx, models.PartitionFleet, through)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if changes.Through.Era() > d.through.Era() {
		clear(d.rows)
	}
	d.through = changes.Through
	for _, row := range changes.Rows {
		d.apply(row)
	}
	return nil
}

// apply stores a row if it is newer than the cached one. d.mu must be held.
func (d *desiredRows) apply(row models.Row) {
	name, found := strings.CutPrefix(row.Key.Name, desiredPrefix)
	id := models.EngineID(name)
	if !found || d.rows[id].revision >= row.Revision {
		return
	}
	if row.Deleted {
		delete(d.rows, id)
		return
	}
	if desired, err := decodeDesired(row.Value); err == nil {
		d.rows[id] = desiredRow{desired: desired, revision: row.Revision}
	}
}

func (d *desiredRows) get(id models.EngineID) (models.DesiredEngine, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	row, ok := d.rows[id]
	return row.desired, ok
}

// all returns the desired states by engine.
func (d *desiredRows) all() map[models.EngineID]models.DesiredEngine {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make(map[models.EngineID]models.DesiredEngine, len(d.rows))
	for id, row := range d.rows {
		all[id] = row.desired
	}
	return all
}

// write commits rows under an authority, provided that none has changed since
// it was read. After an error, call refresh before trying again.
func (d *desiredRows) write(ctx context.Context, authority models.Authority, rows []models.DesiredEngine) error {
	transaction := models.Transaction{Conditions: []models.Condition{authority.Guard}}
	content := xxhash.New()
	d.mu.Lock()
	for _, desired := range rows {
		key := models.RowKey{Partition: models.PartitionFleet, Name: desiredPrefix + string(desired.Engine)}
		value, err := encodeDesired(desired)
		if err != nil {
			d.mu.Unlock()
			return err
		}
		revision := d.rows[desired.Engine].revision
		_, _ = content.WriteString(string(desired.Engine) + "@" + strconv.FormatUint(uint64(revision), 10) + string(value))
		transaction.Conditions = append(transaction.Conditions, models.Condition{Key: key, Revision: revision})
		transaction.Writes = append(transaction.Writes, models.Write{Key: key, Value: value})
	}
	d.mu.Unlock()
	transaction.ID = "fleet-" + strconv.FormatUint(authority.Fence, 10) + "-" + strconv.FormatUint(content.Sum64(), 16)
	revision, err := d.table.Transact(ctx, transaction)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, desired := range rows {
		d.rows[desired.Engine] = desiredRow{desired: desired, revision: revision}
	}
	return nil
}

// desiredForm is the JSON form of a row in the table.
type desiredForm struct {
	Engine       string      `json:"engine"`
	Zone         string      `json:"zone"`
	Role         string      `json:"role"`
	Former       string      `json:"former-role"`
	Models       []string    `json:"models"`
	FormerModels []string    `json:"former-models"`
	Step         string      `json:"step"`
	Since        time.Time   `json:"since"`
	Pending      pendingForm `json:"pending-order"`
	Orders       int         `json:"orders"`
	Tries        int         `json:"tries"`
	Wrong        bool        `json:"wrong-answers"`
	Why          string      `json:"why"`
}

type pendingForm struct {
	ID    string `json:"id"`
	Kind  string `json:"kind"`
	Role  string `json:"role"`
	Model string `json:"model"`
}

func encodeDesired(d models.DesiredEngine) ([]byte, error) {
	form := desiredForm{
		Engine: string(d.Engine),
		Zone:   string(d.Zone),
		Role:   string(d.Role),
		Former: string(d.PreviousRole),
		Step:   string(d.Step),
		Since:  d.Since,
		Pending: pendingForm{
			ID:    d.PendingOrder.ID,
			Kind:  string(d.PendingOrder.Kind),
			Role:  string(d.PendingOrder.Role),
			Model: string(d.PendingOrder.Model),
		},
		Orders: d.OrderCount,
		Tries:  d.Attempts,
		Wrong:  d.WrongAnswers,
		Why:    d.Why,
	}
	for _, model := range d.Models {
		form.Models = append(form.Models, string(model))
	}
	for _, model := range d.PreviousModels {
		form.FormerModels = append(form.FormerModels, string(model))
	}
	raw, err := json.Marshal(form)
	return raw, errors.Annotate(err, "cannot encode the desired state of an engine")
}

func decodeDesired(raw []byte) (models.DesiredEngine, error) {
	var form desiredForm
	if err := json.Unmarshal(raw, &form); err != nil {
		return models.DesiredEngine{}, errors.Annotate(err, "cannot decode the desired state of an engine")
	}
	desired := models.DesiredEngine{
		Engine:       models.EngineID(form.Engine),
		Zone:         models.Zone(form.Zone),
		Role:         models.Role(form.Role),
		PreviousRole: models.Role(form.Former),
		Step:         models.ChangeStep(form.Step),
		Since:        form.Since,
		OrderCount:   form.Orders,
		Attempts:     form.Tries,
		WrongAnswers: form.Wrong,
		Why:          form.Why,
	}
	if form.Pending.ID != "" {
		desired.PendingOrder = models.Order{
			ID:     form.Pending.ID,
			Engine: desired.Engine,
			Kind:   models.OrderKind(form.Pending.Kind),
			Role:   models.Role(form.Pending.Role),
			Model:  models.Model(form.Pending.Model),
		}
	}
	for _, model := range form.Models {
		desired.Models = append(desired.Models, models.Model(model))
	}
	for _, model := range form.FormerModels {
		desired.PreviousModels = append(desired.PreviousModels, models.Model(model))
	}
	return desired, nil
}
