package commands

import (
	"net/http"
	"net/url"

	"github.com/alecthomas/kingpin/v2"
)

// fleetListCommand lists engines with their last reported state.
type fleetListCommand struct {
	flags operatorFlags
}

func registerFleetList(app *kingpin.Application) (string, command) {
	c := &fleetListCommand{}
	clause := app.GetCommand("fleet").Command("list", "List the engines with their last reported state.")
	c.flags.register(clause)
	return clause.FullCommand(), c
}

func (c *fleetListCommand) run(env environment) error {
	columns := []string{"engine", "role", "models", "draining", "changing", "running", "queued", "free-pieces", "total-pieces"}
	return c.flags.call(env, http.MethodGet, "/fleet", nil, "", nil, columns)
}

// fleetExplainCommand prints sentences that say what an engine does and why.
type fleetExplainCommand struct {
	flags  operatorFlags
	engine string
}

func registerFleetExplain(app *kingpin.Application) (string, command) {
	c := &fleetExplainCommand{}
	clause := app.GetCommand("fleet").Command("explain", "Explain what an engine does and why.")
	c.flags.register(clause)
	clause.Arg("engine", "The engine's name.").Required().StringVar(&c.engine)
	return clause.FullCommand(), c
}

func (c *fleetExplainCommand) run(env environment) error {
	path := "/fleet/" + url.PathEscape(c.engine)
	return c.flags.call(env, http.MethodGet, path, nil, "", nil, []string{"sentence"})
}
