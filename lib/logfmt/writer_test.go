package logfmt_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"quincewinch/lib/logfmt"
)

// gatedWriter is a writer that blocks until open is closed.
type gatedWriter struct {
	open  chan struct{}
	lines strings.Builder
}

func (g *gatedWriter) Write(line []byte) (int, error) {
	<-g.open
	return g.lines.Write(line)
}

func TestWriterNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &gatedWriter{open: make(chan struct{})}
	w := logfmt.NewWriter(out, 10)
	const lines = 100
	for i := range lines {
		n, err := fmt.Fprintf(w, "line %d\n", i)
		is.NoErr(err)
		is.True(n > 0)
	}
	close(out.open)
	w.Close()
	written := strings.Count(out.lines.String(), "\n")
	is.True(strings.HasPrefix(out.lines.String(), "line 0\nline 1\n")) // in order
	is.True(written >= 10)
	is.Equal(int(w.Dropped()), lines-written) // each line is written or counted as dropped
}

// TestLinesAfterCloseAreDropped guards against a process that ends with a panic because a
// task logs while it stops.
func TestLinesAfterCloseAreDropped(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	w := logfmt.NewWriter(&out, 10)
	w.Close()
	n, err := fmt.Fprint(w, "late\n")
	is.NoErr(err)
	is.Equal(n, len("late\n"))
	is.Equal(out.String(), "")
	is.Equal(int(w.Dropped()), 1)
	w.Close() // may be repeated
}
