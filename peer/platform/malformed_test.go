package platform_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"quincewinch/peer"
	"quincewinch/peer/platform"
	"quincewinch/standin/raw"
)

// Guards against answers of a platform in trouble that count as done.
func TestMalformedAnswerIsNoAnswer(t *testing.T) {
	for name, answer := range raw.Malformed("") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(raw.NewHandler(answer))
			t.Cleanup(server.Close)
			err := platform.NewClient(server.URL, &http.Client{Transport: &http.Transport{}}).Put(t.Context(), "o", nil)
			is.True(err != nil)
			is.Equal(peer.OutcomeOf(err), peer.OutcomeUnknown)
		})
	}
}
