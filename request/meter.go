package request

import (
	"context"

	"quincewinch/peer"
)

// Metered returns a filter that passes a request's usage to the meter once,
// when the request has ended.
func Metered(meter peer.Meter, clock peer.Clock) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, e *Exchange) error {
			err := next.Handle(ctx, e)
			if e.Workspace.Name != "" && e.Usage.Requests > 0 {
				meter.Count(e.Workspace.Name, clock.Now(), e.Usage)
			}
			return err
		})
	}
}
