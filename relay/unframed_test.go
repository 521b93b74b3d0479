package relay_test

import (
	"net/http"
	"testing"

	"quincewinch/models"
	"quincewinch/relay"
)

// Guards against a stream of a crashed engine that looks complete to the caller.
func TestUnframedStreamWithoutEvents(t *testing.T) {
	const first, second = "id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"
	ended := scriptedAnswer{status: http.StatusOK, unframed: true}
	broken := scriptedAnswer{status: http.StatusOK, body: first + second, breaksAfter: len(first) + 5}
	t.Run("a resumable stream is sent elsewhere", func(t *testing.T) {
		f := newFixture(t, resumable, ended, scriptedAnswer{status: http.StatusOK, body: first, unframed: true})
		f.expectServed(http.StatusOK, first)
		f.expectSends(2)
		f.is.Equal(f.placer.results, []relay.Result{relay.ResultFailed, relay.ResultServed})
	})
	t.Run("another stream gets an error, not one that means not run", func(t *testing.T) {
		f := newFixture(t, nonRepeatableStream, ended, success)
		f.expectRefused(models.RefusalBackendFailed, false)
		f.expectSends(1)
		f.is.Equal(f.reply.begun, 0)
		f.is.Equal(f.meter.counted, 0)
	})
	t.Run("a retry takes from the budget", func(t *testing.T) {
		f := newFixture(t, resumable, ended, success)
		f.placer.retryBudget = 0
		f.expectRefused(models.RefusalBackendFailed, false)
		f.expectSends(1)
	})
	t.Run("a stream that goes on without an event breaks off", func(t *testing.T) {
		f := newFixture(t, resumable, broken, ended)
		f.expectRefused(models.RefusalBackendFailed, false)
		f.is.Equal(f.reply.body.String(), first)
		f.is.Equal(f.reply.begun, 1)
	})
	t.Run("a stream with an event is complete", func(t *testing.T) {
		f := newFixture(t, resumable, broken, scriptedAnswer{status: http.StatusOK, body: second, unframed: true})
		f.expectServed(http.StatusOK, first+second)
	})
	t.Run("a stream that states a length of zero is complete", func(t *testing.T) {
		f := newFixture(t, resumable, scriptedAnswer{status: http.StatusOK}, success)
		f.expectServed(http.StatusOK, "")
		f.expectSends(1)
	})
	t.Run("a stream that ends with its last chunk is complete", func(t *testing.T) {
		f := newFixture(t, resumable, scriptedAnswer{status: http.StatusOK, noLength: true}, success)
		f.expectServed(http.StatusOK, "")
		f.expectSends(1)
	})
	t.Run("an answer that is no stream and has no body is broken off", func(t *testing.T) {
		f := newFixture(t, repeatable, ended, success)
		f.expectServed(http.StatusOK, success.body)
		f.expectSends(2)
	})
	t.Run("an answer that states a length of zero is complete", func(t *testing.T) {
		f := newFixture(t, repeatable, scriptedAnswer{status: http.StatusOK}, success)
		f.expectServed(http.StatusOK, "")
		f.expectSends(1)
	})
}
