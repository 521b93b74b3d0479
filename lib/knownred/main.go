// Command knownred runs `go test` and passes if exactly the tests in a list of
// known failures fail.
package main

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"
)

func main() {
	app := kingpin.New("knownred", "Run `go test` and pass if exactly the listed tests fail.")
	name := app.Arg("list", "File of known failures.").Required().ExistingFile()
	arguments := app.Arg("arguments", "Arguments of `go test`, after --. Another -- begins those of a further run.").Strings()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*name, *arguments, os.Stdout); err != nil {
		app.Fatalf("%v", err)
	}
}

func run(name string, arguments []string, out io.Writer) error {
	list, err := readListFile(name)
	if err != nil {
		return err
	}
	r := newResults()
	passes := true
	for _, arguments := range splitRuns(arguments) {
		runPasses, err := goTest(arguments, r, out)
		if err != nil {
			return err
		}
		passes = passes && runPasses
	}
	found := objections(list, r)
	if !passes && r.count(failed) == 0 && len(found) == 0 {
		found = append(found, "go test failed, though no test did")
	}
	if err := summarize(out, list, r, found); err != nil {
		return err
	}
	if len(found) > 0 {
		return errors.Errorf("the run differs from %s", name)
	}
	return nil
}

// splitRuns returns the arguments of each run of `go test`.
func splitRuns(arguments []string) [][]string {
	end := slices.Index(arguments, "--")
	if end < 0 {
		return [][]string{arguments}
	}
	return append([][]string{arguments[:end]}, splitRuns(arguments[end+1:])...)
}

func readListFile(name string) ([]entry, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Annotate(err, "cannot open the list")
	}
	list, err := readList(file)
	if closeErr := file.Close(); err == nil && closeErr != nil {
		err = closeErr
	}
	return list, errors.Annotatef(err, "%s", name)
}

// goTest returns whether `go test` itself passes the run.
func goTest(arguments []string, r *results, out io.Writer) (bool, error) {
	command := exec.Command("go", append([]string{"test", "-json"}, arguments...)...)
	command.Stderr = os.Stderr
	events, err := command.StdoutPipe()
	if err != nil {
		return false, errors.Annotate(err, "cannot follow go test")
	}
	if err := command.Start(); err != nil {
		return false, errors.Annotate(err, "cannot start go test")
	}
	readErr := r.read(events, out)
	waitErr := command.Wait()
	if readErr != nil {
		return false, readErr
	}
	var exit *exec.ExitError
	if waitErr != nil && !errors.As(waitErr, &exit) {
		return false, errors.Annotate(waitErr, "cannot run go test")
	}
	return waitErr == nil, nil
}

// summarize ends the log: the counts, the known failures and what differs.
func summarize(out io.Writer, list []entry, r *results, found []string) error {
	text := fmt.Sprintf("\n%d passed, %d failed, %d skipped\n", r.count(passed), r.count(failed), r.count(skipped))
	text += fmt.Sprintf("known failures: %d\n", len(list))
	for _, e := range list {
		text += "  " + e.String() + "\n"
	}
	for _, objection := range found {
		text += "NOT OK: " + objection + "\n"
	}
	if len(found) == 0 {
		text += "OK\n"
	}
	_, err := io.WriteString(out, text)
	return errors.Annotate(err, "cannot write the summary")
}
