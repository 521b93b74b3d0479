package commands

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"quincewinch/demo"
	"quincewinch/lib/logfmt"
	"quincewinch/peer/system"
)

// demoCommand runs the whole system on the loopback interface.
type demoCommand struct {
	deployment string
	duration   time.Duration
	readyFile  string
	logLevel   string
	tls        bool

	settingsDirectory string
}

func registerDemo(app *kingpin.Application) (string, command) {
	c := &demoCommand{}
	clause := app.Command("demo", "Run the whole system on this machine, with stand-ins for the platform, engines and services.")
	clause.Flag("deployment", "Deployment to run: tamarind or zarqa.").Default("tamarind").EnumVar(&c.deployment, "tamarind", "zarqa")
	clause.Flag("for", "Stop after this time; 0 runs until interrupted.").DurationVar(&c.duration)
	clause.Flag("ready-file", "Write the demo's addresses and keys to this file, as JSON.").StringVar(&c.readyFile)
	clause.Flag("log-level", "Log level: debug, info, warn or error.").Default("warn").StringVar(&c.logLevel)
	clause.Flag("tls", "Serve over TLS with certificates generated in memory; the ready file contains the certificate authority.").BoolVar(&c.tls)
	clause.Flag("settings-directory", "Start only the stand-ins, and write settings files to this directory for daemons to be started by hand.").StringVar(&c.settingsDirectory)
	return clause.FullCommand(), c
}

func (c *demoCommand) run(env environment) error {
	deployment, err := demo.Find(c.deployment)
	if err != nil {
		return err
	}
	logger, err := logfmt.New(c.logLevel, env.stderr)
	if err != nil {
		return err
	}
	clock := system.NewClock()
	running, err := demo.Start(env.ctx, deployment, clock, logger, demo.Options{TLS: c.tls, SettingsDirectory: c.settingsDirectory})
	if err != nil {
		return err
	}
	if c.readyFile != "" {
		if err := running.Ready.WriteFile(c.readyFile); err != nil {
			return err
		}
	}
	printEndpoints(env, deployment, running.Ready)
	wait(env.ctx, clock, c.duration)
	return running.Stop(context.WithoutCancel(env.ctx))
}

// printEndpoints prints the addresses of the demo and a sample call.
func printEndpoints(env environment, deployment demo.Deployment, ready demo.Ready) {
	_, _ = fmt.Fprintf(env.stdout, "callers:   %s\n", ready.Callers[0])
	_, _ = fmt.Fprintf(env.stdout, "operators: %s (key %s)\n", ready.Operators[0], ready.OperatorKey)
	_, _ = fmt.Fprintf(env.stdout, "metrics:   %s/metrics\n", ready.Metrics[0])
	_, _ = fmt.Fprintf(env.stdout, "try:\n  curl -s %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\": \"%s\", \"messages\": [{\"role\": \"user\", \"content\": \"Which oak flitches are in stock?\"}]}'\n",
		ready.Callers[0], ready.Workspaces[0].Key, deployment.Pools[0].Model)
}

// wait returns when ctx ends, or after d if d is greater than 0.
func wait(ctx context.Context, clock system.Clock, d time.Duration) {
	if d > 0 {
		_ = clock.Sleep(ctx, d)
		return
	}
	<-ctx.Done()
}
