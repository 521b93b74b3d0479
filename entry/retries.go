package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"quincewinch/balance"
)

// retriesInterval is the time between two checks for retry budgets that have been
// used up.
const retriesInterval = 500 * time.Millisecond

// retriesWatch logs retry budgets that have been used up and those that allow retries
// again. It implements control.Task.
type retriesWatch struct {
	balancer *balance.Balancer
	logger   *zap.Logger
}

// Step implements control.Task.
func (w retriesWatch) Step(context.Context) {
	for _, change := range w.balancer.RetryChanges() {
		message := "retry budget allows retries again"
		if change.Usage.UsedUp() {
			message = "retry budget used up"
		}
		w.logger.Info(message,
			zap.String("service", string(change.Service)),
			zap.Float64("requests", change.Usage.Requests),
			zap.Float64("retries", change.Usage.Retries),
			zap.Float64("allowed", change.Usage.Allowed),
			zap.Float64("reserve", change.Usage.Reserve),
			zap.Int("daemons", change.Daemons),
		)
	}
}
