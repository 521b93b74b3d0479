package resume

import (
	"context"

	"github.com/juju/errors"
)

// turn is a lock that is held during calls to the store. Waiting for it ends with the
// request that waits.
type turn chan struct{}

func newTurn() turn {
	return make(turn, 1)
}

// take waits for the turn; release must follow unless it fails.
func (t turn) take(ctx context.Context) error {
	select {
	case t <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

func (t turn) release() {
	<-t
}
