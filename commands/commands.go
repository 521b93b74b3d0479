// Package commands implements the command line.
package commands

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"
)

const (
	exitSuccess = 0
	exitFailure = 1
)

// environment is what a command uses of the process it runs in.
type environment struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
}

// command is a command that has been registered with the command line.
type command interface {
	run(env environment) error
}

// exitError ends a command with an exit status of its own.
type exitError struct {
	status  int
	message string
}

// Error implements error.
func (e exitError) Error() string {
	return e.message
}

// Run executes a command line and returns the exit status of the process.
func Run(args []string, stdout, stderr io.Writer) int {
	// Caught until the process ends, so that a repeated signal does not end it in
	// place of its exit status.
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	app := kingpin.New("quincewinch", "Serves models on a limited fleet of engines.")
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
		return exitStatus(err)
	}
	return exitSuccess
}

// exitStatus returns the exit status for the error of a command.
func exitStatus(err error) int {
	var exit exitError
	if errors.As(err, &exit) {
		return exit.status
	}
	return exitFailure
}

// registrations returns the functions that register the commands. It creates
// the command groups first, since commands look up their group.
func registrations(app *kingpin.Application) []func(*kingpin.Application) (string, command) {
	app.Command("workspace", "Manage workspaces.")
	app.Command("key", "Manage workspace keys.")
	app.Command("table", "Read and edit the table's rows.")
	app.Command("fleet", "Show the engines.")
	return []func(*kingpin.Application) (string, command){
		registerServe, registerEntry, registerDemo, registerCheckSettings, registerSettings, registerCheck, registerCompare, registerReport,
		registerWorkspaceList, registerWorkspaceCreate,
		registerKeyList, registerKeyGive, registerKeyWithdraw,
		registerTableColumns, registerTableList, registerTablePut, registerTableDelete,
		registerFleetList, registerFleetExplain, registerTimeline, registerUsage, registerCapacity,
	}
}
