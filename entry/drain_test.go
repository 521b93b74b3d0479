package entry

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

func TestDrainIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newStopFixture(t, nil, nil)
		idle, begun, left := f.listener.dial(nil), f.listener.dial(nil), f.listener.dial(nil)
		defer idle.Close()
		defer begun.Close()
		send(t, begun, request[:10])
		send(t, left, request[:10])
		synctest.Wait()
		stopped := f.stop(t)
		synctest.Wait()
		send(t, begun, request[10:])
		is.Equal(readAnswer(begun), http.StatusOK)
		left.Close()
		is.NoErr(<-stopped)
		logged := f.logs.FilterMessage("connections of callers drained").All()
		is.Equal(len(logged), 1)
		fields := logged[0].ContextMap()
		is.True(fields["took"] != nil)
		delete(fields, "took")
		is.Equal(fields, map[string]any{
			"closed-idle": int64(1), "late-answered": int64(0), "discarded": int64(0), "unanswered": int64(0), "open": int64(0),
		})
	})
}
