package third

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/juju/errors"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// A trial is a case: it reports whether its rule was kept. Trouble is unset for the same
// run without the disruption.
type trial func(l *lab, trouble bool) (held bool, err error)

var trials = map[string]trial{
	"11": listInTwoLines,
	"12": manyShortParts,
	"13": endlessJunk,
	"14": unframedCrashes,
	"15": hostInOtherForms,
}

// TestMain runs the case that the environment names. Without one there is nothing to run.
func TestMain(m *testing.M) {
	name := os.Getenv("REVIEW_CASE")
	if name == "" {
		os.Exit(m.Run())
	}
	held, err := runCase(name)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	case !held:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// runCase runs a case in the root of the repository.
func runCase(name string) (held bool, err error) {
	run, ok := trials[name]
	if !ok {
		return false, errors.NotFoundf("case %q", name)
	}
	l, err := newLab(filepath.Join("review", name, "record.txt"))
	if err != nil {
		return false, err
	}
	defer l.close()
	trouble := os.Getenv("TROUBLE") != "0"
	l.note("case %s, disruption: %t", name, trouble)
	held, err = run(l, trouble)
	if err != nil {
		l.note("not run: %v", err)
		return false, err
	}
	l.note("rule kept: %t", held)
	return held, nil
}
