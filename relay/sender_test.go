package relay_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/system"
	"quincewinch/relay"
)

var (
	nonRepeatable       = models.PathRoute{Attempts: 2}
	repeatable          = models.PathRoute{Attempts: 2, Repeatable: true}
	resumable           = models.PathRoute{Attempts: 2, Repeatable: true, Stream: true, Resumable: true}
	nonRepeatableStream = models.PathRoute{Attempts: 2, Stream: true}

	lostAnswer  = scriptedAnswer{err: peer.NewFailure(peer.OutcomeUnknown, "reset", nil)}
	unreachable = scriptedAnswer{err: peer.NewFailure(peer.OutcomeNotDone, "no connection", nil)}
	rejected    = scriptedAnswer{status: http.StatusServiceUnavailable, notRun: true}
	success     = scriptedAnswer{status: http.StatusOK, body: "good"}
)

func TestNonRepeatableRequest(t *testing.T) {
	t.Run("a lost answer ends it, as it may have run", func(t *testing.T) {
		w := newFixture(t, nonRepeatable, lostAnswer, success)
		w.expectRefused(models.RefusalBackendFailed, false)
		w.expectSends(1)
	})
	t.Run("an answer that breaks off ends it", func(t *testing.T) {
		w := newFixture(t, nonRepeatable, scriptedAnswer{status: http.StatusOK, body: "good", breaksAfter: 2}, success)
		w.expectRefused(models.RefusalBackendFailed, false)
		w.expectSends(1)
		w.is.Equal(w.reply.status, 0) // nothing of it was passed on
	})
	t.Run("a rejection is no run", func(t *testing.T) {
		w := newFixture(t, nonRepeatable, rejected, success)
		w.expectServed(http.StatusOK, "good")
		w.expectSends(2)
	})
	t.Run("rejected everywhere, it has not run", func(t *testing.T) {
		w := newFixture(t, nonRepeatable, rejected, rejected, success)
		refusal := w.expectRefusal(models.RefusalBackendFailed, true)
		w.is.True(refusal.RetryAfter > 0) // the caller is told when to come back
		w.expectSends(2)
	})
	t.Run("rejected after it may have run, no promise is made", func(t *testing.T) {
		w := newFixture(t, repeatable, lostAnswer, rejected, rejected)
		w.expectRefused(models.RefusalBackendFailed, false)
	})
	t.Run("a backend server's own failure is passed on", func(t *testing.T) {
		w := newFixture(t, nonRepeatable, scriptedAnswer{status: http.StatusInternalServerError, body: "oh"}, success)
		w.expectServed(http.StatusInternalServerError, "oh")
		w.expectSends(1)
	})
	t.Run("a failure that would promise that it has not run is not passed on", func(t *testing.T) {
		w := newFixture(t, nonRepeatable, scriptedAnswer{status: http.StatusServiceUnavailable, body: "oh"}, success)
		w.expectRefused(models.RefusalBackendFailed, false)
		w.expectSends(1)
	})
	t.Run("a backend server out of reach is no run", func(t *testing.T) {
		w := newFixture(t, nonRepeatable, unreachable, unreachable, success)
		w.expectServed(http.StatusOK, "good")
	})
}

func TestRepeatableRequest(t *testing.T) {
	t.Run("a lost answer is had elsewhere", func(t *testing.T) {
		w := newFixture(t, repeatable, lostAnswer, success)
		w.expectServed(http.StatusOK, "good")
		w.is.Equal(w.upstreams.targets, []models.EngineID{"a", "b"})
	})
	t.Run("no more backend servers run it than the route allows", func(t *testing.T) {
		w := newFixture(t, repeatable, lostAnswer, lostAnswer, success)
		w.expectRefused(models.RefusalBackendFailed, false)
		w.expectSends(2)
	})
	t.Run("a failure is had better elsewhere", func(t *testing.T) {
		w := newFixture(t, repeatable, scriptedAnswer{status: http.StatusInternalServerError, body: "oh"}, success)
		w.expectServed(http.StatusOK, "good")
	})
	t.Run("the failure is passed on where nothing better comes", func(t *testing.T) {
		w := newFixture(t, repeatable, scriptedAnswer{status: http.StatusInternalServerError, body: "oh"}, lostAnswer)
		w.expectServed(http.StatusInternalServerError, "oh")
	})
	t.Run("nothing is sent again beyond the budget", func(t *testing.T) {
		w := newFixture(t, repeatable, lostAnswer, success)
		w.placer.retryBudget = 0
		w.expectRefused(models.RefusalBackendFailed, false)
		w.expectSends(1)
	})
}

func TestStream(t *testing.T) {
	const first, second = "id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"
	t.Run("one that breaks off in an event goes on after the last whole one", func(t *testing.T) {
		w := newFixture(t, resumable,
			scriptedAnswer{status: http.StatusOK, body: first + second, breaksAfter: len(first) + 5},
			scriptedAnswer{status: http.StatusOK, body: second})
		w.expectServed(http.StatusOK, first+second)
		w.is.Equal(w.upstreams.calls[1].ResumeAfter, "1")
		w.is.Equal(w.reply.header.Get("From"), "a") // the first engine's header
	})
	t.Run("one that may not be resumed is cut", func(t *testing.T) {
		w := newFixture(t, nonRepeatableStream, scriptedAnswer{status: http.StatusOK, body: first + second, breaksAfter: len(first) + 5}, success)
		w.expectRefused(models.RefusalBackendFailed, false)
		w.expectSends(1)
		w.is.Equal(w.reply.body.String(), first) // and no half event
	})
	t.Run("an end within an event is no end", func(t *testing.T) {
		w := newFixture(t, nonRepeatableStream, scriptedAnswer{status: http.StatusOK, body: first + "id: 2\nda"})
		w.expectRefused(models.RefusalBackendFailed, false)
	})
	t.Run("a caller's own resumption is passed on", func(t *testing.T) {
		w := newFixture(t, resumable, scriptedAnswer{status: http.StatusOK, body: second})
		w.exchange.Call.ResumeAfter = "1"
		w.expectServed(http.StatusOK, second)
		w.is.Equal(w.upstreams.calls[0].ResumeAfter, "1")
	})
	t.Run("it is billed once", func(t *testing.T) {
		w := newFixture(t, resumable,
			scriptedAnswer{status: http.StatusOK, body: first + second, breaksAfter: len(first) + 5},
			scriptedAnswer{status: http.StatusOK, body: second})
		w.expectServed(http.StatusOK, first+second)
		w.is.Equal(w.meter.counted, 1)
	})
	t.Run("a caller that left ends it", func(t *testing.T) {
		w := newFixture(t, resumable, scriptedAnswer{status: http.StatusOK, body: first}, success)
		w.reply.disconnected = true
		w.expectRefused(models.RefusalCancelled, false)
		w.expectSends(1)
	})
}

func TestPrefill(t *testing.T) {
	t.Run("the target gets the source", func(t *testing.T) {
		w := newFixture(t, nonRepeatableStream, scriptedAnswer{status: http.StatusOK, body: "data: x\n\n"})
		w.placer.usePrefiller = true
		w.upstreams.prefill = scriptedAnswer{status: http.StatusOK}
		w.expectServed(http.StatusOK, "data: x\n\n")
		w.is.True(w.upstreams.calls[0].KVSource != nil) // fetched from the prefiller
	})
	t.Run("where it fails the target reads the prompt", func(t *testing.T) {
		w := newFixture(t, nonRepeatableStream, scriptedAnswer{status: http.StatusOK, body: "data: x\n\n"})
		w.placer.usePrefiller = true
		w.upstreams.prefill = scriptedAnswer{status: http.StatusServiceUnavailable}
		w.expectServed(http.StatusOK, "data: x\n\n")
		w.is.True(w.upstreams.calls[0].KVSource == nil)
	})
	t.Run("a prompt is given to be read once", func(t *testing.T) {
		w := newFixture(t, nonRepeatableStream, rejected, scriptedAnswer{status: http.StatusOK, body: "data: x\n\n"})
		w.placer.usePrefiller = true
		w.upstreams.prefill = scriptedAnswer{status: http.StatusOK}
		w.expectServed(http.StatusOK, "data: x\n\n")
		w.is.Equal(w.upstreams.prefillCalls, 1)
		w.is.True(w.upstreams.calls[1].KVSource == nil)
	})
	t.Run("one that was turned away counts against the retry budget", func(t *testing.T) {
		w := newFixture(t, nonRepeatableStream, scriptedAnswer{status: http.StatusOK, body: "data: x\n\n"})
		w.placer.usePrefiller = true
		w.upstreams.prefill = scriptedAnswer{status: http.StatusServiceUnavailable}
		w.expectServed(http.StatusOK, "data: x\n\n")
		w.is.Equal(w.placer.chargedRetries, 1)
	})
	t.Run("another engine reads it where one cannot be reached", func(t *testing.T) {
		w := newFixture(t, nonRepeatableStream, scriptedAnswer{status: http.StatusOK, body: "data: x\n\n"})
		w.placer.usePrefiller = true
		w.upstreams.prefill = scriptedAnswer{status: http.StatusOK}
		w.upstreams.unreachablePrefillers = 1
		w.expectServed(http.StatusOK, "data: x\n\n")
		w.is.True(w.upstreams.calls[0].KVSource != nil)
		w.is.Equal(w.placer.prefillResults, []relay.Result{relay.ResultUnreachable, relay.ResultServed})
		w.is.Equal(w.placer.chargedRetries, 0) // nothing was sent again
	})
	t.Run("but not for ever", func(t *testing.T) {
		w := newFixture(t, nonRepeatableStream, scriptedAnswer{status: http.StatusOK, body: "data: x\n\n"})
		w.placer.usePrefiller = true
		w.upstreams.unreachablePrefillers = 100
		w.expectServed(http.StatusOK, "data: x\n\n")
		w.is.Equal(w.upstreams.prefillCalls, 2)
		w.is.True(w.upstreams.calls[0].KVSource == nil) // the target reads it
	})
	t.Run("a target that leaves meanwhile gets nothing", func(t *testing.T) {
		w := newFixture(t, nonRepeatableStream, scriptedAnswer{status: http.StatusOK, body: "data: x\n\n"})
		w.placer.usePrefiller = true
		w.placer.leaving = "a"
		w.placer.retryBudget = 0
		w.upstreams.prefill = scriptedAnswer{status: http.StatusOK}
		w.expectServed(http.StatusOK, "data: x\n\n")
		w.is.Equal(w.upstreams.targets, []models.EngineID{"b"})
		w.is.True(w.upstreams.calls[0].KVSource != nil) // the prompt is not read again
		w.is.Equal(w.upstreams.heldCaches, 1)           // but once
	})
	t.Run("KV cache that nobody takes is freed", func(t *testing.T) {
		w := newFixture(t, nonRepeatableStream, unreachable, unreachable, unreachable)
		w.placer.usePrefiller = true
		w.upstreams.prefill = scriptedAnswer{status: http.StatusOK}
		w.expectRefused(models.RefusalBackendFailed, true)
		w.is.Equal(w.upstreams.heldCaches, 0)
	})
}

func TestDeadlineExceeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, nonRepeatable, scriptedAnswer{hangs: true})
		started := system.NewClock().Now()
		w.exchange.Deadline = started.Add(time.Second)
		w.expectRefused(models.RefusalDeadline, false)
		w.is.Equal(system.NewClock().Now().Sub(started), time.Second) // no later, and no sooner
	})
}

func TestCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, repeatable, scriptedAnswer{hangs: true}, success)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			synctest.Wait()
			cancel()
		}()
		err := w.handle(ctx)
		is := is.New(t)
		is.True(err != nil) // ended
		w.expectSends(1)    // and not sent again
	})
}
