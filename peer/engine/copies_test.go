package engine_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/engine"
)

// Guards against a call that is reported as not done while the engine does it.
func TestAnswerOfAnEarlierCallIsNotTheAnswerToTheNext(t *testing.T) {
	const header = "X-Call-Id"
	for name, copied := range map[string]bool{"names its call": true, "names none": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var once sync.Once
			var first string
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					return
				}
				once.Do(func() { first = r.Header.Get(header) })
				if copied {
					w.Header().Set(header, first)
				}
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(w, `{"outcome":"not-done"}`)
			}))
			t.Cleanup(server.Close)
			client := engine.NewClient(server.URL, server.Client())
			err := client.Order(t.Context(), models.Order{})
			is.Equal(peer.OutcomeOf(err), peer.OutcomeNotDone)
			err = client.Order(t.Context(), models.Order{})
			is.True(err != nil)
			is.Equal(peer.OutcomeOf(err), peer.OutcomeUnknown)
		})
	}
}
