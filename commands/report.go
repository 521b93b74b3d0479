package commands

import (
	"os"
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
	var requests []report.Request
	for _, name := range c.files {
		found, err := readLog(name)
		if err != nil {
			return err
		}
		requests = append(requests, found...)
	}
	return report.Write(env.stdout, report.Summarize(requests, c.interval), c.interval)
}

func readLog(name string) ([]report.Request, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Annotate(err, "cannot open the log")
	}
	requests, err := report.Read(file)
	if closeErr := file.Close(); err == nil && closeErr != nil {
		err = closeErr
	}
	return requests, errors.Annotatef(err, "log %s", name)
}
