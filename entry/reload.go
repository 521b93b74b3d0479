package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"quincewinch/config"
	"quincewinch/policy/retry"
)

// ReloadInterval is the time between two checks of the settings file, which may
// change without a signal to the process.
const ReloadInterval = 2 * time.Second

// Reloader applies changes of the settings file to a running daemon.
type Reloader struct {
	daemon *Daemon
	load   func() (*config.Entry, error)

	mu     sync.Mutex // a signal may trigger a reload during a periodic one
	failed bool       // the last load failed; limits the warning to one per failure
}

// NewReloader returns a reloader for a daemon. The function load reads the
// current settings.
func NewReloader(daemon *Daemon, load func() (*config.Entry, error)) *Reloader {
	return &Reloader{daemon: daemon, load: load}
}

// Step loads the settings file and applies it. If the file is not valid, the
// previous settings stay in force.
func (r *Reloader) Step(context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	settings, err := r.load()
	if err != nil {
		if !r.failed {
			r.daemon.logger.Warn("settings not reloaded, previous settings stay in force", zap.Error(err))
		}
		r.failed = true
		return
	}
	r.failed = false
	r.daemon.apply(settings)
}

// apply applies the settings that may change while the process runs. Other
// changes need a restart, which the log line states.
func (d *Daemon) apply(settings *config.Entry) {
	previous := d.settings.Swap(settings)
	if settings.Equal(previous) {
		return
	}
	d.balancer.SetRetries(retrySettings(settings))
	d.logger.Info("settings reloaded",
		zap.Duration("grace", settings.Callers.Grace),
		zap.Float64("retry-ratio", settings.Retries.Ratio),
		zap.Bool("restart-needed", !settings.SameIdentityAndAddresses(previous)),
	)
}

func retrySettings(settings *config.Entry) retry.Settings {
	return retry.Settings{
		Ratio:   settings.Retries.Ratio,
		Reserve: settings.Retries.Reserve,
		Window:  settings.Retries.Window,
	}
}
