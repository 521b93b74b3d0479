package commands

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"quincewinch/policy/fleet/trace"
)

// compareCommand compares fleet policies on seeded traces.
type compareCommand struct {
	seed uint64
}

func registerCompare(app *kingpin.Application) (string, command) {
	c := &compareCommand{}
	clause := app.Command("compare", "Compare policies for choosing roles and backend servers, on seeded traces in virtual time.")
	clause.Flag("seed", "Seed of the traces.").Default("1").Uint64Var(&c.seed)
	return clause.FullCommand(), c
}

func (c *compareCommand) run(env environment) error {
	_, _ = fmt.Fprintf(env.stdout, "seed %d\n", c.seed)
	if err := trace.Write(env.stdout, trace.Compare(c.seed)); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(env.stdout)
	return trace.WriteSpending(env.stdout, c.seed)
}
