// Package pipeline chains the filters that a request passes through.
package pipeline

import "context"

// Handler handles one exchange.
type Handler[E any] interface {
	Handle(ctx context.Context, exchange *E) error
}

// HandlerFunc is a function that handles an exchange.
type HandlerFunc[E any] func(ctx context.Context, exchange *E) error

// Handle implements Handler.
func (f HandlerFunc[E]) Handle(ctx context.Context, exchange *E) error {
	return f(ctx, exchange)
}

// Filter is one step: it handles an exchange itself or hands it on to next.
type Filter[E any] func(next Handler[E]) Handler[E]

// Chain returns a handler that takes exchanges through filters in order.
func Chain[E any](last Handler[E], filters ...Filter[E]) Handler[E] {
	handler := last
	for i := len(filters) - 1; i >= 0; i-- {
		handler = filters[i](handler)
	}
	return handler
}
