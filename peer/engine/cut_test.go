package engine_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/engine"
	"quincewinch/standin/raw"
)

// Guards against an answer of an engine that is cut short and taken for whole.
func TestCutAnswerIsNotWhole(t *testing.T) {
	const (
		ok     = "HTTP/1.1 200 OK\r\n"
		pieces = `{"request": "r", "index": 0, "text": "oak"}` + "\n" + `{"request": "r", "index": 1, "finish": {"reason": "stop"}}`
		handle = `{"request": "r", "handle": "h"}`
	)
	generate := func(ctx context.Context, client *engine.Client) error {
		stream, err := client.Generate(ctx, models.Generation{ID: "r"})
		if err != nil {
			return err
		}
		defer stream.Close()
		for {
			if piece, err := stream.Next(ctx); err != nil || piece.Done {
				return err
			}
		}
	}
	export := func(ctx context.Context, client *engine.Client) error {
		_, err := client.Export(ctx, "r")
		return err
	}
	order := func(ctx context.Context, client *engine.Client) error {
		return client.Order(ctx, models.Order{ID: "o"})
	}
	tests := []struct {
		name, answer string
		do           func(context.Context, *engine.Client) error
	}{
		{"stream", ok + "\r\n" + pieces, generate},
		{"handle", ok + "\r\n" + handle, export},
		{"order", ok + "Content-Length: 0\r\n\r\n", order},
		{"order, neither length nor chunks", ok + "\r\n", order},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			cuts := raw.Cuts(test.answer)
			server := httptest.NewServer(raw.NewHandler(append(cuts, raw.Answer{Bytes: test.answer})...))
			t.Cleanup(server.Close)
			transport := &http.Transport{}
			t.Cleanup(transport.CloseIdleConnections)
			client := engine.NewClient(server.URL, &http.Client{Transport: transport})
			for _, cut := range cuts {
				if err := test.do(t.Context(), client); err == nil || peer.OutcomeOf(err) != peer.OutcomeUnknown {
					t.Errorf("%q, reset %t: %v, want a failure with the outcome unknown", cut.Bytes, cut.Reset, err)
				}
			}
			is.NoErr(test.do(t.Context(), client)) // not cut
		})
	}
}
