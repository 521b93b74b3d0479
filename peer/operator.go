package peer

import (
	"context"

	"quincewinch/models"
)

// TableRow is a configuration row in the form presented to operators.
type TableRow struct {
	Kind    string
	Name    string
	Version models.Revision
	Cells   map[string]any
	Deleted bool
}

// Editor carries out operators' edits. An error is either a *Failure or states
// the invalid cell.
type Editor interface {
	// Rows returns the rows of a kind as known to this daemon. An empty kind
	// selects all rows.
	Rows(ctx context.Context, kind string) ([]TableRow, error)
	// Put writes a row, given as a JSON object of cells, if its version is
	// still the given one; 0 creates a new row. Otherwise it fails with
	// OutcomeConflict and returns the current row.
	Put(ctx context.Context, kind, name string, version models.Revision, cells []byte) (TableRow, error)
	// Delete deletes a row if its version is still the given one, like Put.
	Delete(ctx context.Context, kind, name string, version models.Revision) (TableRow, error)
	// IssueKey creates a key for a workspace. The secret is not stored and
	// cannot be read again.
	IssueKey(ctx context.Context, workspace models.Workspace) (id models.KeyID, secret string, err error)
	// WithdrawKey withdraws a key and reports on which daemons the withdrawal
	// is in force.
	WithdrawKey(ctx context.Context, id models.KeyID) (models.Withdrawal, error)
}

// Overview answers operators' queries on the state of all daemons.
type Overview interface {
	Events(ctx context.Context, filter models.EventFilter) ([]models.Event, error)
	States() map[models.EngineID]models.EngineState
	// Usage returns the billing windows of a workspace. An empty name selects
	// all workspaces.
	Usage(ctx context.Context, workspace models.Workspace) ([]models.WorkspaceWindow, error)
	// Explain describes in sentences what an engine is doing and why.
	Explain(ctx context.Context, engine models.EngineID) []string
}
