package commands

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"quincewinch/capacity"
)

// capacityCommand prints the tables of docs/CAPACITY.md.
type capacityCommand struct {
	path string
}

func registerCapacity(app *kingpin.Application) (string, command) {
	c := &capacityCommand{}
	clause := app.Command("capacity", "Print the measured slopes, and what follows from them at the size to design for.")
	clause.Flag("measured", "Output of the benchmarks; the run that is kept with the program otherwise.").StringVar(&c.path)
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
