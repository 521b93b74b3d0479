package relay_test

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/relay"
)

// fakeGuard records what it is told, and refuses requests from a call on.
type fakeGuard struct {
	mu          sync.Mutex
	refusesFrom int // the first call of Admit that is refused, from 1; 0: none
	asked       int // calls of Admit
	responded   []models.EngineID
	completed   []relay.Run
	brokenOff   []relay.Run
}

// Admit implements relay.Guard.
func (g *fakeGuard) Admit(models.RequestID, models.Prompt, *relay.Identity) *models.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.asked++
	if g.refusesFrom == 0 || g.asked < g.refusesFrom {
		return nil
	}
	return &models.Refusal{Code: models.RefusalQuarantined, NotRun: true, RetryAfter: time.Minute}
}

// Responded implements relay.Guard.
func (g *fakeGuard) Responded(server models.Upstream, _ time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.responded = append(g.responded, server.ID)
}

// Completed implements relay.Guard.
func (g *fakeGuard) Completed(run relay.Run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.completed = append(g.completed, run)
}

// BrokenOff implements relay.Guard.
func (g *fakeGuard) BrokenOff(run relay.Run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.brokenOff = append(g.brokenOff, run)
}

// timeoutError is an error of a connection on which nothing arrives.
type timeoutError struct{}

func (timeoutError) Error() string   { return "timeout" }
func (timeoutError) Timeout() bool   { return true }
func (timeoutError) Temporary() bool { return true }

// Tells which runs count as evidence that an engine has crashed or has not.
func TestGuardIsToldHowRunsEnd(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	stream := models.PathRoute{Stream: true, Attempts: 1}
	plain := models.PathRoute{Attempts: 1}
	tests := []struct {
		name              string
		route             models.PathRoute
		answer            scriptedAnswer
		completed, broken int
		begun             bool
	}{
		{"a whole stream", stream, scriptedAnswer{status: http.StatusOK, body: events}, 1, 0, true},
		{"a stream without an event", stream, scriptedAnswer{status: http.StatusOK}, 0, 0, false},
		{"a stream cut in its first event", stream, scriptedAnswer{status: http.StatusOK, body: events, breaksAfter: 3}, 0, 1, false},
		{"a stream cut after an event", stream, scriptedAnswer{status: http.StatusOK, body: events, breaksAfter: 16}, 0, 1, true},
		{"a stream that ends in an event", stream, scriptedAnswer{status: http.StatusOK, body: events[:20]}, 0, 1, true},
		{"a stream that ends with its connection", stream, scriptedAnswer{status: http.StatusOK, body: events, unframed: true}, 1, 0, true},
		{"a stream that ends with its connection after one event", stream, scriptedAnswer{status: http.StatusOK, body: events[:15], unframed: true}, 0, 0, false},
		{"a stream that ends with its connection before an event", stream, scriptedAnswer{status: http.StatusOK, unframed: true}, 0, 1, false},
		{"a response that ends with its connection", plain, scriptedAnswer{status: http.StatusOK, body: "b", unframed: true}, 0, 0, false},
		{"a whole response", plain, scriptedAnswer{status: http.StatusOK, body: "b"}, 1, 0, true},
		{"a response that is cut", plain, scriptedAnswer{status: http.StatusOK, body: "body", breaksAfter: 2}, 0, 1, true},
		{"an error response", plain, scriptedAnswer{status: http.StatusInternalServerError, body: "b"}, 0, 0, false},
		{"a rejection", plain, scriptedAnswer{status: http.StatusServiceUnavailable, notRun: true}, 0, 0, false},
		{"a reset before the response", plain, scriptedAnswer{err: peer.NewFailure(peer.OutcomeUnknown, "reset", errors.New("reset"))}, 0, 1, false},
		{"no response in time", plain, scriptedAnswer{err: peer.NewFailure(peer.OutcomeUnknown, "no answer", timeoutError{})}, 0, 0, false},
		{"no connection", plain, scriptedAnswer{err: peer.NewFailure(peer.OutcomeNotDone, "refused", errors.New("refused"))}, 0, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, test.route, test.answer, test.answer, test.answer)
			f.exchange.Prompt = models.Prompt{Parts: []models.PromptPart{{ID: "a"}, {ID: "b"}}}
			_ = f.handle(t.Context())
			is.Equal(len(f.guard.completed), test.completed)
			is.Equal(len(f.guard.brokenOff), test.broken)
			for _, run := range append(f.guard.completed, f.guard.brokenOff...) {
				is.Equal(run.Request, f.exchange.ID)
				is.Equal(len(run.Prompt.Parts), 2)
				is.True(!run.SentAt.IsZero())
				is.Equal(!run.BegunAt.IsZero(), test.begun)
			}
			is.Equal(len(f.guard.responded) > 0, test.answer.err == nil)
		})
	}
}

func TestQuarantinedPromptIsNotSent(t *testing.T) {
	route := models.PathRoute{Stream: true, Repeatable: true, Attempts: 2}
	t.Run("before the first attempt", func(t *testing.T) {
		f := newFixture(t, route)
		f.guard.refusesFrom = 1
		is.New(t).Equal(f.expectRefusal(models.RefusalQuarantined, true).RetryAfter, time.Minute)
		f.expectSends(0)
	})
	t.Run("while its prompt was prefilled", func(t *testing.T) {
		f := newFixture(t, route)
		f.guard.refusesFrom = 2
		f.expectRefused(models.RefusalQuarantined, true)
		f.expectSends(0)
	})
	t.Run("again after a crash", func(t *testing.T) {
		f := newFixture(t, route, scriptedAnswer{status: http.StatusOK, body: "id: 1\ndata: a\n\n", breaksAfter: 2})
		f.guard.refusesFrom = 3
		f.expectRefused(models.RefusalQuarantined, false)
		f.expectSends(1)
	})
}

// A caller that leaves closes the connection to the engine, too.
func TestRunOfACallerThatLeavesIsNotBrokenOff(t *testing.T) {
	ctx, leave := context.WithCancel(t.Context())
	f := newFixture(t, models.PathRoute{Stream: true, Attempts: 1}, scriptedAnswer{err: peer.NewFailure(peer.OutcomeUnknown, "reset", errors.New("reset"))})
	leave()
	_ = f.handle(ctx)
	is.New(t).Equal(len(f.guard.brokenOff), 0)
}
