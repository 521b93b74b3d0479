package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/standin/endless"
)

func TestHeaderWithoutEndIsCutOff(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	clients := map[string]func() *http.Client{
		"backend servers": func() *http.Client { return &http.Client{Transport: upstreamTransport(time.Second)} },
		"store":           storeClient,
		"duties":          dutyClient,
	}
	answers := []struct {
		name, first, repeated string
	}{
		{"no status", "", "\x00garbage"},
		{"one line", status + "A: ", "x"},
		{"lines", status, "A: x\r\n"},
		{"answers in advance", "", "HTTP/1.1 103 Early Hints\r\nA: x\r\n\r\n"},
	}
	for to, newClient := range clients {
		for _, answer := range answers {
			t.Run(to+"/"+answer.name, func(t *testing.T) {
				is := is.New(t)
				handler := endless.NewHandler(answer.first, answer.repeated)
				server := httptest.NewServer(handler)
				t.Cleanup(server.Close)
				client := newClient()
				read := endless.Count(client.Transport.(*http.Transport))
				request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, http.NoBody)
				is.NoErr(err)
				response, err := client.Do(request)
				if err == nil {
					is.NoErr(response.Body.Close())
				}
				is.True(err != nil) // it is no answer
				<-handler.Closed()
				t.Logf("%d bytes read", read.Load())
				is.True(read.Load() <= 128<<10) // bytes
			})
		}
	}
}
