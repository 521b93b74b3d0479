// Package pipeline chains the filters (middleware) that an exchange passes
// through.
package pipeline

import "context"

// Handler handles one exchange.
type Handler[E any] interface {
	Handle(ctx context.Context, exchange *E) error
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc[E any] func(ctx context.Context, exchange *E) error

// Handle implements Handler.
func (f HandlerFunc[E]) Handle(ctx context.Context, exchange *E) error {
	return f(ctx, exchange)
}

// Filter wraps a handler: the handler that it returns handles an exchange
// itself or passes it on to next.
type Filter[E any] func(next Handler[E]) Handler[E]

// Chain returns a handler that passes exchanges through the filters in order
// and then to last.
func Chain[E any](last Handler[E], filters ...Filter[E]) Handler[E] {
	handler := last
	for i := len(filters) - 1; i >= 0; i-- {
		handler = filters[i](handler)
	}
	return handler
}
