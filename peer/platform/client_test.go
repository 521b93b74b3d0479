package platform_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"quincewinch/peer"
	"quincewinch/peer/platform"
	"quincewinch/standin/endless"
)

func TestObjectWithoutEndIsNotTakenForWhole(t *testing.T) {
	is := is.New(t)
	handler := endless.NewHandler("HTTP/1.1 200 OK\r\n\r\n", "x")
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	object, err := platform.NewClient(server.URL, &http.Client{}).Get(t.Context(), "o")
	<-handler.Closed()
	is.Equal(len(object), 0)
	is.True(err != nil)
	is.Equal(peer.OutcomeOf(err), peer.OutcomeUnknown)
}
