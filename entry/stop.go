package entry

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
)

const (
	// acceptPeriod is how long after the stop signal callers may still start
	// requests. The load balancer in front of the daemons probes readiness each
	// second and opens no new connections after two failed probes. The platform
	// tolerates that a request sent within three seconds of the signal is cut
	// off at the end of the grace time, but not a later one.
	acceptPeriod = 2500 * time.Millisecond
	// acceptFraction bounds acceptPeriod to a fraction of the grace time.
	acceptFraction = 0.33
	// finishFraction is the fraction of the grace time after which running
	// requests are cut off.
	finishFraction = 0.88
	// closeFraction is the fraction of the grace time that the last calls to the
	// store may take after running requests are cut off.
	closeFraction = 0.08
	// abortTime is how long requests that are cut off may take to be answered.
	abortTime = 200 * time.Millisecond
)

// errGraceOver ends the requests that are still running at the end of the grace time.
var errGraceOver = errors.New("the daemon stops, and its grace time is over")

// stopTimes are the durations of the consecutive phases of a planned stop.
type stopTimes struct {
	accept  time.Duration // callers may still start requests
	finish  time.Duration // running requests may finish
	closing time.Duration // last calls to the store
}

// newStopTimes divides the grace time into the phases of a stop.
func newStopTimes(grace time.Duration) stopTimes {
	accept := min(acceptPeriod, fractionOf(grace, acceptFraction))
	return stopTimes{
		accept:  accept,
		finish:  fractionOf(grace, finishFraction) - accept,
		closing: fractionOf(grace, closeFraction),
	}
}

// left returns the time until the end of each phase when the stop has taken some time
// already; for the last phase no more than was planned. What one step takes longer,
// the later ones have less.
func (t stopTimes) left(elapsed time.Duration) stopTimes {
	finished := t.accept + t.finish
	return stopTimes{
		accept:  max(t.accept-elapsed, 0),
		finish:  max(finished-elapsed, 0),
		closing: min(max(finished+t.closing-elapsed, 0), t.closing),
	}
}

// fractionOf returns a fraction of a duration.
func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}

// Stop shuts the daemon down within the grace time. During the first phase
// callers may still send requests on their connections, but each answer tells
// them to close the connection and send the next request to another daemon.
func (d *Daemon) Stop(ctx context.Context) {
	d.stopping.Store(true)
	d.logger.Info("daemon stops", zap.String("why", "it was told to"))
	begun := d.clock.Now()
	times := newStopTimes(d.settings.Load().Callers.Grace)
	left := func() stopTimes { return times.left(d.clock.Now().Sub(begun)) }
	releasing, cancel := context.WithTimeout(ctx, times.accept)
	defer cancel()
	d.duties.leases.Release(releasing)
	// Sleep fails only when ctx ends.
	_ = d.clock.Sleep(ctx, left().accept)
	finishing, cancel := context.WithTimeout(ctx, left().finish)
	defer cancel()
	if err := d.stopCallers(finishing); err != nil {
		d.logger.Warn("connections still active at the end of the grace time", zap.Error(err))
	}
	d.finishForwarded(finishing)
	for _, server := range d.internalServers {
		if err := server.Shutdown(finishing); err != nil {
			d.logger.Warn("internal server not shut down", zap.Error(err))
		}
	}
	closing, cancel := context.WithTimeout(ctx, left().closing)
	defer cancel()
	d.duties.counter.Flush(closing)
	d.system.Stop()
	d.stopSharing(closing)
	d.logger.Info("daemon stopped")
}

// stopCallers stops accepting connections and returns once all requests that have
// been read are answered. Those that run until ctx ends are cut off, and answered with
// a failure; if that takes too long it returns an error.
func (d *Daemon) stopCallers(ctx context.Context) error {
	begun := d.clock.Now()
	err := d.callers.Drain(ctx)
	if err != nil {
		d.logger.Warn("requests cut off at the end of the grace time", zap.Error(err))
		answering, cancel := context.WithTimeout(context.WithoutCancel(ctx), abortTime)
		defer cancel()
		err = d.callers.Abort(answering, errGraceOver)
	}
	counts := d.callers.Counts()
	d.logger.Info("connections of callers drained",
		zap.Int64("closed-idle", counts.Idle),
		zap.Int64("late-answered", counts.Late),
		zap.Int64("unanswered", counts.Unanswered),
		zap.Int("open", counts.Open),
		zap.Duration("took", d.clock.Now().Sub(begun)))
	return err
}
