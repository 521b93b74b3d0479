package demo_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"quincewinch/demo"
	"quincewinch/models"
	"quincewinch/peer/system"
	"quincewinch/standin/engine"
)

const question = `{"model": "catalogue", "messages": [{"role": "user", "content": "Which oak?"}]`

// startDemo starts the demo and stops it at the end of the test.
func startDemo(t *testing.T) *demo.System {
	t.Helper()
	is := is.New(t)
	deployment, err := demo.Find("tamarind")
	is.NoErr(err)
	running, err := demo.Start(t.Context(), deployment, system.NewClock(), zap.NewNop(), demo.Options{})
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(running.Stop(context.Background())) })
	return running
}

// post sends a POST request and returns the status and body of the answer.
func post(t *testing.T, url, key, body string) (int, string) {
	t.Helper()
	is := is.New(t)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewBufferString(body))
	is.NoErr(err)
	r.Header.Set("Authorization", "Bearer "+key)
	return send(t, r)
}

// send sends a request and returns the status and body of the answer.
func send(t *testing.T, r *http.Request) (int, string) {
	t.Helper()
	is := is.New(t)
	response, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return response.StatusCode, string(raw)
}

// TestChatCompletionsEndToEnd calls every daemon, and checks that caller keys
// do not reach the engines.
func TestChatCompletionsEndToEnd(t *testing.T) {
	running := startDemo(t)
	key := running.Ready.Workspaces[0].Key
	want := engine.Answer(models.Model("catalogue"), "user: Which oak?\n", 0)
	for _, address := range running.Ready.Callers {
		t.Run("not streamed", func(t *testing.T) {
			is := is.New(t)
			status, body := post(t, address+"/v1/chat/completions", key, question+"}")
			is.Equal(status, http.StatusOK)
			is.True(strings.Contains(body, want)) // complete answer
		})
		t.Run("streamed", func(t *testing.T) {
			is := is.New(t)
			status, body := post(t, address+"/v1/chat/completions", key, question+`, "stream": true}`)
			is.Equal(status, http.StatusOK)
			is.True(strings.HasSuffix(body, "data: [DONE]\n\n")) // stream is complete
		})
		t.Run("wrong key", func(t *testing.T) {
			is := is.New(t)
			status, body := post(t, address+"/v1/chat/completions", "wrong", question+"}")
			is.Equal(status, http.StatusUnauthorized)
			is.True(strings.Contains(body, `"not-run":true`)) // request did not run
		})
	}
	t.Run("engines do not receive the key", func(t *testing.T) {
		is := is.New(t)
		for _, e := range running.Engines {
			for _, received := range e.Received() {
				is.True(!strings.Contains(received.Prompt, key)) // no key in the prompt
			}
		}
	})
}

// reserve sends a reservation with an idempotency key.
func reserve(t *testing.T, address, key, idempotency string) (int, string) {
	t.Helper()
	is := is.New(t)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, address+"/services/reservations/flitches/7", strings.NewReader("one"))
	is.NoErr(err)
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Idempotency-Key", idempotency)
	return send(t, r)
}

// TestIdempotentReservationRunsOnceAcrossDaemons sends the same idempotency key
// to all daemons at once: the service must be called once, and every daemon must
// return that result.
func TestIdempotentReservationRunsOnceAcrossDaemons(t *testing.T) {
	is := is.New(t)
	running := startDemo(t)
	key := running.Ready.Workspaces[0].Key
	answers := make([]string, len(running.Ready.Callers))
	var group sync.WaitGroup
	for i, address := range running.Ready.Callers {
		group.Go(func() {
			status, body := reserve(t, address, key, "flitch-7")
			is.Equal(status, http.StatusOK)
			answers[i] = body
		})
	}
	group.Wait()
	is.Equal(len(running.Services["reservations"].Calls()), 1) // booked once
	is.Equal(len(slices.Compact(answers)), 1)                  // same answer from each daemon
	is.True(running.Services["reservations"].Calls()[0].Header.Get("Authorization") == "")
}

// openStream requests a streamed answer from the first daemon.
func openStream(t *testing.T, running *demo.System) *http.Response {
	t.Helper()
	is := is.New(t)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, running.Ready.Callers[0]+"/v1/chat/completions", strings.NewReader(question+`, "stream": true}`))
	is.NoErr(err)
	r.Header.Set("Authorization", "Bearer "+running.Ready.Workspaces[0].Key)
	response, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	return response
}

// TestGracefulStopFinishesStreams guards against a planned stop that cuts off a
// stream in flight.
func TestGracefulStopFinishesStreams(t *testing.T) {
	is := is.New(t)
	running := startDemo(t)
	response := openStream(t, running)
	defer response.Body.Close()
	stopping := running.Daemons[0]
	running.Daemons = running.Daemons[1:]
	stopped := make(chan error, 1)
	go func() { stopped <- stopping.Stop(context.Background()) }()
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.True(strings.HasSuffix(string(body), "data: [DONE]\n\n")) // stream is complete
	is.NoErr(<-stopped)
}

// TestEngineCrashMidStreamIsTransparent crashes the engine after the first token
// of a stream. The caller must still receive one complete answer.
func TestEngineCrashMidStreamIsTransparent(t *testing.T) {
	is := is.New(t)
	running := startDemo(t)
	response := openStream(t, running)
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	var text strings.Builder
	killed := 0
	for lines.Scan() {
		text.WriteString(content(t, lines.Text()))
		for _, e := range running.Engines {
			if killed == 0 && text.Len() > 0 && len(e.Received()) > 0 {
				e.Crash()
				killed++
			}
		}
	}
	is.NoErr(lines.Err())
	is.Equal(killed, 1)
	is.Equal(text.String(), engine.Answer(models.Model("catalogue"), "user: Which oak?\n", 0))
}

// content returns the token in a line of an event stream, or "" if the line
// carries none.
func content(t *testing.T, line string) string {
	t.Helper()
	raw, found := strings.CutPrefix(line, "data: {")
	if !found {
		return ""
	}
	var event struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte("{"+raw), &event); err != nil || len(event.Choices) == 0 {
		t.Fatalf("no token in %q", line)
	}
	return event.Choices[0].Delta.Content
}
