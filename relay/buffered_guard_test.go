package relay_test

import (
	"context"
	"io"
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

// slowUpstreams let a second pass between the first and the second half of a body.
type slowUpstreams struct{ *fakeUpstreams }

func (u slowUpstreams) Send(ctx context.Context, to models.Upstream, call models.UpstreamCall) (peer.UpstreamResponse, error) {
	answer, err := u.fakeUpstreams.Send(ctx, to, call)
	reader, writer := io.Pipe()
	go func() {
		_, _ = io.WriteString(writer, "first")
		_ = system.NewClock().Sleep(ctx, time.Second)
		_, _ = io.WriteString(writer, "second")
		_ = writer.Close()
	}()
	answer.Body, answer.Length = reader, int64(len("firstsecond"))
	return answer, err
}

// An answer that began before a crash must not clear the parts of its prompt.
func TestBufferedAnswerBeginsWithItsFirstByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := system.NewClock()
		f := newFixture(t, models.PathRoute{Attempts: 1}, scriptedAnswer{status: 200})
		f.exchange.Deadline = clock.Now().Add(time.Minute)
		sentAt := clock.Now()
		sender := relay.NewSender(slowUpstreams{&f.upstreams}, &f.placer, &f.meter, f.origins, &f.guard, clock, zap.NewNop())
		is.NoErr(sender.Handle(t.Context(), &f.exchange))
		is.True(strings.HasSuffix(f.reply.body.String(), "second"))
		is.Equal(len(f.guard.completed), 1)
		is.Equal(f.guard.completed[0].BegunAt, sentAt)
	})
}
