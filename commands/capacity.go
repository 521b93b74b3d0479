package commands

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"quincewinch/capacity"
)

// capacityCommand prints the tables of docs/CAPACITY.md, from recorded or
// given measurements.
type capacityCommand struct {
	path string
}

func registerCapacity(app *kingpin.Application) (string, command) {
	c := &capacityCommand{}
	clause := app.Command("capacity", "Print the measured slopes, and the cost of each daemon role that they predict at the design size.")
	clause.Flag("measured", "File with benchmark output; by default the run embedded in the program.").StringVar(&c.path)
	return clause.FullCommand(), c
}

func (c *capacityCommand) run(env environment) error {
	measured, err := c.loadMeasurements()
	if err != nil {
		return err
	}
	page, err := capacity.Page(measured)
	if err != nil {
		return err
	}
	_, err = env.stdout.Write([]byte(page))
	return errors.Trace(err)
}

func (c *capacityCommand) loadMeasurements() (capacity.Measured, error) {
	if c.path == "" {
		return capacity.Recorded()
	}
	file, err := os.Open(c.path)
	if err != nil {
		return nil, errors.Annotate(err, "cannot open the measurements")
	}
	defer func() { _ = file.Close() }()
	return capacity.Read(file)
}
