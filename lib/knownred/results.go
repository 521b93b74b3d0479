package main

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// ownFailLine ends the output of a test binary that ran all its tests. One that
// panicked, timed out or was killed does not print it.
const ownFailLine = "FAIL\n"

const raceLine = "WARNING: DATA RACE\n"

// event is one line of `go test -json`.
type event struct {
	Action      string
	Package     string
	ImportPath  string
	Test        string
	Output      string
	FailedBuild string
}

// outcome is the action that ended a test: pass, fail or skip. It is empty
// while the test runs.
type outcome string

const (
	passed  outcome = "pass"
	failed  outcome = "fail"
	skipped outcome = "skip"
)

// packageResult is what became of one package.
type packageResult struct {
	outcome  outcome
	ranToEnd bool
	// The output of tests that have not passed, in order, and under the empty
	// name that of the package itself.
	order  []string
	output map[string]*strings.Builder
}

// results are the outcomes of a run.
type results struct {
	tests    map[testID]outcome
	packages map[string]*packageResult
	builds   []string
	races    map[testID]bool
}

func newResults() *results {
	return &results{
		tests:    make(map[testID]outcome),
		packages: make(map[string]*packageResult),
		races:    make(map[testID]bool),
	}
}

// read follows a run to its end. It writes what `go test` itself would: a line
// for each package, and the output of what failed.
func (r *results) read(from io.Reader, to io.Writer) error {
	lines := bufio.NewReader(from)
	for {
		line, err := lines.ReadBytes('\n')
		if err == io.EOF && len(line) == 0 {
			return nil
		}
		if err != nil && err != io.EOF {
			return errors.Annotate(err, "cannot read the run")
		}
		var e event
		if err := json.Unmarshal(line, &e); err != nil {
			return errors.Annotatef(err, "not a test event: %q", line)
		}
		if _, err := io.WriteString(to, r.add(e)); err != nil {
			return errors.Annotate(err, "cannot write the output")
		}
	}
}

// add takes in one event and returns what to show of it.
func (r *results) add(e event) string {
	switch e.Action {
	case "build-output":
		return e.Output
	case "build-fail":
		r.builds = append(r.builds, e.ImportPath)
		return ""
	}
	p := r.packages[e.Package]
	if p == nil {
		p = &packageResult{output: make(map[string]*strings.Builder)}
		r.packages[e.Package] = p
	}
	id := testID{e.Package, e.Test}
	switch e.Action {
	case "run":
		r.tests[id] = ""
	case "output":
		p.write(e.Test, e.Output)
		if e.Output == raceLine {
			r.races[id] = true
		}
	case "pass", "fail", "skip":
		if e.Test == "" {
			p.outcome = outcome(e.Action)
			return p.shown()
		}
		r.tests[id] = outcome(e.Action)
		if r.tests[id] != failed {
			p.forget(e.Test)
		}
	}
	return ""
}

func (p *packageResult) write(test, output string) {
	if strings.HasPrefix(output, "=== ") {
		return
	}
	if test == "" && output == ownFailLine {
		p.ranToEnd = true
	}
	if p.output[test] == nil {
		p.output[test] = &strings.Builder{}
		p.order = append(p.order, test)
	}
	p.output[test].WriteString(output)
}

func (p *packageResult) forget(test string) {
	delete(p.output, test)
	p.order = slices.DeleteFunc(p.order, func(name string) bool { return name == test })
}

// shown is the output of the package's failed tests, then its own. Of a package
// that passed, it is the last line alone.
func (p *packageResult) shown() string {
	var own string
	if p.output[""] != nil {
		own = p.output[""].String()
	}
	if p.outcome != failed {
		lines := strings.SplitAfter(strings.TrimSuffix(own, "\n"), "\n")
		return lines[len(lines)-1] + "\n"
	}
	var all strings.Builder
	for _, test := range p.order {
		if test != "" {
			all.WriteString(p.output[test].String())
		}
	}
	return all.String() + own
}

// count returns the number of tests and subtests with an outcome.
func (r *results) count(wanted outcome) int {
	n := 0
	for _, o := range r.tests {
		if o == wanted {
			n++
		}
	}
	return n
}
