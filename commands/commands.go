// Package commands holds the command line, one command a file.
package commands

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
)

const (
	exitSuccess = 0
	exitFailure = 1
)

// environment is what a command may use of the process.
type environment struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
}

// command is one command, registered with the command line.
type command interface {
	run(env environment) error
}

// Run carries out the command line and returns the process's exit status.
func Run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := kingpin.New("quincewinch", "Serves models for a limited fleet.")
	app.UsageWriter(stderr)
	app.ErrorWriter(stderr)
	commands := map[string]command{}
	for _, register := range registrations(app) {
		name, c := register(app)
		commands[name] = c
	}
	name, err := app.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "quincewinch: "+err.Error())
		return exitFailure
	}
	if err := commands[name].run(environment{ctx: ctx, stdout: stdout, stderr: stderr}); err != nil {
		_, _ = fmt.Fprintln(stderr, "quincewinch: "+err.Error())
		return exitFailure
	}
	return exitSuccess
}

// registrations returns what registers each command. Groups of commands are
// made first.
func registrations(app *kingpin.Application) []func(*kingpin.Application) (string, command) {
	app.Command("workspace", "Workspaces.")
	app.Command("key", "Keys to workspaces.")
	app.Command("table", "The table's rows.")
	app.Command("fleet", "The engines.")
	return []func(*kingpin.Application) (string, command){
		registerServe, registerEntry, registerDemo, registerCheckSettings, registerSettings, registerCompare,
		registerWorkspaceList, registerWorkspaceCreate,
		registerKeyList, registerKeyGive, registerKeyWithdraw,
		registerTableColumns, registerTableList, registerTablePut, registerTableDelete,
		registerFleetList, registerFleetExplain, registerTimeline, registerUsage, registerCapacity,
	}
}
