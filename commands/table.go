package commands

import (
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"quincewinch/table"
)

var rowColumns = []string{"kind", "name", "version", "cells"}

func rowPath(kind, name string) string {
	return "/table/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// tableListCommand lists rows.
type tableListCommand struct {
	flags operatorFlags
	kind  string
}

func registerTableList(app *kingpin.Application) (string, command) {
	c := &tableListCommand{}
	clause := app.GetCommand("table").Command("list", "List rows.")
	c.flags.register(clause)
	clause.Arg("kind", "Only rows of this kind.").StringVar(&c.kind)
	return clause.FullCommand(), c
}

func (c *tableListCommand) run(env environment) error {
	path := "/table"
	if c.kind != "" {
		path += "/" + url.PathEscape(c.kind)
	}
	return c.flags.call(env, http.MethodGet, path, nil, "", nil, rowColumns)
}

// tableColumnsCommand prints the columns of each kind of row.
type tableColumnsCommand struct{}

func registerTableColumns(app *kingpin.Application) (string, command) {
	clause := app.GetCommand("table").Command("columns", "Print the columns of each kind of row.")
	return clause.FullCommand(), tableColumnsCommand{}
}

func (tableColumnsCommand) run(env environment) error {
	w := tabwriter.NewWriter(env.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "KIND\tCOLUMN\tTYPE\tDEFAULT\tUNIT\tMEANING")
	for _, kind := range slices.Sorted(maps.Keys(table.Schema)) {
		for _, column := range table.Schema[kind] {
			value := column.Default
			if value == "" {
				value = "(required)"
			}
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", kind, column.Name, column.Type, value, column.Unit, column.Meaning)
		}
	}
	return errors.Trace(w.Flush())
}

// tablePutCommand writes a row.
type tablePutCommand struct {
	flags   operatorFlags
	kind    string
	name    string
	cells   string
	version string
}

func registerTablePut(app *kingpin.Application) (string, command) {
	c := &tablePutCommand{}
	clause := app.GetCommand("table").Command("put", "Write a whole row; cells that are not given get their defaults.")
	c.flags.register(clause)
	clause.Flag("row-version", "Version of the row as last read; omit for a new row.").StringVar(&c.version)
	clause.Arg("kind", "Kind of row.").Required().StringVar(&c.kind)
	clause.Arg("name", "Name of the row.").Required().StringVar(&c.name)
	clause.Arg("cells", "Cells as a JSON object.").Required().StringVar(&c.cells)
	return clause.FullCommand(), c
}

func (c *tablePutCommand) run(env environment) error {
	return c.flags.call(env, http.MethodPut, rowPath(c.kind, c.name), nil, c.version, []byte(c.cells), rowColumns)
}

// tableDeleteCommand deletes a row.
type tableDeleteCommand struct {
	flags   operatorFlags
	kind    string
	name    string
	version string
}

func registerTableDelete(app *kingpin.Application) (string, command) {
	c := &tableDeleteCommand{}
	clause := app.GetCommand("table").Command("delete", "Delete a row.")
	c.flags.register(clause)
	clause.Flag("row-version", "Version of the row as last read.").Required().StringVar(&c.version)
	clause.Arg("kind", "Kind of row.").Required().StringVar(&c.kind)
	clause.Arg("name", "Name of the row.").Required().StringVar(&c.name)
	return clause.FullCommand(), c
}

func (c *tableDeleteCommand) run(env environment) error {
	return c.flags.call(env, http.MethodDelete, rowPath(c.kind, c.name), nil, c.version, nil, rowColumns)
}
