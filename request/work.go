package request

import (
	"maps"
	"sync"

	"quincewinch/lib/prefix"
	"quincewinch/models"
)

// WorkCounter counts the work that callers offered, by model, and the work that
// was done for them, by workspace.
type WorkCounter struct {
	mu      sync.Mutex
	done    map[models.Workspace]models.WorkDone
	offered map[models.Model]models.OfferedWork
}

// NewWorkCounter returns a counter with all counts at zero.
func NewWorkCounter() *WorkCounter {
	return &WorkCounter{done: map[models.Workspace]models.WorkDone{}, offered: map[models.Model]models.OfferedWork{}}
}

// Fill implements peer.ReportSource.
func (w *WorkCounter) Fill(report *models.DaemonReport) {
	report.Work = w.Done()
	w.mu.Lock()
	defer w.mu.Unlock()
	report.Offered = maps.Clone(w.offered)
}

// Done returns the counts of each workspace.
func (w *WorkCounter) Done() map[models.Workspace]models.WorkDone {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.done)
}

// Running returns the number of a workspace's requests that run on this daemon.
func (w *WorkCounter) Running(workspace models.Workspace) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done[workspace].Running
}

// Offer counts a generation that a caller offered, its prompt tokens and the
// expected number of its output tokens. Calls of plain services are not counted.
func (w *WorkCounter) Offer(e *Exchange, output int) {
	if e.Generation == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	offered := w.offered[e.Generation.Model]
	offered.Requests++
	offered.PromptTokens += int64(prefix.Tokens(e.Generation.Prompt))
	offered.OutputTokens += int64(output)
	w.offered[e.Generation.Model] = offered
}

// add adds change to the counts of a workspace. Its fields may be negative.
func (w *WorkCounter) add(workspace models.Workspace, change models.WorkDone) {
	w.mu.Lock()
	defer w.mu.Unlock()
	done := w.done[workspace]
	done.Requests += change.Requests
	done.PromptTokens += change.PromptTokens
	done.OutputTokens += change.OutputTokens
	done.Running += change.Running
	done.Waiting += change.Waiting
	done.Refused += change.Refused
	w.done[workspace] = done
}
