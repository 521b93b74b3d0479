package platform

import (
	"context"
	"net/http"
	"net/url"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/platform/wire"
)

// Servers is the client of the platform's API for ordering backend servers.
type Servers struct {
	client *Client
}

// NewServers returns a Servers that makes its calls through client.
func NewServers(client *Client) Servers {
	return Servers{client: client}
}

// Order implements peer.Servers.
func (s Servers) Order(ctx context.Context, order models.ServerOrder) error {
	return s.client.callJSON(ctx, http.MethodPost, wire.PathServerOrders, wire.FromServerOrder(order), nil)
}

// List implements peer.Servers.
func (s Servers) List(ctx context.Context) ([]models.BackendServer, error) {
	var answer []wire.Server
	if err := s.client.callJSON(ctx, http.MethodGet, wire.PathServers, nil, &answer); err != nil {
		return nil, err
	}
	return wire.ToServers(answer), nil
}

// Usage is the client of the platform's API for usage reports.
type Usage struct {
	client *Client
}

// NewUsage returns a Usage that makes its calls through client.
func NewUsage(client *Client) Usage {
	return Usage{client: client}
}

// Report implements peer.UsageReports.
func (u Usage) Report(ctx context.Context, report models.UsageReport) error {
	path := wire.PathUsageReports + url.PathEscape(report.ID)
	return u.client.callJSON(ctx, http.MethodPut, path, wire.FromUsageReport(report), nil)
}

// Accepted implements peer.UsageReports.
func (u Usage) Accepted(ctx context.Context, id string) (models.UsageReport, bool, error) {
	var report wire.UsageReport
	if err := u.client.callJSON(ctx, http.MethodGet, wire.PathUsageReports+url.PathEscape(id), nil, &report); err != nil {
		if peer.OutcomeOf(err) == peer.OutcomeMissing {
			return models.UsageReport{}, false, nil
		}
		return models.UsageReport{}, false, err
	}
	return report.ToModel(), true, nil
}
