package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"quincewinch/balance"
)

// slowInterval is the time between two checks for backend servers that have turned
// slow. They are to be logged within three seconds.
const slowInterval = 500 * time.Millisecond

// slowWatch logs backend servers that turn slow and those that are well again, and those
// that are faster or slower than others for good. It
// implements control.Task.
type slowWatch struct {
	balancer *balance.Balancer
	logger   *zap.Logger
}

// Step implements control.Task.
func (w slowWatch) Step(context.Context) {
	for _, change := range w.balancer.SpeedChanges() {
		message := "backend server well again"
		if change.Slow {
			message = "backend server slow"
		}
		w.logger.Info(message,
			zap.String("server", string(change.Server.ID)),
			zap.String("service", string(change.Server.Service)),
			zap.String("zone", string(change.Server.Zone)),
			zap.Float64("times-as-long", change.Factor),
			zap.Duration("backlog", change.Backlog),
		)
	}
	for _, d := range w.balancer.LastingDifferences() {
		w.logger.Info("backend server differs for good",
			zap.String("server", string(d.Server.ID)),
			zap.String("service", string(d.Server.Service)),
			zap.String("zone", string(d.Server.Zone)),
			zap.Float64("times-as-long", d.Factor),
			zap.Float64("before", d.Before),
		)
	}
}
