package engine_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/engine"
	"quincewinch/peer/system"
	"quincewinch/standin/endless"
	standin "quincewinch/standin/engine"
)

func TestConnectionIsReusedAcrossStreams(t *testing.T) {
	is := is.New(t)
	e := standin.New(system.NewClock(), standin.Settings{Models: []models.Model{"m"}, Cost: standin.DefaultCost()})
	var connections atomic.Int32
	server := httptest.NewUnstartedServer(standin.NewHandler(e))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := engine.NewClient(server.URL, server.Client())
	for i := range 5 {
		stream, err := client.Generate(t.Context(), models.Generation{ID: models.RequestID(strconv.Itoa(i)), Model: "m", Prompt: "x", MaxTokens: 2})
		is.NoErr(err)
		for done := false; !done; {
			piece, err := stream.Next(t.Context())
			is.NoErr(err)
			done = piece.Done
		}
		is.NoErr(stream.Close())
	}
	is.Equal(connections.Load(), int32(1))
}

func TestUnreachableEngineIsNotDone(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	_, err := engine.NewClient(server.URL, &http.Client{}).Generate(t.Context(), models.Generation{ID: "r"})
	is.Equal(peer.OutcomeOf(err), peer.OutcomeNotDone)
}

func TestPieceWithoutEndIsCutOff(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\n\r\n"
	tests := []struct {
		name, first, repeated string
		pieces                int // complete ones
	}{
		{"text", header + `{"request": "r", "index": 0, "text": "`, "x", 0},
		{"blanks", header, " ", 0},
		{"blanks after the last piece", header + `{"request": "r", "index": 0, "finish": {"reason": "stop"}}`, " ", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			handler := endless.NewHandler(test.first, test.repeated)
			server := httptest.NewServer(handler)
			t.Cleanup(server.Close)
			transport := &http.Transport{DialContext: (&net.Dialer{}).DialContext}
			read := endless.Count(transport)
			stream, err := engine.NewClient(server.URL, &http.Client{Transport: transport}).Generate(t.Context(), models.Generation{ID: "r"})
			is.NoErr(err)
			for range test.pieces {
				_, err := stream.Next(t.Context())
				is.NoErr(err)
			}
			_, err = stream.Next(t.Context())
			is.True(err != nil)
			is.Equal(peer.OutcomeOf(err), peer.OutcomeUnknown)
			is.NoErr(stream.Close())
			<-handler.Closed()
			is.True(read.Load() <= 512<<10) // bytes
		})
	}
}
