package operator_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"quincewinch/peer/operator"
	"quincewinch/standin/raw"
)

// Guards against answers of a daemon in trouble that operators take for done.
func TestMalformedAnswerIsNoAnswer(t *testing.T) {
	for name, answer := range raw.Malformed("") {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(raw.NewHandler(answer))
			t.Cleanup(server.Close)
			client := operator.NewClient(server.URL, "key", &http.Client{Transport: &http.Transport{}})
			_, err := client.Call(t.Context(), http.MethodGet, "/", nil, "", nil)
			is.New(t).True(err != nil)
		})
	}
}
