package commands

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"quincewinch/config"
	"quincewinch/daemon"
	"quincewinch/lib/certificates"
	"quincewinch/lib/logfmt"
	"quincewinch/peer"
	"quincewinch/peer/system"
)

// serveCommand runs a daemon until SIGINT or SIGTERM.
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
	clock := system.NewClock()
	source, err := certificateSource(settings, clock)
	if err != nil {
		return err
	}
	d := daemon.New(settings, logger, clock, source)
	if err := d.Start(); err != nil {
		return err
	}
	<-env.ctx.Done()
	return d.Stop(context.WithoutCancel(env.ctx))
}

// certificateSource returns a source of the certificate files in the settings,
// or nil if no section uses TLS.
func certificateSource(settings *config.Settings, clock peer.Clock) (certificates.Source, error) {
	if !settings.UsesTLS() {
		return nil, nil //nolint:nilnil // no section needs a certificate
	}
	files := settings.TLS
	return certificates.NewFiles(files.CertificateFile, files.KeyFile, files.AuthorityFile, files.Refresh, clock)
}
