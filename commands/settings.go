package commands

import (
	"fmt"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"quincewinch/config"
)

// checkSettingsCommand checks a settings file and does nothing else.
type checkSettingsCommand struct {
	path string
}

func registerCheckSettings(app *kingpin.Application) (string, command) {
	c := &checkSettingsCommand{}
	clause := app.Command("check-settings", "Check a settings file.")
	clause.Arg("file", "Settings file.").Required().StringVar(&c.path)
	return clause.FullCommand(), c
}

func (c *checkSettingsCommand) run(env environment) error {
	if _, err := config.Load(c.path); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(env.stdout, "the settings are good")
	return nil
}

// settingsCommand prints every field of the settings file.
type settingsCommand struct{}

func registerSettings(app *kingpin.Application) (string, command) {
	clause := app.Command("settings", "Print each field of the settings file.")
	return clause.FullCommand(), settingsCommand{}
}

func (settingsCommand) run(env environment) error {
	w := tabwriter.NewWriter(env.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "FIELD\tDEFAULT\tUNIT\tMEANING")
	for _, field := range config.Fields {
		value := field.Default
		if field.Required {
			value = "(required)"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", field.Path, value, field.Unit, field.Meaning)
	}
	return w.Flush()
}
