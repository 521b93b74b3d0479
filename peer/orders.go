package peer

import (
	"context"

	"quincewinch/models"
)

// Orders sends orders under the authority of a lease. Errors are of type
// *Failure.
type Orders interface {
	// Send sends an order to an engine and returns nil once the engine has
	// accepted it. An order ID must not be reused for another order.
	Send(ctx context.Context, authority models.Authority, server models.BackendServer, order models.Order) error
	// SendServerOrder sends an order for backend servers to the platform.
	SendServerOrder(ctx context.Context, authority models.Authority, order models.ServerOrder) error
}

// EngineStates provides the latest state of each reachable engine.
type EngineStates interface {
	States() map[models.EngineID]models.EngineState
}
