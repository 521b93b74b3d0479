package caller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer/system"
	"quincewinch/request"
)

const bodyLimit = 200

// recordingHandler records the request that reaches it.
type recordingHandler struct {
	exchange *request.Exchange
}

func (r *recordingHandler) Handle(ctx context.Context, e *request.Exchange) error {
	r.exchange = e
	if e.Generation != nil {
		return e.Sink.Piece(ctx, models.Piece{Done: true})
	}
	return e.Sink.Answer(ctx, models.ServiceResponse{Status: http.StatusOK})
}

// send posts a body and returns the status and the exchange that reached the
// chain, nil if none did.
func send(path, body string) (int, *request.Exchange) {
	chain := &recordingHandler{}
	h := NewHandler(chain, nil, system.NewClock(), func() models.RequestID { return "r" }, Settings{MaxBodyBytes: bodyLimit, Timeout: 1 << 30})
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer qw-secret")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Code, chain.exchange
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	const chat, completion = "/v1/chat/completions", "/v1/completions"
	cases := []struct {
		name, path, body string
		status           int
	}{
		{"not JSON", chat, `{"model": "m"`, http.StatusBadRequest},
		{"no messages", chat, `{"model": "m"}`, http.StatusBadRequest},
		{"no model", chat, `{"messages": [{"role": "user", "content": "x"}]}`, http.StatusBadRequest},
		{"content of wrong type", chat, `{"model": "m", "messages": [{"content": 7}]}`, http.StatusBadRequest},
		{"negative limit", completion, `{"model": "m", "prompt": "x", "max_tokens": -1}`, http.StatusBadRequest},
		{"empty prompt", completion, `{"model": "m", "prompt": ""}`, http.StatusBadRequest},
		{"stop of wrong type", completion, `{"model": "m", "prompt": "x", "stop": 7}`, http.StatusBadRequest},
		{"too large", completion, `{"model": "m", "prompt": "` + strings.Repeat("x", bodyLimit) + `"}`, http.StatusRequestEntityTooLarge},
		{"too large for a service", "/services/reservations", strings.Repeat("x", bodyLimit+1), http.StatusRequestEntityTooLarge},
		{"key in the body", "/services/reservations", "key=qw-secret", http.StatusBadRequest},
		{"key in the query", "/services/reservations?key=qw-secret", "", http.StatusBadRequest},
		{"unknown path", "/v1/elsewhere", "", http.StatusNotFound},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			status, got := send(c.path, c.body)
			is.Equal(status, c.status)
			is.True(got == nil) // the chain must not be called
		})
	}
	t.Run("valid request is accepted", func(t *testing.T) {
		is := is.New(t)
		status, got := send(completion, `{"model": "m", "prompt": "x"}`)
		is.Equal(status, http.StatusOK)
		is.Equal(got.Generation.Prompt, "x")
	})
}

// failingHandler writes one token and then fails.
type failingHandler struct{}

func (failingHandler) Handle(ctx context.Context, e *request.Exchange) error {
	if err := e.Sink.Piece(ctx, models.Piece{Text: " oak"}); err != nil {
		return err
	}
	return &models.Refusal{Code: models.RefusalKeyWithdrawn, Message: "withdrawn"}
}

func TestStreamEndsWithAnExplicitError(t *testing.T) {
	for _, stream := range []string{"true", "false"} {
		t.Run("stream "+stream, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(NewHandler(failingHandler{}, nil, system.NewClock(), func() models.RequestID { return "r" }, Settings{MaxBodyBytes: bodyLimit, Timeout: 1 << 40}))
			defer server.Close()
			response, err := http.Post(server.URL+"/v1/completions", "application/json", strings.NewReader(`{"model": "m", "prompt": "x", "stream": `+stream+`}`))
			is.NoErr(err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.True(strings.Contains(string(body), `"code":"key-withdrawn"`)) // gives the reason
			is.True(!strings.Contains(string(body), "[DONE]"))                // must not look complete
			is.Equal(response.StatusCode == http.StatusOK, stream == "true")
		})
	}
}

// fuzzTokens checks that any body is either refused with a 4xx status or
// reaches the chain as a valid generation.
func fuzzTokens(f *testing.F, path string, seeds ...string) {
	f.Helper()
	for _, seed := range seeds {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, body string) {
		status, got := send(path, body)
		switch {
		case got == nil && status/100 != 4:
			t.Errorf("request did not reach the chain but got status %d, want 4xx", status)
		case got != nil && (got.Generation.Model == "" || got.Generation.Prompt == "" || got.Generation.MaxTokens < 0):
			t.Errorf("invalid generation accepted: %+v", *got.Generation)
		}
	})
}

func FuzzChat(f *testing.F) {
	fuzzTokens(f, "/v1/chat/completions",
		`{"model": "m", "messages": [{"role": "user", "content": "x"}]}`,
		`{"model": "m", "messages": [{"content": ["a", {"text": "b"}, {"image_url": {"url": "c"}}]}], "stop": ["x"]}`,
		`{"model": "m", "messages": [{}], "max_completion_tokens": 1e3}`,
		`{"model": "m", "messages": null, "stream_options": null, "stop": null}`,
		`[]`, `null`, ``,
	)
}

func FuzzCompletion(f *testing.F) {
	fuzzTokens(f, "/v1/completions",
		`{"model": "m", "prompt": "x", "stream": true, "stream_options": {"include_usage": true}}`,
		`{"model": "m", "prompt": ["a", "b"], "max_tokens": 9223372036854775807}`,
		`{"model": "m", "prompt": {}}`, `{"model": 1}`, `null`, ``,
	)
}
