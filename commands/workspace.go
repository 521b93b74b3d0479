package commands

import (
	"net/http"

	"github.com/alecthomas/kingpin/v2"
)

// workspaceListCommand lists workspaces with their cells.
type workspaceListCommand struct {
	flags operatorFlags
}

func registerWorkspaceList(app *kingpin.Application) (string, command) {
	c := &workspaceListCommand{}
	clause := app.GetCommand("workspace").Command("list", "List the workspaces.")
	c.flags.register(clause)
	return clause.FullCommand(), c
}

func (c *workspaceListCommand) run(env environment) error {
	return c.flags.call(env, http.MethodGet, "/table/workspace", nil, "", nil, []string{"name", "version", "cells"})
}

// workspaceCreateCommand creates a workspace.
type workspaceCreateCommand struct {
	flags operatorFlags
	name  string
	cells string
}

func registerWorkspaceCreate(app *kingpin.Application) (string, command) {
	c := &workspaceCreateCommand{}
	clause := app.GetCommand("workspace").Command("create", "Create a workspace.")
	c.flags.register(clause)
	clause.Arg("name", "The workspace's name.").Required().StringVar(&c.name)
	clause.Arg("cells", "Cells as a JSON object.").Default("{}").StringVar(&c.cells)
	return clause.FullCommand(), c
}

func (c *workspaceCreateCommand) run(env environment) error {
	return c.flags.call(env, http.MethodPut, rowPath("workspace", c.name), nil, "", []byte(c.cells), []string{"name", "version", "cells"})
}
