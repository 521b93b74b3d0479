package commands

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"quincewinch/check"
	"quincewinch/platform"
)

// exitFindings is the exit status if a checked configuration has errors.
const exitFindings = 2

// checkCommand checks a configuration of operators before it is sent.
type checkCommand struct {
	path    string
	against string
	json    bool
}

func registerCheck(app *kingpin.Application) (string, command) {
	c := &checkCommand{}
	clause := app.Command("check", "Check a configuration for `quincewinch entry` before it is sent. Exit status: 0 without errors, 2 with errors, 1 if it could not be checked.")
	clause.Arg("file", "The configuration.").Required().StringVar(&c.path)
	clause.Flag("against", "The version in force; shows what changes.").StringVar(&c.against)
	clause.Flag("json", "Print JSON.").BoolVar(&c.json)
	return clause.FullCommand(), c
}

func (c *checkCommand) run(env environment) error {
	document, err := readConfiguration(c.path)
	if err != nil {
		return err
	}
	result := checkResult{findings: check.Configuration(document)}
	if c.against != "" {
		inForce, err := readConfiguration(c.against)
		if err != nil {
			return err
		}
		if inForce.Routing == nil {
			return errors.Errorf("%s: %s", c.against, inForce.Problems[0].Message)
		}
		changes, findings := check.Compare(inForce, document)
		result.changes = changes
		result.findings = check.Sorted(append(result.findings, findings...))
	}
	if err := c.write(env.stdout, result); err != nil {
		return errors.Annotate(err, "cannot write the result")
	}
	if check.HasErrors(result.findings) {
		return exitError{status: exitFindings, message: "the configuration has errors"}
	}
	return nil
}

func readConfiguration(path string) (*check.Document, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "cannot read the configuration")
	}
	return platform.Inspect(raw), nil
}

// checkResult is what a check has found.
type checkResult struct {
	findings []check.Finding
	changes  []check.Difference
}

func (c *checkCommand) write(out io.Writer, result checkResult) error {
	if c.json {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(encodeCheck(result))
	}
	return writeCheck(out, result)
}

// writeCheck writes one line for each finding and each difference.
func writeCheck(out io.Writer, result checkResult) error {
	for _, f := range result.findings {
		if _, err := fmt.Fprintf(out, "%s: %s: %s\n", f.Severity, f.Subject, f.Message); err != nil {
			return err
		}
	}
	for _, d := range result.changes {
		line := fmt.Sprintf("%s: %s", d.Change, d.Subject)
		if d.Field != "" {
			line += fmt.Sprintf(": %s: %s -> %s", d.Field, d.Before, d.After)
		}
		if _, err := fmt.Fprintln(out, line); err != nil {
			return err
		}
	}
	if len(result.findings) > 0 {
		return nil
	}
	_, err := fmt.Fprintln(out, "the configuration is good")
	return err
}

type checkForm struct {
	Findings []findingForm    `json:"findings"`
	Changes  []differenceForm `json:"changes"`
}

type findingForm struct {
	Severity string `json:"severity"`
	Kind     string `json:"kind"`
	Name     string `json:"name,omitempty"`
	Message  string `json:"message"`
}

type differenceForm struct {
	Change string `json:"change"`
	Kind   string `json:"kind"`
	Name   string `json:"name,omitempty"`
	Field  string `json:"field,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

func encodeCheck(result checkResult) checkForm {
	form := checkForm{Findings: []findingForm{}, Changes: []differenceForm{}}
	for _, f := range result.findings {
		form.Findings = append(form.Findings, findingForm{
			Severity: string(f.Severity), Kind: string(f.Subject.Kind), Name: f.Subject.Name, Message: f.Message,
		})
	}
	for _, d := range result.changes {
		form.Changes = append(form.Changes, differenceForm{
			Change: string(d.Change), Kind: string(d.Subject.Kind), Name: d.Subject.Name, Field: d.Field, Before: d.Before, After: d.After,
		})
	}
	return form
}
