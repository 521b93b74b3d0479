package commands

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"quincewinch/config"
	"quincewinch/entry"
	"quincewinch/lib/logfmt"
	"quincewinch/peer/system"
)

// logBufferLines is the number of log lines that may wait to be written, which
// is a few seconds' worth on the busiest VM.
const logBufferLines = 4096

// entryCommand runs a daemon on the users' platform until SIGINT or
// SIGTERM. SIGHUP makes it reload its settings.
type entryCommand struct {
	settings string
}

func registerEntry(app *kingpin.Application) (string, command) {
	c := &entryCommand{}
	clause := app.Command("entry", "Run a daemon on the users' platform that relays requests unchanged.")
	clause.Flag("settings", "Settings file.").Envar("QUINCEWINCH_CONFIG").Required().StringVar(&c.settings)
	return clause.FullCommand(), c
}

func (c *entryCommand) run(env environment) error {
	hangups := make(chan os.Signal, 1)
	// Caught until the process ends: a SIGHUP in the last moments of a stop would
	// end it in place of its exit status.
	signal.Notify(hangups, syscall.SIGHUP)
	settings, err := config.LoadEntry(c.settings)
	if err != nil {
		return err
	}
	lines := logfmt.NewWriter(env.stdout, logBufferLines)
	defer lines.Close()
	logger, err := logfmt.New(settings.Log.Level, lines)
	if err != nil {
		return err
	}
	d := entry.New(settings, logger, system.NewClock(), system.NewWallClock(), lines.Dropped)
	if err := d.Start(env.ctx); err != nil {
		return err
	}
	reloader := entry.NewReloader(d, func() (*config.Entry, error) { return config.LoadEntry(c.settings) })
	d.Spawn(reloader, entry.ReloadInterval)
	for {
		select {
		case <-hangups:
			reloader.Step(env.ctx)
		case <-env.ctx.Done():
			d.Stop(context.WithoutCancel(env.ctx))
			return nil
		}
	}
}
