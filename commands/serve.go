package commands

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"quincewinch/config"
	"quincewinch/daemon"
	"quincewinch/lib/logfmt"
	"quincewinch/peer/system"
)

// serveCommand runs one daemon until it is told to stop.
type serveCommand struct {
	settings string
}

func registerServe(app *kingpin.Application) (string, command) {
	c := &serveCommand{}
	clause := app.Command("serve", "Run a daemon.")
	clause.Flag("settings", "Settings file.").Required().StringVar(&c.settings)
	return clause.FullCommand(), c
}

func (c *serveCommand) run(env environment) error {
	settings, err := config.Load(c.settings)
	if err != nil {
		return err
	}
	logger, err := logfmt.New(settings.Log.Level, env.stderr)
	if err != nil {
		return err
	}
	d := daemon.New(settings, logger, system.NewClock())
	if err := d.Start(); err != nil {
		return err
	}
	<-env.ctx.Done()
	return d.Stop(context.WithoutCancel(env.ctx))
}
