package service_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/service"
	"quincewinch/standin/raw"
)

// call calls a service that gives the answers in order.
func call(t *testing.T, method string, handler *raw.Handler) func() (models.ServiceResponse, error) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	client := service.NewClients(&http.Client{Transport: transport}).Service(models.ServiceBackend{URL: server.URL})
	return func() (models.ServiceResponse, error) {
		return client.Call(t.Context(), models.ServiceCall{ID: "r", Method: method, Path: "/"})
	}
}

// Guards against an answer cut short in its head, or in a body with a frame, that is
// taken for whole.
func TestCutAnswerIsNotWhole(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name, answer string
	}{
		{"length", ok + "Content-Length: 6\r\n\r\nanswer"},
		{"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n"},
		{"neither", ok + "A: b\r\n\r\n"},
		{"after an early head", "HTTP/1.1 103 Early Hints\r\n\r\n" + ok + "Content-Length: 0\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cuts := raw.Cuts(test.answer)
			send := call(t, http.MethodPost, raw.NewHandler(cuts...))
			for _, cut := range cuts {
				if _, err := send(); err == nil || peer.OutcomeOf(err) != peer.OutcomeUnknown {
					t.Errorf("%q, reset %t: %v, want a failure with the outcome unknown", cut.Bytes, cut.Reset, err)
				}
			}
		})
	}
}

// Guards against a service that crashes before its body and looks as if it had none.
func TestSuccessThatEndsBeforeItsBodyIsLost(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name, method, answer string
		lost                 bool
	}{
		{"neither length nor chunks", http.MethodPost, ok + "\r\n", true},
		{"neither, HTTP/1.0", http.MethodPost, "HTTP/1.0 200 OK\r\n\r\n", true},
		{"neither, with a body", http.MethodPost, ok + "\r\nanswer", false},
		{"length of zero", http.MethodPost, ok + "Content-Length: 0\r\n\r\n", false},
		{"no chunk", http.MethodPost, ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
		{"HEAD", http.MethodHead, ok + "\r\n", false},
		{"no content", http.MethodPost, "HTTP/1.1 204 No Content\r\n\r\n", false},
		{"a failure", http.MethodPost, "HTTP/1.1 404 Not Found\r\n\r\n", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := call(t, test.method, raw.NewHandler(raw.Answer{Bytes: test.answer}))()
			is.Equal(err != nil, test.lost)
			if test.lost {
				is.Equal(peer.OutcomeOf(err), peer.OutcomeUnknown)
			}
		})
	}
}
