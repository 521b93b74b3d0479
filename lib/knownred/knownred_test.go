package main

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestObjections(t *testing.T) {
	const (
		one    = "example/a | TestFails/one | go test ./a | one is wrong | 7\n"
		parent = "example/a | TestFails | go test ./a | own | 7\n"
	)
	tests := []struct {
		name, list, run string
		want            []string
	}{
		{"nothing listed, nothing failed", "", "passes", nil},
		{"a listed subtest fails, and its test with it", one, "fails", nil},
		{"an unlisted test fails", "", "fails", []string{"failed: example/a TestFails/one"}},
		{"a listed test does not cover its subtests", parent, "fails", []string{"failed: example/a TestFails/one"}},
		{"the same test of another package fails", one, "two-packages", []string{"failed: example/q TestFails"}},
		{"a listed test of another package", "example/p | TestFails/one | c | s | 7", "fails", []string{
			"failed: example/a TestFails/one", "listed, but did not run: example/p TestFails/one"}},
		{"a listed test passes", one + "example/a | TestPasses | c | s | 7", "fails", []string{"listed, but passed: example/a TestPasses"}},
		{"a listed subtest passes", one + "example/a | TestFails/two | c | s | 7", "fails", []string{"listed, but passed: example/a TestFails/two"}},
		{"a listed test is skipped", one + "example/a | TestSkips | c | s | 7", "fails", []string{"listed, but was skipped: example/a TestSkips"}},
		{"a listed test does not exist", "example/p | TestGone | c | s | 7", "passes", []string{"listed, but did not run: example/p TestGone"}},
		{"no test ran", "", "no-tests", []string{"no test ran"}},
		{"a package does not build", "", "build", []string{
			"does not build: example/c [example/c.test]", "no test ran",
			"package broke off (build, panic, timeout or exit): example/c"}},
		{"a listed test that panics takes the others with it", "example/b | TestPanics | c | s | 7", "panics", []string{
			"package broke off (build, panic, timeout or exit): example/b"}},
		{"an unlisted test panics", "", "panics", []string{
			"failed: example/b TestPanics", "package broke off (build, panic, timeout or exit): example/b"}},
		{"a listed test times out", "example/e | TestHangs | c | s | 7", "times-out", []string{
			"did not end: example/e TestHangs", "package broke off (build, panic, timeout or exit): example/e"}},
		{"a race in an unlisted test", "", "races", []string{
			"data race, not in a listed test: example/d TestRaces", "failed: example/d TestRaces"}},
		{"a race in a listed test", "example/d | TestRaces | c | s | 7", "races", nil},
		{"a race outside of a listed test that fails", one, "race-outside", []string{
			"data race, not in a listed test: example/a TestPasses"}},
		{"a package fails though its tests pass", "", "exits", []string{
			"package broke off (build, panic, timeout or exit): example/f"}},
		{"a package fails, no test did", "", "no-test-failed", []string{"package failed though no test did: example/p"}},
		{"a race between tests", "", "race-between", []string{"data race, not in a listed test: example/p"}},
		{"the run breaks off", "", "cut", []string{
			"did not end: example/p TestFine", "package did not end: example/p"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			list, err := readList(strings.NewReader(test.list))
			is.NoErr(err)
			r, _ := recorded(t, test.run)
			got := objections(list, r)
			is.True(slices.Equal(got, test.want)) // got, want
			if t.Failed() {
				t.Logf("got  %q\nwant %q", got, test.want)
			}
		})
	}
}

func TestReadList(t *testing.T) {
	t.Run("entries and comments", func(t *testing.T) {
		is := is.New(t)
		list, err := readList(strings.NewReader("# a comment\n\n" +
			"example/a | TestFails/one | go test ./a -args -seed 7 | a | b in a command | 7\n"))
		is.True(err != nil) // a separator inside of a field is a field too many
		is.Equal(len(list), 0)

		list, err = readList(strings.NewReader("# a comment\n\n" +
			"example/a | TestFails/one | go test ./a -args -seed 7 | cut at 3 of 5 | inc-7\n"))
		is.NoErr(err)
		is.Equal(list, []entry{{
			id:      testID{"example/a", "TestFails/one"},
			command: "go test ./a -args -seed 7", seen: "cut at 3 of 5", issue: "inc-7",
		}})
	})
	for name, text := range map[string]string{
		"a field is missing":     "example/a | TestFails | go test ./a | wrong",
		"a field is empty":       "example/a | TestFails |  | wrong | 7",
		"a package with a space": "example/a b | TestFails | go test ./a | wrong | 7",
		"no test":                "example/a | Fails | go test ./a | wrong | 7",
		"a pattern of tests":     "example/a | TestFails/ | go test ./a | wrong | 7",
		"a test twice":           "example/a | TestFails | c | s | 7\nexample/a | TestFails | d | t | 8",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := readList(strings.NewReader(text))
			is.True(err != nil)
		})
	}
}

func TestOutput(t *testing.T) {
	t.Run("a package that passes is one line", func(t *testing.T) {
		is := is.New(t)
		_, shown := recorded(t, "passes")
		is.Equal(strings.Count(shown, "\n"), 1)
		is.True(strings.HasPrefix(shown, "ok  \texample/p\t"))
	})
	t.Run("a test that fails is shown, one that passes is not", func(t *testing.T) {
		is := is.New(t)
		_, shown := recorded(t, "fails")
		is.True(strings.Contains(shown, "a_test.go:3: one is wrong\n"))
		is.True(strings.Contains(shown, "FAIL\texample/a\t"))
		is.True(!strings.Contains(shown, "TestPasses"))
		is.True(!strings.Contains(shown, "=== RUN"))
	})
	t.Run("a compiler's message is shown", func(t *testing.T) {
		is := is.New(t)
		_, shown := recorded(t, "build")
		is.True(strings.Contains(shown, "undefined: undefined\n"))
	})
	t.Run("a line that is no event is an error", func(t *testing.T) {
		is := is.New(t)
		is.True(newResults().read(strings.NewReader("{\"Action\":\n"), &strings.Builder{}) != nil)
	})
	t.Run("the summary counts, and names the known failures", func(t *testing.T) {
		is := is.New(t)
		r, _ := recorded(t, "fails")
		list, err := readList(strings.NewReader("example/a | TestFails/one | go test ./a | one is wrong | 7"))
		is.NoErr(err)
		var out strings.Builder
		is.NoErr(summarize(&out, list, r, nil))
		is.Equal(out.String(), "\n2 passed, 2 failed, 1 skipped\n"+
			"known failures: 1\n"+
			"  example/a | TestFails/one | go test ./a | one is wrong | 7\n"+
			"OK\n")
	})
}

func TestSplitRuns(t *testing.T) {
	for name, test := range map[string]struct {
		arguments []string
		want      [][]string
	}{
		"one run":  {[]string{"-race", "./..."}, [][]string{{"-race", "./..."}}},
		"two runs": {[]string{"-race", "./a", "--", "./b"}, [][]string{{"-race", "./a"}, {"./b"}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(slices.EqualFunc(splitRuns(test.arguments), test.want, slices.Equal[[]string])) // got, want
		})
	}
}

// recorded returns the results of a run that was recorded, and what was shown.
func recorded(t *testing.T, name string) (*results, string) {
	is := is.New(t)
	is.Helper()
	file, err := os.Open(filepath.Join("testdata", name+".jsonl"))
	is.NoErr(err)
	r := newResults()
	var shown strings.Builder
	is.NoErr(r.read(file, &shown))
	is.NoErr(file.Close())
	return r, shown.String()
}
