package request

import (
	"maps"
	"sync"

	"quincewinch/lib/prefix"
	"quincewinch/models"
)

// Work counts what callers offered and what was done for them.
type Work struct {
	mu      sync.Mutex
	done    map[models.Workspace]models.WorkDone
	offered map[models.Model]models.OfferedWork
}

// NewWork returns counts of zero.
func NewWork() *Work {
	return &Work{done: map[models.Workspace]models.WorkDone{}, offered: map[models.Model]models.OfferedWork{}}
}

// Fill implements peer.ReportSource.
func (w *Work) Fill(report *models.DaemonReport) {
	report.Work = w.Done()
	w.mu.Lock()
	defer w.mu.Unlock()
	report.Offered = maps.Clone(w.offered)
}

// Done returns the counts of each workspace.
func (w *Work) Done() map[models.Workspace]models.WorkDone {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.done)
}

// Running returns how many requests of a workspace run here.
func (w *Work) Running(workspace models.Workspace) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done[workspace].Running
}

// Offer counts a request that a caller offered.
func (w *Work) Offer(e *Exchange, output int) {
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

// add changes the counts of a workspace.
func (w *Work) add(workspace models.Workspace, change models.WorkDone) {
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
