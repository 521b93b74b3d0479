package commands_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// expectRefused asserts that a command fails and says why.
func expectRefused(t *testing.T, why string, args ...string) {
	t.Helper()
	is := is.New(t)
	_, stderr, status := run(args...)
	is.Equal(status, 1)
	is.True(strings.Contains(stderr, why)) // it says why
}

func TestOperatorEdits(t *testing.T) {
	startDemo(t)
	t.Run("the loser of a race sees the row that stands", func(t *testing.T) {
		is := is.New(t)
		_, _, status := run("workspace", "create", "contested", `{"weight": 3}`)
		is.Equal(status, 0)
		expectRefused(t, `the row now stands as {"kind":"workspace","name":"contested"`, "workspace", "create", "contested")
	})
	t.Run("bad rows are refused whole, with the cell named", func(t *testing.T) {
		expectRefused(t, "cell weight: must not be negative", "table", "put", "workspace", "w", `{"weight": -1}`)
		expectRefused(t, "cell wait: no such column", "table", "put", "workspace", "w", `{"wait": 1}`)
		expectRefused(t, "cell key-freshness: must be a duration", "table", "put", "workspace", "w", `{"key-freshness": 5}`)
		expectRefused(t, "kind of row", "table", "put", "colour", "w", `{}`)
		stdout, _, _ := run("workspace", "list")
		is.New(t).True(!strings.Contains(stdout, "\nw ")) // no part of them stands
	})
	t.Run("what does not exist", func(t *testing.T) {
		expectRefused(t, "nobody", "key", "withdraw", "nobody")
	})
	t.Run("a wrong operators' key", func(t *testing.T) {
		expectRefused(t, "the operators' key is not valid", "table", "list", "--operator-key", "wrong")
	})
}
