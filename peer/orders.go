package peer

import (
	"context"

	"quincewinch/models"
)

// Orders sends orders under an authority. Errors are of type *Failure.
type Orders interface {
	// Send gives an order to an engine and returns nil when the engine has
	// taken it. An order's identity names it once and for all.
	Send(ctx context.Context, authority models.Authority, server models.BackendServer, order models.Order) error
	// SendServerOrder gives an order of backend servers to the platform.
	SendServerOrder(ctx context.Context, authority models.Authority, order models.ServerOrder) error
}

// EngineStates gives the latest state of each engine that answers.
type EngineStates interface {
	States() map[models.EngineID]models.EngineState
}
