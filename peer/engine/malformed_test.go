package engine_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/engine"
	"quincewinch/standin/raw"
)

// Guards against answers of an engine in trouble that count as done.
func TestMalformedAnswerIsNoAnswer(t *testing.T) {
	for name, answer := range raw.Malformed("") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(raw.NewHandler(answer))
			t.Cleanup(server.Close)
			err := engine.NewClient(server.URL, &http.Client{Transport: &http.Transport{}}).Order(t.Context(), models.Order{ID: "o"})
			is.True(err != nil)
			is.Equal(peer.OutcomeOf(err), peer.OutcomeUnknown)
		})
	}
}
