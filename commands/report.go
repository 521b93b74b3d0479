package commands

import (
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"quincewinch/report"
)

// defaultReportInterval shows bursts of a few seconds.
const defaultReportInterval = "1s"

// reportCommand summarizes the logs of daemons.
type reportCommand struct {
	files    []string
	interval time.Duration
}

func registerReport(app *kingpin.Application) (string, command) {
	c := &reportCommand{}
	clause := app.Command("report", "Summarize the requests in the logs of `quincewinch entry` over time: served, late, refused, predictions, engines.")
	clause.Flag("interval", "Length of one interval.").Default(defaultReportInterval).DurationVar(&c.interval)
	clause.Arg("log", "Log files, of one or more daemons.").Required().ExistingFilesVar(&c.files)
	return clause.FullCommand(), c
}

func (c *reportCommand) run(env environment) error {
	if c.interval <= 0 {
		return errors.NotValidf("interval %s", c.interval)
	}
	var readers []io.Reader
	for _, name := range c.files {
		file, err := os.Open(name)
		if err != nil {
			return errors.Annotate(err, "cannot open the log")
		}
		defer file.Close()
		// A log may end within a line.
		readers = append(readers, file, strings.NewReader("\n"))
	}
	requests, err := report.Read(io.MultiReader(readers...))
	if err != nil {
		return err
	}
	return report.Write(env.stdout, report.Summarize(requests, c.interval), c.interval)
}
