package peer

import (
	"context"

	"quincewinch/models"
)

// TableRow is a row of the table as operators see it.
type TableRow struct {
	Kind    string
	Name    string
	Version models.Revision
	Cells   map[string]any
	Deleted bool
}

// Editor carries out operators' edits. Errors are of type *Failure, or name a
// bad cell.
type Editor interface {
	// Rows lists the rows of a kind, all kinds for the empty one, as this
	// daemon knows them.
	Rows(ctx context.Context, kind string) ([]TableRow, error)
	// Put writes a row, given as a JSON object of cells, where its version is
	// still the one that the operator read; 0 for a new row. The loser of a
	// race gets OutcomeConflict and the row as it stands.
	Put(ctx context.Context, kind, name string, version models.Revision, cells []byte) (TableRow, error)
	// Delete deletes a row under the same rule.
	Delete(ctx context.Context, kind, name string, version models.Revision) (TableRow, error)
	// IssueKey makes a key for a workspace. The secret is shown this once.
	IssueKey(ctx context.Context, workspace models.Workspace) (id models.KeyID, secret string, err error)
	// WithdrawKey withdraws a key and tells where that is in force.
	WithdrawKey(ctx context.Context, id models.KeyID) (models.Withdrawal, error)
}

// Overview answers operators' questions about all processes.
type Overview interface {
	Events(ctx context.Context, filter models.EventFilter) ([]models.Event, error)
	States() map[models.EngineID]models.EngineState
	// Usage returns the billing windows of a workspace, of all for the empty
	// name.
	Usage(ctx context.Context, workspace models.Workspace) ([]models.WorkspaceWindow, error)
	// Explain tells in sentences what an engine does and why.
	Explain(ctx context.Context, engine models.EngineID) []string
}
