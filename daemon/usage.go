package daemon

import (
	"context"
	"time"

	"github.com/juju/errors"

	"quincewinch/control"
	"quincewinch/models"
)

const (
	flushInterval = 2 * time.Second
	closeInterval = 5 * time.Second
)

// usage holds what counts this daemon's usage and reports billing windows.
type usage struct {
	platformClock *control.PlatformClock
	meter         *control.Meter
	closer        *control.WindowCloser
}

// newUsage creates the platform clock and the meter.
func (d *Daemon) newUsage() {
	settings := control.DefaultUsageSettings()
	clock := control.NewPlatformClock()
	d.usage.platformClock = clock
	d.usage.meter = control.NewMeter(d.id, d.platform.table, d.clock, clock, d.ring, settings)
}

// startUsage creates the window closer and starts the usage tasks. It must be
// called after startLeases, since the window closer needs the leases.
func (d *Daemon) startUsage() {
	u := &d.usage
	u.closer = control.NewWindowCloser(d.platform.table, d.platform.usage, d.leases, d.clock, u.platformClock, d.ring, control.DefaultUsageSettings())
	d.system.Spawn(u.meter, flushInterval)
	d.system.Spawn(u.closer, closeInterval)
}

// flushUsage writes the remaining counts at a planned stop.
func (d *Daemon) flushUsage(ctx context.Context) error {
	return errors.Annotate(d.usage.meter.Flush(ctx), "the last usage counts were not written")
}

// Usage returns the billing windows of a workspace, or of all workspaces for
// an empty name.
func (d *Daemon) Usage(ctx context.Context, workspace models.Workspace) ([]control.WorkspaceWindow, error) {
	return control.ReadUsage(ctx, d.platform.table, workspace, control.DefaultUsageSettings())
}
