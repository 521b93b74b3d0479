package entry

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// acceptPeriod is how long after the signal to stop callers may still start
	// requests: the balancer looks each second and sends no new connection after
	// two looks. The platform bears that a request sent within three seconds of
	// the signal is cut at the end of the grace time, and no later one.
	acceptPeriod = 2500 * time.Millisecond
	// acceptFraction bounds that to a part of the grace time.
	acceptFraction = 0.33
	// finishFraction is the part of the grace time at whose end running requests
	// are cut.
	finishFraction = 0.88
	// closeFraction is the part after that for the last calls of the store.
	closeFraction = 0.08
)

// stopTimes are the parts of a planned stop, one after another.
type stopTimes struct {
	accept  time.Duration // callers may start requests
	finish  time.Duration // running requests end
	closing time.Duration // the last calls of the store
}

// newStopTimes divides the grace time.
func newStopTimes(grace time.Duration) stopTimes {
	accept := min(acceptPeriod, fractionOf(grace, acceptFraction))
	return stopTimes{
		accept:  accept,
		finish:  fractionOf(grace, finishFraction) - accept,
		closing: fractionOf(grace, closeFraction),
	}
}

// fractionOf returns a part of a time.
func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}

// Stop is a graceful shutdown. Callers may go on to use their connections for a
// while; each answer tells them to take the next request elsewhere.
func (d *Daemon) Stop(ctx context.Context) {
	d.stopping.Store(true)
	d.logger.Info("daemon stops", zap.String("why", "it was told to"))
	d.duties.leases.Release(ctx)
	times := newStopTimes(d.settings.Load().Callers.Grace)
	// The wait ends early only with ctx.
	_ = d.clock.Sleep(ctx, times.accept)
	finishing, cancel := context.WithTimeout(ctx, times.finish)
	defer cancel()
	for _, server := range d.servers {
		if err := server.Shutdown(finishing); err != nil {
			d.logger.Warn("connections were cut at the end of the grace time", zap.Error(err))
		}
	}
	closing, cancel := context.WithTimeout(ctx, times.closing)
	defer cancel()
	d.duties.counter.Flush(closing)
	d.system.Stop()
	d.stopSharing(closing)
	d.logger.Info("daemon stopped")
}
