package peer

import (
	"context"
	"time"

	"quincewinch/models"
)

// Daemons is the client of the other daemons.
type Daemons interface {
	// Exchange sends this daemon's reports and configuration changes to another
	// daemon and returns that daemon's.
	Exchange(ctx context.Context, to models.VM, message models.Gossip) (models.Gossip, error)
	// Events returns the matching events of another daemon's time line.
	Events(ctx context.Context, to models.VM, filter models.EventFilter) ([]models.Event, error)
}

// Reports provides the latest report of each other daemon.
type Reports interface {
	Reports() []models.PeerReport
}

// ReportSource contributes to this daemon's report.
type ReportSource interface {
	// Fill sets the fields of report that the source is responsible for.
	Fill(report *models.DaemonReport)
}

// Configuration provides the configuration in force and how fresh it is.
type Configuration interface {
	// Config returns the configuration. Its revision never decreases between
	// calls.
	Config() *models.Config
	// Evidence returns the time up to which no withdrawal of a key was missed.
	Evidence() models.Evidence
	// Watch returns a channel that is closed at the next change of the
	// configuration.
	Watch() <-chan struct{}
}

// Leases provides the leases that this daemon holds.
type Leases interface {
	// Authority returns the authority held under a lease, or the zero value if
	// this daemon does not hold it.
	Authority(name models.LeaseName) models.Authority
}

// Timeline records events on this daemon's time line.
type Timeline interface {
	Record(event models.Event)
}

// Meter counts the usage of requests. Count is called once for each request,
// at its end.
type Meter interface {
	Count(workspace models.Workspace, endedAt time.Time, usage models.Usage)
}
