package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

// WindowState tells how far a billing window is.
type WindowState string

// States of a billing window.
const (
	WindowOpen     WindowState = "open"     // still counted
	WindowClosed   WindowState = "closed"   // not counted any more
	WindowFrozen   WindowState = "frozen"   // summed for good
	WindowReported WindowState = "reported" // accepted by the platform
)

// WorkspaceWindow is a workspace's use in one billing window. Of an open or
// closed one it is what daemons have written so far.
type WorkspaceWindow struct {
	Workspace   models.Workspace
	Window      time.Time
	State       WindowState
	Usage       models.Usage
	Adjustments []models.Adjustment
}

// ReadUsage returns the windows in the table, oldest first, of one workspace,
// or of all for the empty name.
func ReadUsage(ctx context.Context, table peer.Table, workspace models.Workspace, settings UsageSettings) ([]WorkspaceWindow, error) {
	changes, err := table.Changes(ctx, models.PartitionUsage, 0)
	if err != nil {
		return nil, err
	}
	states := map[int64]WindowState{}
	counted := map[int64]tally{}
	frozen := map[int64]tally{}
	for _, row := range changes.Rows {
		prefix, window, ok := parseUsageKey(row.Key)
		if !ok || row.Deleted {
			continue
		}
		states[window] = laterState(states[window], stateOf(prefix))
		if prefix != countPrefix && prefix != frozenPrefix {
			continue
		}
		figures, err := decodeTally(row.Value)
		if err != nil {
			return nil, err
		}
		if prefix == frozenPrefix {
			frozen[window] = figures
			continue
		}
		if counted[window] == nil {
			counted[window] = tally{}
		}
		counted[window].add(figures)
	}
	maps.Copy(counted, frozen)
	return workspaceWindows(workspace, states, counted, settings.Window), nil
}

func workspaceWindows(workspace models.Workspace, states map[int64]WindowState, figures map[int64]tally, length time.Duration) []WorkspaceWindow {
	var windows []WorkspaceWindow
	for _, window := range slices.Sorted(maps.Keys(figures)) {
		for _, report := range buildReports(window, length, figures[window]) {
			if workspace != "" && report.Workspace != workspace {
				continue
			}
			windows = append(windows, WorkspaceWindow{
				Workspace:   report.Workspace,
				Window:      report.Window,
				State:       states[window],
				Usage:       report.Usage,
				Adjustments: report.Adjustments,
			})
		}
	}
	return windows
}

// stateOrder lists the states in order.
var stateOrder = []WindowState{WindowOpen, WindowClosed, WindowFrozen, WindowReported}

func laterState(a, b WindowState) WindowState {
	if slices.Index(stateOrder, a) > slices.Index(stateOrder, b) {
		return a
	}
	return b
}

func stateOf(prefix string) WindowState {
	switch prefix {
	case closedPrefix:
		return WindowClosed
	case frozenPrefix:
		return WindowFrozen
	case reportedPrefix:
		return WindowReported
	}
	return WindowOpen
}
