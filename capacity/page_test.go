package capacity_test

import (
	"math"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"quincewinch/capacity"
)

func near(t *testing.T, got, want float64) {
	t.Helper()
	is.New(t).True(math.Abs(got-want) < 1e-9)
}

func TestFit(t *testing.T) {
	t.Run("a straight line is fitted exactly", func(t *testing.T) {
		s := capacity.Fit("line", []capacity.Point{{1, 5}, {2, 7}, {10, 23}})
		near(t, s.PerUnit, 2)
		near(t, s.At(410), 823)
		near(t, s.Residual, 0)
	})
	t.Run("a falling cost is not extrapolated below the last point", func(t *testing.T) {
		s := capacity.Fit("falling", []capacity.Point{{7, 30}, {28, 14}, {112, 14}})
		near(t, s.At(410), 14)
	})
	t.Run("a curve has a residual", func(t *testing.T) {
		s := capacity.Fit("curve", []capacity.Point{{1, 1}, {2, 4}, {3, 9}})
		is.New(t).True(s.Residual > 0.05)
	})
}

func TestRead(t *testing.T) {
	is := is.New(t)
	output := "BenchmarkSpread/7-12 \t 1 \t 10 ns/op \t 3 bytes/s/daemon\nBenchmarkSpread/28-12 \t 1 \t 20 ns/op \t 5 bytes/s/daemon\n"
	m, err := capacity.Read(strings.NewReader(output))
	is.NoErr(err)
	near(t, m["Spread/bytes/s/daemon"].At(28), 5)
	near(t, m["Spread/ns/op"].At(7), 10)
}

// TestPageFollowsFromTheMeasurements fails if docs/CAPACITY.md does not contain
// the tables computed from the recorded benchmark run.
func TestPageFollowsFromTheMeasurements(t *testing.T) {
	is := is.New(t)
	m, err := capacity.Recorded()
	is.NoErr(err)
	page, err := capacity.Page(m)
	is.NoErr(err)
	raw, err := os.ReadFile("../docs/CAPACITY.md")
	is.NoErr(err)
	is.True(strings.Contains(string(raw), page)) // the page contains the computed tables
}
