package review

import (
	"os"
	"testing"
)

// TestMain plays the case that REVIEW_CASE names, with the record at the path in the first
// argument. Without it there is nothing to run.
func TestMain(m *testing.M) {
	plays := map[string]func() int{"1": playRelease, "2": playKill, "4": playFarPart, "5": playGroups}
	if play, ok := plays[os.Getenv("REVIEW_CASE")]; ok {
		os.Exit(play())
	}
	os.Exit(m.Run())
}
