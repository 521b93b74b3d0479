package second

import (
	"fmt"
	"os"
	"syscall"
	"testing"
)

// cases are the cases by their number. Each returns what it found.
var cases = map[string]func(l *lab) verdict{}

// verdict is the result of a case, and the exit status of its script.
type verdict int

const (
	held   verdict = 0 // the rule held
	broken verdict = 1
	notRun verdict = 2 // the case could not run
)

// TestMain plays the case that the environment names. Without one there is nothing to do.
func TestMain(m *testing.M) {
	number := os.Getenv("REVIEW_CASE")
	if number == "" {
		os.Exit(m.Run())
	}
	play, ok := cases[number]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", number)
		os.Exit(int(notRun))
	}
	os.Exit(int(playCase(play)))
}

// playCase plays a case. What stops it on the way counts as not run.
func playCase(play func(l *lab) verdict) (result verdict) {
	l, err := newLab()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer l.close()
	l.endWith(syscall.SIGINT, syscall.SIGTERM)
	defer func() {
		if stopped := recover(); stopped != nil {
			l.note("not run: %v", stopped)
			fmt.Fprintln(os.Stderr, "not run:", stopped)
			result = notRun
		}
	}()
	result = play(l)
	l.note("verdict %d (0: the rule held, 1: broken)", result)
	return result
}
