package relay_test

import (
	"testing"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer"
)

func TestRunsAndRepeatsAreCounted(t *testing.T) {
	unreachable := scriptedAnswer{err: peer.NewFailure(peer.OutcomeNotDone, "refused", nil)}
	tests := []struct {
		name          string
		script        []scriptedAnswer
		runs, repeats int
	}{
		{"at once", []scriptedAnswer{{status: 200}}, 1, 0},
		{"after an unreachable server", []scriptedAnswer{unreachable, {status: 200}}, 1, 0},
		{"after a full server", []scriptedAnswer{{status: 503, notRun: true}, {status: 200}}, 1, 0},
		{"after a server that failed", []scriptedAnswer{{status: 500}, {status: 200}}, 2, 1},
		{"nowhere", []scriptedAnswer{unreachable, unreachable, unreachable}, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, models.PathRoute{Repeatable: true, Attempts: 3}, test.script...)
			repeats := 0
			f.exchange.BeforeRepeat = func() { repeats++ }
			_ = f.handle(t.Context())
			is.Equal(f.exchange.Runs, test.runs)
			is.Equal(repeats, test.repeats)
		})
	}
}
