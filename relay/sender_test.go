package relay_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

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
	t.Run("lost response is not retried", func(t *testing.T) {
		f := newFixture(t, nonRepeatable, lostAnswer, success)
		f.expectRefused(models.RefusalBackendFailed, false)
		f.expectSends(1)
	})
	t.Run("truncated response is not retried", func(t *testing.T) {
		f := newFixture(t, nonRepeatable, scriptedAnswer{status: http.StatusOK, body: "good", breaksAfter: 2}, success)
		f.expectRefused(models.RefusalBackendFailed, false)
		f.expectSends(1)
		f.is.Equal(f.reply.status, 0) // nothing of it was relayed
	})
	t.Run("rejected request is retried", func(t *testing.T) {
		f := newFixture(t, nonRepeatable, rejected, success)
		f.expectServed(http.StatusOK, "good")
		f.expectSends(2)
	})
	t.Run("request rejected everywhere is refused as not run", func(t *testing.T) {
		f := newFixture(t, nonRepeatable, rejected, rejected, success)
		refusal := f.expectRefusal(models.RefusalBackendFailed, true)
		f.is.True(refusal.RetryAfter > 0) // the caller gets a Retry-After
		f.expectSends(2)
	})
	t.Run("request rejected after a lost response is not refused as not run", func(t *testing.T) {
		f := newFixture(t, repeatable, lostAnswer, rejected, rejected)
		f.expectRefused(models.RefusalBackendFailed, false)
	})
	t.Run("error response is relayed", func(t *testing.T) {
		f := newFixture(t, nonRepeatable, scriptedAnswer{status: http.StatusInternalServerError, body: "oh"}, success)
		f.expectServed(http.StatusInternalServerError, "oh")
		f.expectSends(1)
	})
	t.Run("error response that implies not run is not relayed", func(t *testing.T) {
		f := newFixture(t, nonRepeatable, scriptedAnswer{status: http.StatusServiceUnavailable, body: "oh"}, success)
		f.expectRefused(models.RefusalBackendFailed, false)
		f.expectSends(1)
	})
	t.Run("unreachable backend servers are skipped", func(t *testing.T) {
		f := newFixture(t, nonRepeatable, unreachable, unreachable, success)
		f.expectServed(http.StatusOK, "good")
	})
}

func TestRepeatableRequest(t *testing.T) {
	t.Run("lost response is retried elsewhere", func(t *testing.T) {
		f := newFixture(t, repeatable, lostAnswer, success)
		f.expectServed(http.StatusOK, "good")
		f.is.Equal(f.upstreams.targets, []models.EngineID{"a", "b"})
	})
	t.Run("attempts are limited by the route", func(t *testing.T) {
		f := newFixture(t, repeatable, lostAnswer, lostAnswer, success)
		f.expectRefused(models.RefusalBackendFailed, false)
		f.expectSends(2)
	})
	t.Run("error response is retried elsewhere", func(t *testing.T) {
		f := newFixture(t, repeatable, scriptedAnswer{status: http.StatusInternalServerError, body: "oh"}, success)
		f.expectServed(http.StatusOK, "good")
	})
	t.Run("error response is relayed if the retry fails", func(t *testing.T) {
		f := newFixture(t, repeatable, scriptedAnswer{status: http.StatusInternalServerError, body: "oh"}, lostAnswer)
		f.expectServed(http.StatusInternalServerError, "oh")
	})
	t.Run("exhausted retry budget prevents retries", func(t *testing.T) {
		f := newFixture(t, repeatable, lostAnswer, success)
		f.placer.retryBudget = 0
		f.expectRefused(models.RefusalBackendFailed, false)
		f.expectSends(1)
	})
}

// A response that has begun to reach the caller cannot begin again.
func TestResponseBeginsOnce(t *testing.T) {
	t.Run("large response that breaks off", func(t *testing.T) {
		large := strings.Repeat("x", 2<<20)
		f := newFixture(t, repeatable, scriptedAnswer{status: http.StatusOK, body: large, breaksAfter: len(large) - 1}, success)
		f.expectRefused(models.RefusalBackendFailed, false)
		f.expectSends(1)
		f.is.Equal(f.reply.begun, 1)
	})
	t.Run("failure of the engine that resumes a stream", func(t *testing.T) {
		const first, second = "id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"
		f := newFixture(t, resumable,
			scriptedAnswer{status: http.StatusOK, body: first + second, breaksAfter: len(first) + 5},
			scriptedAnswer{status: http.StatusNotFound, body: "oh"})
		f.expectRefused(models.RefusalBackendFailed, false)
		f.is.Equal(f.reply.begun, 1)
		f.is.Equal(f.reply.body.String(), first)
	})
}

func TestStream(t *testing.T) {
	const first, second = "id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"
	t.Run("stream interrupted within an event resumes after the last complete one", func(t *testing.T) {
		f := newFixture(t, resumable,
			scriptedAnswer{status: http.StatusOK, body: first + second, breaksAfter: len(first) + 5},
			scriptedAnswer{status: http.StatusOK, body: second})
		f.expectServed(http.StatusOK, first+second)
		f.is.Equal(f.upstreams.calls[1].ResumeAfter, "1")
		f.is.Equal(f.reply.header.Get("From"), "a") // the first engine's header
	})
	t.Run("interrupted non-repeatable stream ends", func(t *testing.T) {
		f := newFixture(t, nonRepeatableStream, scriptedAnswer{status: http.StatusOK, body: first + second, breaksAfter: len(first) + 5}, success)
		f.expectRefused(models.RefusalBackendFailed, false)
		f.expectSends(1)
		f.is.Equal(f.reply.body.String(), first) // no partial event
	})
	t.Run("end within an event is a failure", func(t *testing.T) {
		f := newFixture(t, nonRepeatableStream, scriptedAnswer{status: http.StatusOK, body: first + "id: 2\nda"})
		f.expectRefused(models.RefusalBackendFailed, false)
	})
	t.Run("last event ID of the caller is forwarded", func(t *testing.T) {
		f := newFixture(t, resumable, scriptedAnswer{status: http.StatusOK, body: second})
		f.exchange.Call.ResumeAfter = "1"
		f.expectServed(http.StatusOK, second)
		f.is.Equal(f.upstreams.calls[0].ResumeAfter, "1")
	})
	t.Run("resumed stream is billed once", func(t *testing.T) {
		f := newFixture(t, resumable,
			scriptedAnswer{status: http.StatusOK, body: first + second, breaksAfter: len(first) + 5},
			scriptedAnswer{status: http.StatusOK, body: second})
		f.expectServed(http.StatusOK, first+second)
		f.is.Equal(f.meter.counted, 1)
	})
	t.Run("stream ends when the caller disconnects", func(t *testing.T) {
		f := newFixture(t, resumable, scriptedAnswer{status: http.StatusOK, body: first}, success)
		f.reply.disconnected = true
		f.expectRefused(models.RefusalCancelled, false)
		f.expectSends(1)
	})
}

func TestAnswerWithoutEndIsCutOff(t *testing.T) {
	large := strings.Repeat("x", 4<<20)
	endless := scriptedAnswer{status: http.StatusOK, body: large, noLength: true}
	expectCutOff := func(f *fixture) {
		t.Helper()
		f.is.True(f.upstreams.read <= 3<<19) // bytes
		f.is.Equal(f.upstreams.closed, len(f.upstreams.calls))
		f.is.Equal(f.placer.results[0], relay.ResultFailed)
	}
	t.Run("a repeatable request is sent elsewhere", func(t *testing.T) {
		f := newFixture(t, repeatable, endless, success)
		f.expectServed(http.StatusOK, "good")
		expectCutOff(f)
	})
	t.Run("another request gets an error, not one that means not run", func(t *testing.T) {
		f := newFixture(t, nonRepeatable, endless, success)
		f.expectRefused(models.RefusalBackendFailed, false)
		f.expectSends(1)
		f.is.Equal(f.reply.begun, 0) // nothing of it was relayed
		f.is.Equal(f.meter.counted, 0)
		expectCutOff(f)
	})
	t.Run("a large answer that states its length is relayed", func(t *testing.T) {
		f := newFixture(t, nonRepeatable, scriptedAnswer{status: http.StatusOK, body: large})
		f.expectServed(http.StatusOK, large)
	})
	t.Run("an answer without a length is relayed up to 1 MB", func(t *testing.T) {
		f := newFixture(t, nonRepeatable, scriptedAnswer{status: http.StatusOK, body: large[:1<<20], noLength: true})
		f.expectServed(http.StatusOK, large[:1<<20])
	})
}

func TestStalledAnswersDoNotFillMemory(t *testing.T) {
	const inFlight = 300
	half := strings.Repeat("x", 512<<10)
	stalled := scriptedAnswer{status: http.StatusOK, body: half, stallsAfter: len(half) - 1}
	t.Run("large answers wait, small ones do not", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, nonRepeatable)
			sender := relay.NewSender(&f.upstreams, &f.placer, &f.meter, f.origins, &f.guard, system.NewClock(), zap.NewNop())
			send := func(timeLeft time.Duration) (*recordingReply, <-chan error) {
				reply := &recordingReply{}
				e := f.exchange
				e.Reply = reply
				e.Workspace = ""
				e.Deadline = system.NewClock().Now().Add(timeLeft)
				ended := make(chan error, 1)
				go func() { ended <- sender.Handle(t.Context(), &e) }()
				return reply, ended
			}
			for range inFlight {
				f.upstreams.script = append(f.upstreams.script, stalled)
			}
			var ended []<-chan error
			for range inFlight {
				_, done := send(time.Minute)
				ended = append(ended, done)
			}
			synctest.Wait()
			f.is.True(f.upstreams.read <= 48<<20) // bytes

			f.upstreams.script = []scriptedAnswer{{status: http.StatusOK, body: "good"}}
			reply, done := send(time.Minute)
			f.is.NoErr(<-done) // a small answer does not wait
			f.is.Equal(reply.body.String(), "good")

			f.upstreams.script = []scriptedAnswer{{status: http.StatusOK, body: half}}
			reply, done = send(2 * time.Minute)
			for _, other := range ended {
				f.is.Equal(relay.RefusalOf(<-other).Code, models.RefusalDeadline)
			}
			f.is.NoErr(<-done) // a large one is served after the others
			f.is.Equal(reply.body.String(), half)
		})
	})
	t.Run("a large answer that is already passed on holds no buffer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, nonRepeatable)
			sender := relay.NewSender(&f.upstreams, &f.placer, &f.meter, f.origins, &f.guard, system.NewClock(), zap.NewNop())
			large := strings.Repeat("x", 2<<20)
			for range 40 {
				f.upstreams.script = append(f.upstreams.script, scriptedAnswer{status: http.StatusOK, body: large, stallsAfter: len(large) - 1})
			}
			for range 40 {
				e := f.exchange
				e.Reply, e.Workspace = &recordingReply{}, ""
				go func() { _ = sender.Handle(t.Context(), &e) }()
			}
			synctest.Wait()
			f.upstreams.script = []scriptedAnswer{{status: http.StatusOK, body: half}}
			f.exchange.Workspace = ""
			f.exchange.Deadline = system.NewClock().Now().Add(time.Second)
			f.is.NoErr(sender.Handle(t.Context(), &f.exchange))
			f.is.Equal(f.reply.body.String(), half)
		})
	})
}

func TestLargeErrorIsNoPromise(t *testing.T) {
	large := strings.Repeat("x", 2<<20)
	t.Run("a status that means not run is not relayed", func(t *testing.T) {
		f := newFixture(t, nonRepeatable, scriptedAnswer{status: http.StatusServiceUnavailable, body: large})
		f.expectRefused(models.RefusalBackendFailed, false)
		f.is.Equal(f.reply.begun, 0)
	})
	t.Run("the status 429 is not relayed either", func(t *testing.T) {
		f := newFixture(t, nonRepeatable, scriptedAnswer{status: http.StatusTooManyRequests, body: large})
		f.expectRefused(models.RefusalBackendFailed, false)
		f.is.Equal(f.reply.begun, 0)
	})
	t.Run("another error of a request that is not repeatable is relayed", func(t *testing.T) {
		f := newFixture(t, nonRepeatable, scriptedAnswer{status: http.StatusInternalServerError, body: large})
		f.expectServed(http.StatusInternalServerError, large)
	})
	t.Run("a repeatable request is sent elsewhere", func(t *testing.T) {
		f := newFixture(t, repeatable, scriptedAnswer{status: http.StatusInternalServerError, body: large}, success)
		f.expectServed(http.StatusOK, "good")
	})
}

func TestEventWithoutEndIsCutOff(t *testing.T) {
	const first, second = "id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"
	endless := scriptedAnswer{status: http.StatusOK, body: first + strings.Repeat("data: x\n", 64<<10), noLength: true}
	expectCutOff := func(f *fixture) {
		t.Helper()
		f.is.True(f.upstreams.read <= 256<<10) // bytes
		f.is.Equal(f.upstreams.closed, len(f.upstreams.calls))
		f.is.Equal(f.placer.results[0], relay.ResultFailed)
	}
	t.Run("a resumable stream goes on elsewhere", func(t *testing.T) {
		f := newFixture(t, resumable, endless, scriptedAnswer{status: http.StatusOK, body: second})
		f.expectServed(http.StatusOK, first+second)
		f.is.Equal(f.upstreams.calls[1].ResumeAfter, "1")
		expectCutOff(f)
	})
	t.Run("another stream ends with an error", func(t *testing.T) {
		f := newFixture(t, nonRepeatableStream, endless, success)
		f.expectRefused(models.RefusalBackendFailed, false)
		f.expectSends(1)
		f.is.Equal(f.reply.body.String(), first)
		expectCutOff(f)
	})
	t.Run("nothing of a stream without a first event is relayed", func(t *testing.T) {
		garbage := scriptedAnswer{status: http.StatusOK, body: strings.Repeat("\x00garbage", 64<<10), noLength: true}
		f := newFixture(t, nonRepeatableStream, garbage)
		f.expectRefused(models.RefusalBackendFailed, false)
		f.is.Equal(f.reply.begun, 0)
		expectCutOff(f)
	})
	t.Run("a long stream of events is relayed", func(t *testing.T) {
		long := strings.Repeat(first, 64<<10)
		f := newFixture(t, nonRepeatableStream, scriptedAnswer{status: http.StatusOK, body: long, noLength: true})
		f.expectServed(http.StatusOK, long)
	})
}

func TestBytesThatAreNoEventAreNotRelayed(t *testing.T) {
	const first, second = "id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"
	garbage := strings.Repeat("\x00garbage\n\n", 100)
	t.Run("a resumable stream goes on elsewhere", func(t *testing.T) {
		f := newFixture(t, resumable,
			scriptedAnswer{status: http.StatusOK, body: first + "id: 2\nda" + garbage, noLength: true},
			scriptedAnswer{status: http.StatusOK, body: second})
		f.expectServed(http.StatusOK, first+second)
		f.is.Equal(f.upstreams.calls[1].ResumeAfter, "1")
	})
	t.Run("another stream ends with an error", func(t *testing.T) {
		f := newFixture(t, nonRepeatableStream, scriptedAnswer{status: http.StatusOK, body: first + garbage, noLength: true})
		f.expectRefused(models.RefusalBackendFailed, false)
		f.is.Equal(f.reply.body.String(), first)
	})
	t.Run("nothing of a stream without a first event is relayed", func(t *testing.T) {
		f := newFixture(t, nonRepeatableStream, scriptedAnswer{status: http.StatusOK, body: garbage, noLength: true})
		f.expectRefused(models.RefusalBackendFailed, false)
		f.is.Equal(f.reply.begun, 0)
		f.is.Equal(f.meter.counted, 0)
	})
	t.Run("all forms of fields are relayed", func(t *testing.T) {
		const forms = ": comment\n\nweights-versions: 3\r\nid:4\r\ndata\r\nevent: \x00\xff any\r\n\r\n"
		f := newFixture(t, nonRepeatableStream, scriptedAnswer{status: http.StatusOK, body: forms, noLength: true})
		f.expectServed(http.StatusOK, forms)
	})
}

func TestPrefill(t *testing.T) {
	t.Run("target gets the KV source", func(t *testing.T) {
		f := newFixture(t, nonRepeatableStream, scriptedAnswer{status: http.StatusOK, body: "data: x\n\n"})
		f.placer.usePrefiller = true
		f.upstreams.prefill = scriptedAnswer{status: http.StatusOK}
		f.expectServed(http.StatusOK, "data: x\n\n")
		f.is.True(f.upstreams.calls[0].KVSource != nil) // fetched from the prefiller
	})
	t.Run("target prefills if the prefiller fails", func(t *testing.T) {
		f := newFixture(t, nonRepeatableStream, scriptedAnswer{status: http.StatusOK, body: "data: x\n\n"})
		f.placer.usePrefiller = true
		f.upstreams.prefill = scriptedAnswer{status: http.StatusServiceUnavailable}
		f.expectServed(http.StatusOK, "data: x\n\n")
		f.is.True(f.upstreams.calls[0].KVSource == nil)
	})
	t.Run("prefill is requested once", func(t *testing.T) {
		f := newFixture(t, nonRepeatableStream, rejected, scriptedAnswer{status: http.StatusOK, body: "data: x\n\n"})
		f.placer.usePrefiller = true
		f.upstreams.prefill = scriptedAnswer{status: http.StatusOK}
		f.expectServed(http.StatusOK, "data: x\n\n")
		f.is.Equal(f.upstreams.prefillCalls, 1)
		f.is.True(f.upstreams.calls[1].KVSource == nil)
	})
	t.Run("rejected prefill is charged to the retry budget", func(t *testing.T) {
		f := newFixture(t, nonRepeatableStream, scriptedAnswer{status: http.StatusOK, body: "data: x\n\n"})
		f.placer.usePrefiller = true
		f.upstreams.prefill = scriptedAnswer{status: http.StatusServiceUnavailable}
		f.expectServed(http.StatusOK, "data: x\n\n")
		f.is.Equal(f.placer.chargedRetries, 1)
		f.is.Equal(f.placer.prefillsBegun, 0)
	})
	t.Run("target prefills if the retry budget allows no rejected prefill", func(t *testing.T) {
		f := newFixture(t, nonRepeatableStream, scriptedAnswer{status: http.StatusOK, body: "data: x\n\n"})
		f.placer.usePrefiller = true
		f.placer.prefillBudget = 0
		f.upstreams.prefill = scriptedAnswer{status: http.StatusOK}
		f.expectServed(http.StatusOK, "data: x\n\n")
		f.is.Equal(f.upstreams.prefillCalls, 0)
		f.is.True(f.upstreams.calls[0].KVSource == nil)
	})
	t.Run("unreachable prefiller is replaced by another", func(t *testing.T) {
		f := newFixture(t, nonRepeatableStream, scriptedAnswer{status: http.StatusOK, body: "data: x\n\n"})
		f.placer.usePrefiller = true
		f.upstreams.prefill = scriptedAnswer{status: http.StatusOK}
		f.upstreams.unreachablePrefillers = 1
		f.expectServed(http.StatusOK, "data: x\n\n")
		f.is.True(f.upstreams.calls[0].KVSource != nil)
		f.is.Equal(f.placer.prefillResults, []relay.Result{relay.ResultUnreachable, relay.ResultServed})
		f.is.Equal(f.placer.chargedRetries, 0) // an unreachable prefiller is not charged
	})
	t.Run("number of unreachable prefillers is limited", func(t *testing.T) {
		f := newFixture(t, nonRepeatableStream, scriptedAnswer{status: http.StatusOK, body: "data: x\n\n"})
		f.placer.usePrefiller = true
		f.upstreams.unreachablePrefillers = 100
		f.expectServed(http.StatusOK, "data: x\n\n")
		f.is.Equal(f.upstreams.prefillCalls, 2)
		f.is.True(f.upstreams.calls[0].KVSource == nil) // the target prefills
	})
	t.Run("target that leaves during the prefill gets no request", func(t *testing.T) {
		f := newFixture(t, nonRepeatableStream, scriptedAnswer{status: http.StatusOK, body: "data: x\n\n"})
		f.placer.usePrefiller = true
		f.placer.leaving = "a"
		f.placer.retryBudget = 0
		f.upstreams.prefill = scriptedAnswer{status: http.StatusOK}
		f.expectServed(http.StatusOK, "data: x\n\n")
		f.is.Equal(f.upstreams.targets, []models.EngineID{"b"})
		f.is.True(f.upstreams.calls[0].KVSource != nil) // the next target uses the same KV cache
		f.is.Equal(f.upstreams.heldCaches, 1)           // prefilled only once
	})
	t.Run("unused KV cache of a prefiller that accepts no calls expires there", func(t *testing.T) {
		f := newFixture(t, nonRepeatableStream, unreachable, unreachable, unreachable)
		f.placer.usePrefiller = true
		f.placer.noCalls = true
		f.upstreams.prefill = scriptedAnswer{status: http.StatusOK}
		f.expectRefused(models.RefusalBackendFailed, true)
		f.is.Equal(f.upstreams.heldCaches, 1) // no call was made
	})
	t.Run("unused KV cache is released", func(t *testing.T) {
		f := newFixture(t, nonRepeatableStream, unreachable, unreachable, unreachable)
		f.placer.usePrefiller = true
		f.upstreams.prefill = scriptedAnswer{status: http.StatusOK}
		f.expectRefused(models.RefusalBackendFailed, true)
		f.is.Equal(f.upstreams.heldCaches, 0)
	})
}

// A caller that leaves while the target has not answered leaves no KV cache
// behind at the prefiller: under overload it would fill its memory.
func TestCallerLeavesAfterPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nonRepeatableStream, scriptedAnswer{hangs: true})
		f.placer.usePrefiller = true
		f.upstreams.prefill = scriptedAnswer{status: http.StatusOK}
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			synctest.Wait()
			cancel()
		}()
		is := is.New(t)
		is.True(f.handle(ctx) != nil) // refused
		f.expectSends(1)
		is.Equal(f.upstreams.heldCaches, 0)
	})
}

func TestDeadlineExceeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nonRepeatable, scriptedAnswer{hangs: true})
		started := system.NewClock().Now()
		f.exchange.Deadline = started.Add(time.Second)
		f.expectRefused(models.RefusalDeadline, false)
		f.is.Equal(system.NewClock().Now().Sub(started), time.Second) // exactly at the deadline
	})
}

func TestCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, repeatable, scriptedAnswer{hangs: true}, success)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			synctest.Wait()
			cancel()
		}()
		err := f.handle(ctx)
		is := is.New(t)
		is.True(err != nil) // refused
		f.expectSends(1)    // no retry
	})
}
