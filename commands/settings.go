package commands

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"quincewinch/config"
)

// checkSettingsCommand validates a settings file.
type checkSettingsCommand struct {
	path  string
	entry bool
}

func registerCheckSettings(app *kingpin.Application) (string, command) {
	c := &checkSettingsCommand{}
	clause := app.Command("check-settings", "Check a settings file.")
	clause.Arg("file", "Settings file.").Required().StringVar(&c.path)
	clause.Flag("entry", "The file is for the entry command.").BoolVar(&c.entry)
	return clause.FullCommand(), c
}

func (c *checkSettingsCommand) run(env environment) error {
	if err := c.check(); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(env.stdout, "the settings are good")
	return nil
}

func (c *checkSettingsCommand) check() error {
	if c.entry {
		_, err := config.LoadEntry(c.path)
		return err
	}
	_, err := config.Load(c.path)
	return err
}

// settingsCommand prints every field of the settings file with its default,
// unit and meaning.
type settingsCommand struct {
	entry bool
}

func registerSettings(app *kingpin.Application) (string, command) {
	c := &settingsCommand{}
	clause := app.Command("settings", "Print each field of the settings file.")
	clause.Flag("entry", "Print the fields for the entry command.").BoolVar(&c.entry)
	return clause.FullCommand(), c
}

func (c *settingsCommand) run(env environment) error {
	if c.entry {
		return printFields(env.stdout, config.EntryFields)
	}
	return printFields(env.stdout, config.Fields)
}

func printFields[S any](out io.Writer, fields []config.Field[S]) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "FIELD\tDEFAULT\tUNIT\tMEANING")
	for _, field := range fields {
		value := field.Default
		if field.Required {
			value = "(required)"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", field.Path, value, field.Unit, field.Description)
	}
	return w.Flush()
}
