package main

import (
	"bufio"
	"io"
	"regexp"
	"strings"

	"github.com/juju/errors"
)

const (
	separator = " | "
	fields    = 5
)

var testName = regexp.MustCompile(`^(Test|Fuzz|Example)[^\s/]*(/[^\s/]+)*$`)

// testID names one test, or one subtest by its path.
type testID struct {
	importPath string
	test       string
}

func (t testID) String() string {
	return t.importPath + " " + t.test
}

// entry is one line of the list: a test that is known to fail.
type entry struct {
	id      testID
	command string
	seen    string
	issue   string
}

func (e entry) String() string {
	return strings.Join([]string{e.id.importPath, e.id.test, e.command, e.seen, e.issue}, separator)
}

// readList reads one entry per line. Empty lines and lines that start with #
// are comments.
func readList(r io.Reader) ([]entry, error) {
	var list []entry
	listed := make(map[testID]bool)
	lines := bufio.NewScanner(r)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		e, err := parseEntry(line)
		if err != nil {
			return nil, errors.Annotatef(err, "line %d", number)
		}
		if listed[e.id] {
			return nil, errors.AlreadyExistsf("line %d: %s", number, e.id)
		}
		listed[e.id] = true
		list = append(list, e)
	}
	return list, errors.Trace(lines.Err())
}

func parseEntry(line string) (entry, error) {
	parts := strings.Split(line, separator)
	if len(parts) != fields {
		return entry{}, errors.NotValidf("%d fields instead of %d", len(parts), fields)
	}
	for i, part := range parts {
		parts[i] = strings.TrimSpace(part)
		if parts[i] == "" {
			return entry{}, errors.NotValidf("empty field %d", i+1)
		}
	}
	if strings.ContainsAny(parts[0], " \t") {
		return entry{}, errors.NotValidf("package %q", parts[0])
	}
	if !testName.MatchString(parts[1]) {
		return entry{}, errors.NotValidf("test %q", parts[1])
	}
	return entry{id: testID{parts[0], parts[1]}, command: parts[2], seen: parts[3], issue: parts[4]}, nil
}
