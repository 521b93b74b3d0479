package daemon

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"quincewinch/standin/endless"
)

func TestHeaderWithoutEndIsCutOff(t *testing.T) {
	is := is.New(t)
	handler := endless.NewHandler("HTTP/1.1 200 OK\r\n", "A: x\r\n")
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	transport := (&Daemon{}).transport()
	read := endless.Count(transport)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, http.NoBody)
	is.NoErr(err)
	response, err := transport.RoundTrip(request)
	if err == nil {
		is.NoErr(response.Body.Close())
	}
	is.True(err != nil) // it is no answer
	<-handler.Closed()
	t.Logf("%d bytes read", read.Load())
	is.True(read.Load() <= 128<<10) // bytes
}
