package commands_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// expectRefused asserts that a command fails with the given reason.
func expectRefused(t *testing.T, why string, args ...string) {
	t.Helper()
	is := is.New(t)
	_, stderr, status := run(args...)
	is.Equal(status, 1)
	is.True(strings.Contains(stderr, why)) // error contains the reason
}

func TestOperatorEdits(t *testing.T) {
	startDemo(t)
	t.Run("conflict shows the current row", func(t *testing.T) {
		is := is.New(t)
		_, _, status := run("workspace", "create", "contested", `{"weight": 3}`)
		is.Equal(status, 0)
		expectRefused(t, `the row now stands as {"kind":"workspace","name":"contested"`, "workspace", "create", "contested")
	})
	t.Run("invalid row is rejected and the cell named", func(t *testing.T) {
		expectRefused(t, "cell weight: must not be negative", "table", "put", "workspace", "w", `{"weight": -1}`)
		expectRefused(t, "cell wait: no such column", "table", "put", "workspace", "w", `{"wait": 1}`)
		expectRefused(t, "cell key-freshness: must be a duration", "table", "put", "workspace", "w", `{"key-freshness": 5}`)
		expectRefused(t, "kind of row", "table", "put", "colour", "w", `{}`)
		stdout, _, _ := run("workspace", "list")
		is.New(t).True(!strings.Contains(stdout, "\nw ")) // row not stored in part
	})
	t.Run("unknown key", func(t *testing.T) {
		expectRefused(t, "nobody", "key", "withdraw", "nobody")
	})
	t.Run("wrong operators' key", func(t *testing.T) {
		expectRefused(t, "the operators' key is not valid", "table", "list", "--operator-key", "wrong")
	})
}
