package peer

import (
	"context"

	"quincewinch/models"
)

// Engine is the client of one model engine. Errors are of type *Failure.
type Engine interface {
	// Generate starts a request. OutcomeNotDone means that the engine never
	// received it.
	Generate(ctx context.Context, generation models.Generation) (TokenStream, error)
	// Resume reopens the stream of a started request at a token index.
	Resume(ctx context.Context, id models.RequestID, from int) (TokenStream, error)
	Cancel(ctx context.Context, id models.RequestID) error
	State(ctx context.Context) (models.EngineState, error)
	// Order sends an order. OutcomeStale means that the engine has seen a
	// higher fencing number.
	Order(ctx context.Context, order models.Order) error
	Export(ctx context.Context, id models.RequestID) (models.KVHandle, error)
	Import(ctx context.Context, handle models.KVHandle) error
	// CacheEvents returns the cache events after a sequence number. A gap in
	// the sequence numbers means that events were lost.
	CacheEvents(ctx context.Context, after uint64) ([]models.CacheEvent, error)
}

// TokenStream is an engine's answer as a stream of pieces.
type TokenStream interface {
	// Next returns the next piece. The last piece has Done set; if the stream
	// breaks before it, Next returns a *Failure.
	Next(ctx context.Context) (models.Piece, error)
	Close() error
}

// Engines provides the clients of engines.
type Engines interface {
	Engine(server models.BackendServer) Engine
}

// Service is the client of one plain service. Errors are of type *Failure.
type Service interface {
	Call(ctx context.Context, call models.ServiceCall) (models.ServiceResponse, error)
}

// Services provides the clients of plain services.
type Services interface {
	Service(backend models.ServiceBackend) Service
}
