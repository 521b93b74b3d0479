package platform

import (
	"context"
	"reflect"

	"quincewinch/models"
	"quincewinch/peer"
)

// Usage implements peer.UsageReports.
type Usage struct {
	store *Store
}

// NewUsage returns a Usage that keeps its state in store.
func NewUsage(store *Store) *Usage {
	return &Usage{store: store}
}

// Report implements peer.UsageReports. It is idempotent: a repeated report with
// the same ID and figures is accepted; with other figures it is rejected. The
// fencing number is not compared.
func (u *Usage) Report(ctx context.Context, report models.UsageReport) error {
	if err := u.store.beginCall(ctx, true); err != nil {
		return err
	}
	u.store.mu.Lock()
	defer u.store.mu.Unlock()
	if old, ok := u.store.accepted[report.ID]; ok {
		old.Fence = report.Fence
		if !reflect.DeepEqual(old, report) {
			return peer.NewFailure(peer.OutcomeRefused, "report "+report.ID+" was accepted with other figures", nil)
		}
		return nil
	}
	u.store.accepted[report.ID] = report
	u.store.reports = append(u.store.reports, report)
	if u.store.faults.LoseAnswer != nil && u.store.faults.LoseAnswer(models.Transaction{ID: report.ID}) {
		return peer.NewFailure(peer.OutcomeUnknown, "the platform's answer was lost", nil)
	}
	return nil
}

// Accepted implements peer.UsageReports.
func (u *Usage) Accepted(ctx context.Context, id string) (models.UsageReport, bool, error) {
	if err := u.store.beginCall(ctx, false); err != nil {
		return models.UsageReport{}, false, err
	}
	u.store.mu.Lock()
	defer u.store.mu.Unlock()
	report, ok := u.store.accepted[id]
	return report, ok, nil
}
