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
	once       = models.PathRoute{Attempts: 2}
	repeatable = models.PathRoute{Attempts: 2, Repeatable: true}
	resumable  = models.PathRoute{Attempts: 2, Repeatable: true, Stream: true, Resumable: true}
	streamOnce = models.PathRoute{Attempts: 2, Stream: true}

	lost        = answer{err: peer.NewFailure(peer.OutcomeUnknown, "reset", nil)}
	unreachable = answer{err: peer.NewFailure(peer.OutcomeNotDone, "no connection", nil)}
	rejected    = answer{status: http.StatusServiceUnavailable, notRun: true}
	good        = answer{status: http.StatusOK, body: "good"}
)

func TestRequestThatMayRunOnce(t *testing.T) {
	t.Run("a lost answer ends it, as it may have run", func(t *testing.T) {
		w := newWorld(t, once, lost, good)
		w.refused(models.RefusalBackendFailed, false)
		w.sent(1)
	})
	t.Run("an answer that breaks off ends it", func(t *testing.T) {
		w := newWorld(t, once, answer{status: http.StatusOK, body: "good", breaksAt: 2}, good)
		w.refused(models.RefusalBackendFailed, false)
		w.sent(1)
		w.is.Equal(w.reply.status, 0) // nothing of it was passed on
	})
	t.Run("a rejection is no run", func(t *testing.T) {
		w := newWorld(t, once, rejected, good)
		w.served(http.StatusOK, "good")
		w.sent(2)
	})
	t.Run("rejected everywhere, it has not run", func(t *testing.T) {
		w := newWorld(t, once, rejected, rejected, good)
		refusal := w.refusal(models.RefusalBackendFailed, true)
		w.is.True(refusal.RetryAfter > 0) // the caller is told when to come back
		w.sent(2)
	})
	t.Run("rejected after it may have run, no promise is made", func(t *testing.T) {
		w := newWorld(t, repeatable, lost, rejected, rejected)
		w.refused(models.RefusalBackendFailed, false)
	})
	t.Run("a backend server's own failure is passed on", func(t *testing.T) {
		w := newWorld(t, once, answer{status: http.StatusInternalServerError, body: "oh"}, good)
		w.served(http.StatusInternalServerError, "oh")
		w.sent(1)
	})
	t.Run("a failure that would promise that it has not run is not passed on", func(t *testing.T) {
		w := newWorld(t, once, answer{status: http.StatusServiceUnavailable, body: "oh"}, good)
		w.refused(models.RefusalBackendFailed, false)
		w.sent(1)
	})
	t.Run("a backend server out of reach is no run", func(t *testing.T) {
		w := newWorld(t, once, unreachable, unreachable, good)
		w.served(http.StatusOK, "good")
	})
}

func TestRequestThatMayBeRepeated(t *testing.T) {
	t.Run("a lost answer is had elsewhere", func(t *testing.T) {
		w := newWorld(t, repeatable, lost, good)
		w.served(http.StatusOK, "good")
		w.is.Equal(w.upstreams.targets, []models.EngineID{"a", "b"})
	})
	t.Run("no more backend servers run it than the route allows", func(t *testing.T) {
		w := newWorld(t, repeatable, lost, lost, good)
		w.refused(models.RefusalBackendFailed, false)
		w.sent(2)
	})
	t.Run("a failure is had better elsewhere", func(t *testing.T) {
		w := newWorld(t, repeatable, answer{status: http.StatusInternalServerError, body: "oh"}, good)
		w.served(http.StatusOK, "good")
	})
	t.Run("the failure is passed on where nothing better comes", func(t *testing.T) {
		w := newWorld(t, repeatable, answer{status: http.StatusInternalServerError, body: "oh"}, lost)
		w.served(http.StatusInternalServerError, "oh")
	})
	t.Run("nothing is sent again beyond the budget", func(t *testing.T) {
		w := newWorld(t, repeatable, lost, good)
		w.placer.repeats = 0
		w.refused(models.RefusalBackendFailed, false)
		w.sent(1)
	})
}

func TestStream(t *testing.T) {
	const first, second = "id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"
	t.Run("one that breaks off in an event goes on after the last whole one", func(t *testing.T) {
		w := newWorld(t, resumable,
			answer{status: http.StatusOK, body: first + second, breaksAt: len(first) + 5},
			answer{status: http.StatusOK, body: second})
		w.served(http.StatusOK, first+second)
		w.is.Equal(w.upstreams.calls[1].ResumeAfter, "1")
		w.is.Equal(w.reply.header.Get("From"), "a") // the first engine's header
	})
	t.Run("one that may not be resumed is cut", func(t *testing.T) {
		w := newWorld(t, streamOnce, answer{status: http.StatusOK, body: first + second, breaksAt: len(first) + 5}, good)
		w.refused(models.RefusalBackendFailed, false)
		w.sent(1)
		w.is.Equal(w.reply.body.String(), first) // and no half event
	})
	t.Run("an end within an event is no end", func(t *testing.T) {
		w := newWorld(t, streamOnce, answer{status: http.StatusOK, body: first + "id: 2\nda"})
		w.refused(models.RefusalBackendFailed, false)
	})
	t.Run("a caller's own resumption is passed on", func(t *testing.T) {
		w := newWorld(t, resumable, answer{status: http.StatusOK, body: second})
		w.exchange.Call.ResumeAfter = "1"
		w.served(http.StatusOK, second)
		w.is.Equal(w.upstreams.calls[0].ResumeAfter, "1")
	})
	t.Run("it is billed once", func(t *testing.T) {
		w := newWorld(t, resumable,
			answer{status: http.StatusOK, body: first + second, breaksAt: len(first) + 5},
			answer{status: http.StatusOK, body: second})
		w.served(http.StatusOK, first+second)
		w.is.Equal(w.meter.counted, 1)
	})
	t.Run("a caller that left ends it", func(t *testing.T) {
		w := newWorld(t, resumable, answer{status: http.StatusOK, body: first}, good)
		w.reply.gone = true
		w.refused(models.RefusalCancelled, false)
		w.sent(1)
	})
}

func TestPrefill(t *testing.T) {
	t.Run("the target gets the source", func(t *testing.T) {
		w := newWorld(t, streamOnce, answer{status: http.StatusOK, body: "data: x\n\n"})
		w.placer.prefills = true
		w.upstreams.prefill = answer{status: http.StatusOK}
		w.served(http.StatusOK, "data: x\n\n")
		w.is.True(w.upstreams.calls[0].KVSource != nil) // fetched from the prefiller
	})
	t.Run("where it fails the target reads the prompt", func(t *testing.T) {
		w := newWorld(t, streamOnce, answer{status: http.StatusOK, body: "data: x\n\n"})
		w.placer.prefills = true
		w.upstreams.prefill = answer{status: http.StatusServiceUnavailable}
		w.served(http.StatusOK, "data: x\n\n")
		w.is.True(w.upstreams.calls[0].KVSource == nil)
	})
	t.Run("a prompt is given to be read once", func(t *testing.T) {
		w := newWorld(t, streamOnce, rejected, answer{status: http.StatusOK, body: "data: x\n\n"})
		w.placer.prefills = true
		w.upstreams.prefill = answer{status: http.StatusOK}
		w.served(http.StatusOK, "data: x\n\n")
		w.is.Equal(w.upstreams.fills, 1)
		w.is.True(w.upstreams.calls[1].KVSource == nil)
	})
	t.Run("one that was turned away counts against the retry budget", func(t *testing.T) {
		w := newWorld(t, streamOnce, answer{status: http.StatusOK, body: "data: x\n\n"})
		w.placer.prefills = true
		w.upstreams.prefill = answer{status: http.StatusServiceUnavailable}
		w.served(http.StatusOK, "data: x\n\n")
		w.is.Equal(w.placer.repeated, 1)
	})
	t.Run("another engine reads it where one cannot be reached", func(t *testing.T) {
		w := newWorld(t, streamOnce, answer{status: http.StatusOK, body: "data: x\n\n"})
		w.placer.prefills = true
		w.upstreams.prefill = answer{status: http.StatusOK}
		w.upstreams.prefillsLost = 1
		w.served(http.StatusOK, "data: x\n\n")
		w.is.True(w.upstreams.calls[0].KVSource != nil)
		w.is.Equal(w.placer.prefilled, []relay.Result{relay.ResultUnreachable, relay.ResultServed})
		w.is.Equal(w.placer.repeated, 0) // nothing was sent again
	})
	t.Run("but not for ever", func(t *testing.T) {
		w := newWorld(t, streamOnce, answer{status: http.StatusOK, body: "data: x\n\n"})
		w.placer.prefills = true
		w.upstreams.prefillsLost = 100
		w.served(http.StatusOK, "data: x\n\n")
		w.is.Equal(w.upstreams.fills, 2)
		w.is.True(w.upstreams.calls[0].KVSource == nil) // the target reads it
	})
	t.Run("a target that leaves meanwhile gets nothing", func(t *testing.T) {
		w := newWorld(t, streamOnce, answer{status: http.StatusOK, body: "data: x\n\n"})
		w.placer.prefills = true
		w.placer.leaving = "a"
		w.placer.repeats = 0
		w.upstreams.prefill = answer{status: http.StatusOK}
		w.served(http.StatusOK, "data: x\n\n")
		w.is.Equal(w.upstreams.targets, []models.EngineID{"b"})
		w.is.True(w.upstreams.calls[0].KVSource != nil) // the prompt is not read again
		w.is.Equal(w.upstreams.handles, 1)              // but once
	})
	t.Run("KV cache that nobody takes is freed", func(t *testing.T) {
		w := newWorld(t, streamOnce, unreachable, unreachable, unreachable)
		w.placer.prefills = true
		w.upstreams.prefill = answer{status: http.StatusOK}
		w.refused(models.RefusalBackendFailed, true)
		w.is.Equal(w.upstreams.handles, 0)
	})
}

func TestTimeIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, once, answer{hangs: true})
		started := system.NewClock().Now()
		w.exchange.Deadline = started.Add(time.Second)
		w.refused(models.RefusalDeadline, false)
		w.is.Equal(system.NewClock().Now().Sub(started), time.Second) // no later, and no sooner
	})
}

func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, repeatable, answer{hangs: true}, good)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			synctest.Wait()
			cancel()
		}()
		err := w.handle(ctx)
		is := is.New(t)
		is.True(err != nil) // ended
		w.sent(1)           // and not sent again
	})
}
