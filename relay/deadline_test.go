package relay_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/system"
	"quincewinch/relay"
)

// lateRejection rejects each request when its time is over, and asks for a rest.
type lateRejection struct {
	fakeUpstreams
}

// Send implements peer.Upstreams. The answer takes a millisecond each way.
func (u *lateRejection) Send(ctx context.Context, to models.Upstream, call models.UpstreamCall) (peer.UpstreamResponse, error) {
	if system.NewClock().Sleep(ctx, call.TimeLeft+2*time.Millisecond) != nil {
		return peer.UpstreamResponse{}, peer.NewFailure(peer.OutcomeUnknown, "no answer", ctx.Err())
	}
	u.script = []scriptedAnswer{{status: http.StatusServiceUnavailable, notRun: true}}
	return u.fakeUpstreams.Send(ctx, to, call)
}

// Guards against rejections at the deadline that come too late to be read, so that a
// server that asks for a rest gets more and more requests.
func TestRejectionAtTheDeadlineIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, nonRepeatable)
		f.exchange.Deadline = system.NewClock().Now().Add(3 * time.Second)
		err := f.handleWith(t.Context(), &lateRejection{})
		is.True(err != nil) // refused
		is.Equal(len(f.placer.stated), 1)
	})
}

// Guards against connections that are closed without an answer, or with one that says too
// much, when the daemon's grace time ends before its requests do.
func TestRequestCutOffByTheDaemonIsAnswered(t *testing.T) {
	for name, test := range map[string]struct {
		script scriptedAnswer
		notRun bool
	}{
		"sent":                    {scriptedAnswer{hangs: true}, false},
		"answer has begun":        {scriptedAnswer{status: http.StatusOK, body: "ab", stallsAfter: 1}, false},
		"never reached a backend": {scriptedAnswer{err: peer.NewFailure(peer.OutcomeNotDone, "no connection", nil)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, nonRepeatable, test.script)
				f.exchange.Deadline = system.NewClock().Now().Add(time.Minute)
				ctx, abort := context.WithCancelCause(t.Context())
				if test.notRun {
					abort(errors.New("the daemon stops"))
				}
				go func() {
					_ = system.NewClock().Sleep(ctx, time.Second) // ends with ctx at the latest
					abort(errors.New("the daemon stops"))
				}()
				refusal := relay.RefusalOf(f.handle(ctx))
				is.Equal(refusal.Code, models.RefusalDraining)
				is.Equal(refusal.NotRun, test.notRun)
			})
		})
	}
}
