package commands_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"quincewinch/commands"
	"quincewinch/demo"
	"quincewinch/peer/system"
)

const examplePrefix = "    quincewinch "

// examples returns the example commands on a page, which are the lines with
// examplePrefix.
func examples(t *testing.T, page string) []string {
	t.Helper()
	raw, err := os.ReadFile(page)
	is.New(t).NoErr(err)
	var found []string
	for line := range strings.Lines(string(raw)) {
		if example, ok := strings.CutPrefix(strings.TrimRight(line, "\n"), examplePrefix); ok {
			found = append(found, example)
		}
	}
	return found
}

// splitCommand splits a command into arguments like a shell. It supports single
// quotes only.
func splitCommand(command string) []string {
	var list []string
	for i, part := range strings.Split(command, "'") {
		if i%2 == 1 {
			list = append(list, part)
			continue
		}
		list = append(list, strings.Fields(part)...)
	}
	return list
}

// startDemo starts the demo and sets the environment so that commands call it.
func startDemo(t *testing.T) {
	t.Helper()
	is := is.New(t)
	deployment, err := demo.Find("tamarind")
	is.NoErr(err)
	running, err := demo.Start(t.Context(), deployment, system.NewClock(), zap.NewNop(), demo.Options{})
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(running.Stop(context.Background())) })
	t.Setenv("QUINCEWINCH_ADDRESS", running.Ready.Operators[0])
	t.Setenv("QUINCEWINCH_OPERATOR_KEY", running.Ready.OperatorKey)
}

// run executes a command and returns its output and exit status.
func run(args ...string) (stdout, stderr string, status int) {
	var out, errOut bytes.Buffer
	status = commands.Run(args, &out, &errOut)
	return out.String(), errOut.String(), status
}

// TestDocumentedCommandsSucceed runs every example command of the
// documentation against the demo.
func TestDocumentedCommandsSucceed(t *testing.T) {
	is := is.New(t)
	startDemo(t)
	pages, err := filepath.Glob("../docs/*.md")
	is.NoErr(err)
	for _, page := range pages {
		for _, example := range examples(t, page) {
			t.Run(filepath.Base(page)+": "+example, func(t *testing.T) {
				is := is.New(t)
				stdout, stderr, status := run(splitCommand(example)...)
				is.Equal(stderr, "")
				is.Equal(status, 0)
				is.True(stdout != "") // output not empty
			})
		}
	}
}

// expectOnPage asserts that a page contains every line that a command prints.
func expectOnPage(t *testing.T, page string, args ...string) {
	t.Helper()
	is := is.New(t)
	stdout, _, status := run(args...)
	is.Equal(status, 0)
	raw, err := os.ReadFile(page)
	is.NoErr(err)
	for line := range strings.Lines(stdout) {
		is.True(strings.Contains(string(raw), line)) // page contains the line
	}
}

func TestDocumentedFieldsMatchOutput(t *testing.T) {
	t.Run("settings", func(t *testing.T) { expectOnPage(t, "../docs/settings.md", "settings") })
	t.Run("settings of entry", func(t *testing.T) { expectOnPage(t, "../docs/settings.md", "settings", "--entry") })
	t.Run("table", func(t *testing.T) { expectOnPage(t, "../docs/table.md", "table", "columns") })
}

func TestCheckSettingsReportsEachError(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	settings := `{
		"name": "entry-1",
		"callers": {"address": "nowhere", "plain": true},
		"operators": {"address": "127.0.0.1:2", "plain": true, "key": "k", "colour": 1},
		"daemons": {"address": "127.0.0.1:3", "plain": true},
		"metrics": {"address": "127.0.0.1:4", "plain": true},
		"platform": {"url": "http://127.0.0.1:5", "plain": true},
		"engines": {"plain": true}
	}`
	is.NoErr(os.WriteFile(path, []byte(settings), 0o600))
	_, stderr, status := run("check-settings", path)
	is.Equal(status, 1)
	for _, fault := range []string{"zone: missing field", "callers.address: bad address", "operators.colour: unknown field"} {
		is.True(strings.Contains(stderr, fault)) // error is reported
	}
}
