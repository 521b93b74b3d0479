package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"quincewinch/config"
	"quincewinch/policy/retry"
)

// ReloadInterval is the time between two looks at the settings file, which may
// change without a signal.
const ReloadInterval = 2 * time.Second

// Reloader takes up changes of the settings file.
type Reloader struct {
	daemon *Daemon
	load   func() (*config.Entry, error)

	mu     sync.Mutex // a signal may come during a step
	failed bool       // the last look found a bad file
}

// NewReloader returns a reloader of a daemon whose settings load gives anew.
func NewReloader(daemon *Daemon, load func() (*config.Entry, error)) *Reloader {
	return &Reloader{daemon: daemon, load: load}
}

// Step looks at the settings file once.
func (r *Reloader) Step(context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	settings, err := r.load()
	if err != nil {
		if !r.failed {
			r.daemon.logger.Warn("settings not taken up, those before hold", zap.Error(err))
		}
		r.failed = true
		return
	}
	r.failed = false
	r.daemon.apply(settings)
}

// apply takes up what may change while the process runs. The rest is logged:
// it needs a restart.
func (d *Daemon) apply(settings *config.Entry) {
	previous := d.settings.Swap(settings)
	if settings.Equal(previous) {
		return
	}
	d.balancer.SetRetries(retrySettings(settings))
	d.logger.Info("settings taken up",
		zap.Duration("grace", settings.Callers.Grace),
		zap.Float64("retry-ratio", settings.Retries.Ratio),
		zap.Bool("restart-needed", !settings.SameListeners(previous)),
	)
}

func retrySettings(settings *config.Entry) retry.Settings {
	return retry.Settings{
		Ratio:   settings.Retries.Ratio,
		Reserve: float64(settings.Retries.Reserve),
		Window:  settings.Retries.Window,
	}
}
