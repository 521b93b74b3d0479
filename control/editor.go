package control

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/table"
)

const (
	keyBytes   = 24
	keyIDBytes = 6
	keyPrefix  = "qw-"

	transactionIDBytes = 12
)

// maxWithdrawAttempts limits the attempts of a withdrawal that conflicts with
// other writes.
const maxWithdrawAttempts = 3

// Editor implements peer.Editor on the platform's table. Rows that operators
// edit are written only here.
type Editor struct {
	self          models.DaemonID
	table         peer.Table
	configuration *Configuration
	editing       *Editing
	pusher        Pusher
	timeline      peer.Timeline

	mu        sync.Mutex
	unsettled []models.Transaction // of unknown outcome, to be retried
}

// Pusher sends changes to the other daemons.
type Pusher interface {
	// Push returns the daemons that have acknowledged the changes.
	Push(ctx context.Context) []models.DaemonID
}

// NewEditor returns an editor of a table. Its edits take effect in the given
// configuration at once.
func NewEditor(self models.DaemonID, t peer.Table, configuration *Configuration, editing *Editing, pusher Pusher, timeline peer.Timeline) *Editor {
	return &Editor{
		self:          self,
		table:         t,
		configuration: configuration,
		editing:       editing,
		pusher:        pusher,
		timeline:      timeline,
	}
}

// Rows implements peer.Editor.
func (e *Editor) Rows(_ context.Context, kind string) ([]peer.TableRow, error) {
	var rows []peer.TableRow
	for _, row := range e.configuration.Rows() {
		converted := toTableRow(row)
		if !row.Deleted && (kind == "" || converted.Kind == kind) {
			rows = append(rows, converted)
		}
	}
	return rows, nil
}

// Put implements peer.Editor.
func (e *Editor) Put(ctx context.Context, kind, name string, version models.Revision, cells []byte) (peer.TableRow, error) {
	if table.Kind(kind) == table.KindKey {
		return peer.TableRow{}, peer.NewFailure(peer.OutcomeRefused, "keys are given and withdrawn, not edited", nil)
	}
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

// IssueKey implements peer.Editor.
func (e *Editor) IssueKey(ctx context.Context, workspace models.Workspace) (models.KeyID, string, error) {
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

// WithdrawKey implements peer.Editor. It is idempotent: withdrawing a key again
// pushes the withdrawal again and returns where it is in force.
func (e *Editor) WithdrawKey(ctx context.Context, id models.KeyID) (models.Withdrawal, error) {
	key := table.Key(table.KindKey, string(id))
	for attempt := 1; ; attempt++ {
		row, cells, err := e.readKey(ctx, key)
		if err != nil {
			return models.Withdrawal{}, err
		}
		if cells["withdrawn"] != true {
			cells["withdrawn"] = true
			row, err = e.writeKey(ctx, row, cells)
		}
		if err == nil {
			return e.pushWithdrawal(ctx, id, row.Revision, cells), nil
		}
		if peer.OutcomeOf(err) != peer.OutcomeConflict || attempt == maxWithdrawAttempts {
			return models.Withdrawal{}, err
		}
	}
}

// readKey returns a key's row: the newer of the table's version, which may lag,
// and the version known here.
func (e *Editor) readKey(ctx context.Context, key models.RowKey) (models.Row, table.Cells, error) {
	rows, err := e.table.Read(ctx, key)
	if err != nil {
		return models.Row{}, nil, err
	}
	e.configuration.ApplyCommitted(rows)
	row := e.configuration.Row(key)
	if row.Revision == 0 || row.Deleted {
		return models.Row{}, nil, peer.NewFailure(peer.OutcomeMissing, "no key "+key.Name, nil)
	}
	cells, err := table.Parse(table.KindKey, row.Value)
	return row, cells, err
}

func (e *Editor) writeKey(ctx context.Context, row models.Row, cells table.Cells) (models.Row, error) {
	encoded, err := table.Encode(cells)
	if err != nil {
		return models.Row{}, err
	}
	written, err := e.write(ctx, models.Write{Key: row.Key, Value: encoded}, row.Revision)
	return models.Row{Key: row.Key, Revision: written.Version}, err
}

// pushWithdrawal pushes a withdrawal to the other daemons. One that does not
// answer stops accepting the key once its evidence is older than the
// workspace's key-freshness: evidence newer than the withdrawal would have come
// with the withdrawn row.
func (e *Editor) pushWithdrawal(ctx context.Context, id models.KeyID, revision models.Revision, cells table.Cells) models.Withdrawal {
	confirmed := e.pusher.Push(ctx)
	w := models.Withdrawal{Key: id, Revision: revision, InForce: append([]models.DaemonID{e.self}, confirmed...)}
	slices.Sort(w.InForce)
	for member := range e.configuration.Roster().Members {
		if !slices.Contains(w.InForce, member) {
			w.Pending = append(w.Pending, member)
		}
	}
	slices.Sort(w.Pending)
	if len(w.Pending) > 0 {
		workspace, _ := cells["workspace"].(string)
		w.StopsWithin = e.configuration.Config().Workspaces[models.Workspace(workspace)].KeyFreshness
	}
	e.timeline.Record(models.Event{Kind: models.EventKey, What: "key " + string(id) + " withdrawn", Why: "an operator withdrew it"})
	return w
}

// Step retries the edits whose outcome is unknown. Their conditions ensure that
// each takes effect at most once. It then writes again what the table has lost.
func (e *Editor) Step(ctx context.Context) {
	e.mu.Lock()
	pending := e.unsettled
	e.unsettled = nil
	e.mu.Unlock()
	for _, transaction := range pending {
		e.retry(ctx, transaction)
	}
	if e.editing.Open() && e.allSettled() {
		e.rewriteLost(ctx)
	}
}

// allSettled reports whether no edit is waiting to be retried.
func (e *Editor) allSettled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.unsettled) == 0
}

// rewriteLost writes the rows again that the table has lost. Every daemon that
// knows them tries; their conditions let one succeed.
func (e *Editor) rewriteLost(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	for _, row := range e.configuration.Lost() {
		// The row of the latest edit tells whether the stored row is a later one.
		stored, err := e.table.Read(ctx, row.Key, table.LatestEditKey)
		if err != nil {
			return
		}
		e.configuration.ApplyCommitted(stored)
		if e.configuration.Row(row.Key).Revision != row.Revision {
			continue // the table has it, or a later edit of it
		}
		var version models.Revision
		for _, other := range stored {
			if other.Key == row.Key {
				version = other.Revision
			}
		}
		write := models.Write{Key: row.Key, Value: row.Value, Delete: row.Deleted}
		_, _ = e.commit(ctx, write, version, row.Revision)
	}
}

// write commits an operator's edit of one row if the row still has the given
// version.
func (e *Editor) write(ctx context.Context, write models.Write, version models.Revision) (peer.TableRow, error) {
	return e.commit(ctx, write, version, 0)
}

// commit commits one row if it still has the given version and this daemon's
// registration is unchanged. If the row is only written again, original is its
// lost revision, otherwise 0.
func (e *Editor) commit(ctx context.Context, write models.Write, version, original models.Revision) (peer.TableRow, error) {
	latestEdit, err := table.EncodeLatestEdit(e.configuration.NextEdit(write.Key.Name, original))
	if err != nil {
		return peer.TableRow{}, err
	}
	if err := e.editing.Begin(); err != nil {
		return peer.TableRow{}, err
	}
	registration := table.MemberKey(e.self)
	transaction := models.Transaction{
		ID: randomHex(transactionIDBytes),
		Conditions: []models.Condition{
			{Key: write.Key, Revision: version},
			{Key: registration, Revision: e.configuration.Roster().Registration(e.self)},
		},
		Writes: []models.Write{write, {Key: table.LatestEditKey, Value: latestEdit}},
	}
	row, err := e.transact(ctx, transaction)
	if err != nil {
		e.settleOrRequeue(transaction, peer.OutcomeOf(err) != peer.OutcomeUnknown)
		return e.withCurrentRow(ctx, write.Key, err)
	}
	e.editing.Settle()
	why := "an operator's edit was accepted"
	if original > 0 {
		why = "it was lost when the table returned from an older copy"
	}
	e.timeline.Record(models.Event{Kind: models.EventConfig, What: "row " + write.Key.Name + " written", Why: why})
	return toTableRow(row), nil
}

// transact commits an edit and applies it to the configuration.
func (e *Editor) transact(ctx context.Context, transaction models.Transaction) (models.Row, error) {
	revision, err := e.table.Transact(ctx, transaction)
	if err != nil {
		return models.Row{}, err
	}
	var rows []models.Row
	for _, write := range transaction.Writes {
		rows = append(rows, models.Row{Key: write.Key, Revision: revision, Value: write.Value, Deleted: write.Delete})
	}
	e.configuration.ApplyCommitted(rows)
	return rows[0], nil
}

// retry retries an edit of unknown outcome, under a new transaction ID because
// the earlier one may have been cancelled. A conflict may mean that the earlier
// attempt took effect; its row then has to be known before the edit counts as
// settled.
func (e *Editor) retry(ctx context.Context, transaction models.Transaction) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	transaction.ID = randomHex(transactionIDBytes)
	_, err := e.transact(ctx, transaction)
	settled := err == nil || peer.OutcomeOf(err) == peer.OutcomeRefused
	if outcome := peer.OutcomeOf(err); err != nil && (outcome == peer.OutcomeConflict || outcome == peer.OutcomeRestored) {
		settled = e.outcomeKnown(ctx, transaction)
	}
	e.settleOrRequeue(transaction, settled)
}

// outcomeKnown reports whether the outcome of a conflicting edit is known here:
// either the row has a newer version, or the registration in the edit's
// conditions has been replaced or removed and all rows up to that are known.
func (e *Editor) outcomeKnown(ctx context.Context, transaction models.Transaction) bool {
	condition, registration := transaction.Conditions[0], transaction.Conditions[1]
	if rows, err := e.table.Read(ctx, condition.Key); err == nil {
		e.configuration.ApplyCommitted(rows)
	}
	if e.configuration.Row(condition.Key).Revision > condition.Revision {
		return true
	}
	own := e.configuration.Row(registration.Key).Revision
	return own > registration.Revision && e.configuration.Roster().Through >= own
}

// settleOrRequeue settles an edit, or queues it for the next step.
func (e *Editor) settleOrRequeue(transaction models.Transaction, settled bool) {
	if settled {
		e.editing.Settle()
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unsettled = append(e.unsettled, transaction)
}

// withCurrentRow returns the error of an edit, and after a conflict the current
// row with it.
func (e *Editor) withCurrentRow(ctx context.Context, key models.RowKey, cause error) (peer.TableRow, error) {
	if peer.OutcomeOf(cause) != peer.OutcomeConflict {
		return peer.TableRow{}, cause
	}
	rows, err := e.table.Read(ctx, key)
	if err != nil || len(rows) == 0 {
		return peer.TableRow{}, cause
	}
	return toTableRow(rows[0]), cause
}

func toTableRow(row models.Row) peer.TableRow {
	kind, name := table.SplitName(row.Key)
	converted := peer.TableRow{Kind: string(kind), Name: name, Version: row.Revision, Deleted: row.Deleted}
	if err := json.Unmarshal(row.Value, &converted.Cells); err != nil {
		converted.Cells = nil
	}
	return converted
}

// randomHex returns n random bytes as hexadecimal digits. The system's random
// source never fails.
func randomHex(n int) string {
	raw := make([]byte, n)
	_, _ = rand.Read(raw)
	return strings.ToLower(hex.EncodeToString(raw))
}
