package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

// WindowState is the state of a billing window.
type WindowState string

// States of a billing window, in the order in which it passes through them.
const (
	WindowOpen     WindowState = "open"     // accepts counts
	WindowClosed   WindowState = "closed"   // accepts no more counts
	WindowFrozen   WindowState = "frozen"   // its sums are final
	WindowReported WindowState = "reported" // the platform accepted all its reports
)

// WorkspaceWindow is the usage of a workspace in one billing window. For a window
// that is open or closed, it covers what the daemons have written so far.
type WorkspaceWindow struct {
	Workspace   models.Workspace
	Window      time.Time
	State       WindowState
	Usage       models.Usage
	Adjustments []models.Adjustment
}

// ReadUsage returns the windows of a workspace that are in the table, oldest
// first. An empty name selects all workspaces.
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
		counts, err := decodeTally(row.Value)
		if err != nil {
			return nil, err
		}
		if prefix == frozenPrefix {
			frozen[window] = counts
			continue
		}
		if counted[window] == nil {
			counted[window] = tally{}
		}
		counted[window].add(counts)
	}
	maps.Copy(counted, frozen)
	return workspaceWindows(workspace, states, counted, settings.Window), nil
}

func workspaceWindows(workspace models.Workspace, states map[int64]WindowState, tallies map[int64]tally, length time.Duration) []WorkspaceWindow {
	var windows []WorkspaceWindow
	for _, window := range slices.Sorted(maps.Keys(tallies)) {
		for _, report := range buildReports(window, length, tallies[window]) {
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

// stateOrder lists the states in the order in which a window passes through them.
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
