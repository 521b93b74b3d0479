package commands

import (
	"net/http"
	"net/url"

	"github.com/alecthomas/kingpin/v2"
)

// usageCommand prints billing windows with their state and adjustments.
type usageCommand struct {
	flags     operatorFlags
	workspace string
}

func registerUsage(app *kingpin.Application) (string, command) {
	c := &usageCommand{}
	clause := app.Command("usage", "Show billing windows with their state, figures and adjustments.")
	c.flags.register(clause)
	clause.Arg("workspace", "Only windows of this workspace.").StringVar(&c.workspace)
	return clause.FullCommand(), c
}

func (c *usageCommand) run(env environment) error {
	path := "/usage"
	if c.workspace != "" {
		path += "/" + url.PathEscape(c.workspace)
	}
	return c.flags.call(env, http.MethodGet, path, nil, "", nil, []string{"workspace", "window", "state", "usage", "adjustments"})
}
