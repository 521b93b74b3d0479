package daemon

import (
	"context"

	"quincewinch/models"
)

// overview implements peer.Overview.
type overview struct {
	daemon *Daemon
}

// Events returns the events of this daemon.
func (o overview) Events(_ context.Context, filter models.EventFilter) ([]models.Event, error) {
	return o.daemon.ring.Events(filter), nil
}

// States returns the engines' latest states.
func (o overview) States() map[models.EngineID]models.EngineState {
	return o.daemon.engines.States()
}
