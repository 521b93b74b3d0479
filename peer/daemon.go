package peer

import (
	"context"
	"time"

	"quincewinch/models"
)

// Daemons are the other daemons, as the transport reaches them.
type Daemons interface {
	// Exchange gives a daemon this one's report and configuration news, and
	// returns the other's.
	Exchange(ctx context.Context, to models.VM, message models.Gossip) (models.Gossip, error)
	// Events asks a daemon for its time line.
	Events(ctx context.Context, to models.VM, filter models.EventFilter) ([]models.Event, error)
}

// Reports gives the latest report of each other daemon.
type Reports interface {
	Reports() []models.PeerReport
}

// ReportSource fills in its part of this daemon's report to the others.
type ReportSource interface {
	Fill(report *models.DaemonReport)
}

// Configuration gives the configuration in force, and how fresh it is.
type Configuration interface {
	// Config returns the configuration, never older than an earlier answer.
	Config() *models.Config
	// Evidence returns the evidence that no withdrawal of a key was missed.
	Evidence() models.Evidence
	// Watch returns a channel that is closed at the next change.
	Watch() <-chan struct{}
}

// Leases tells whether this daemon is in charge.
type Leases interface {
	// Authority returns the authority held for a lease, the zero one if none.
	Authority(name models.LeaseName) models.Authority
}

// Timeline records events.
type Timeline interface {
	Record(event models.Event)
}

// Meter counts what requests used, once each, at their end.
type Meter interface {
	Count(workspace models.Workspace, endedAt time.Time, usage models.Usage)
}
