package platform

import (
	"context"
	"net/http"
	"net/url"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/platform/wire"
)

// Servers speaks to the platform's interface for ordering backend servers.
type Servers struct {
	client *Client
}

// NewServers returns the ordering interface behind a client.
func NewServers(client *Client) Servers {
	return Servers{client: client}
}

// Order implements peer.Servers.
func (s Servers) Order(ctx context.Context, order models.ServerOrder) error {
	return s.client.call(ctx, http.MethodPost, wire.PathServerOrders, wire.FromServerOrder(order), nil)
}

// List implements peer.Servers.
func (s Servers) List(ctx context.Context) ([]models.BackendServer, error) {
	var answer []wire.Server
	if err := s.client.call(ctx, http.MethodGet, wire.PathServers, nil, &answer); err != nil {
		return nil, err
	}
	return wire.ToServers(answer), nil
}

// Usage speaks to the platform's interface that accepts usage reports.
type Usage struct {
	client *Client
}

// NewUsage returns the usage interface behind a client.
func NewUsage(client *Client) Usage {
	return Usage{client: client}
}

// Report implements peer.UsageReports.
func (u Usage) Report(ctx context.Context, report models.UsageReport) error {
	path := wire.PathUsageReports + url.PathEscape(report.ID)
	return u.client.call(ctx, http.MethodPut, path, wire.FromUsageReport(report), nil)
}

// Accepted implements peer.UsageReports.
func (u Usage) Accepted(ctx context.Context, id string) (models.UsageReport, bool, error) {
	var form wire.UsageReport
	if err := u.client.call(ctx, http.MethodGet, wire.PathUsageReports+url.PathEscape(id), nil, &form); err != nil {
		if peer.OutcomeOf(err) == peer.OutcomeMissing {
			return models.UsageReport{}, false, nil
		}
		return models.UsageReport{}, false, err
	}
	return form.Model(), true, nil
}
