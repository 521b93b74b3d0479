package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/system"
	"quincewinch/platform"
)

// Guards against a refused report that counts as accepted.
func TestAnswerOfAnEarlierDutyIsNotTheAnswerToTheNext(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	accepted := map[string]bool{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if len(accepted) > 0 && !accepted[r.RemoteAddr] {
			w.WriteHeader(http.StatusConflict)
			return
		}
		accepted[r.RemoteAddr] = true // and written again to the next call there
	}))
	t.Cleanup(server.Close)
	clock := system.NewClock()
	duties := platform.NewDuties(netip.MustParseAddrPort(server.Listener.Addr().String()), dutyClient(), clock, "vm-1")
	authority := models.Authority{Fence: 1, Deadline: clock.Now().Add(time.Hour)}
	is.NoErr(duties.Report(t.Context(), authority, 1, nil))
	err := duties.Report(t.Context(), authority, 2, nil)
	is.True(err != nil)
	is.Equal(peer.OutcomeOf(err), peer.OutcomeConflict)
}
