package demo_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"go.uber.org/zap"

	"quincewinch/demo"
	"quincewinch/models"
	"quincewinch/peer/engine"
	"quincewinch/peer/system"
)

// BenchmarkEntryLatency measures the latency that a daemon adds to a call,
// compared with direct calls of the same backend server in the same run.
func BenchmarkEntryLatency(b *testing.B) {
	deployment, err := demo.Find("tamarind")
	if err != nil {
		b.Fatal(err)
	}
	running, err := demo.Start(b.Context(), deployment, system.NewClock(), zap.NewNop(), demo.Options{})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = running.Stop(context.Background()) })
	entry, key := running.Ready.Callers[0], running.Ready.Workspaces[0].Key
	body := `{"model": "catalogue", "prompt": "Which oak?", "max_tokens": 1}`
	direct := engine.NewClient(running.Ready.Engines[0], http.DefaultClient)
	b.Run("token", func(b *testing.B) {
		compare(b, 0, func(i int) { generate(b, direct, i) }, func(int) { call(b, entry+"/v1/completions", key, body) })
	})
	for _, service := range running.Ready.Services {
		b.Run(service.Name, func(b *testing.B) {
			pause := time.Duration(0)
			if !service.Repeatable {
				pause = 100 * time.Millisecond // a daemon's claims share its transaction rate
			}
			compare(b, pause,
				func(int) { call(b, service.URL+"/x", "", "flitch 7") },
				func(int) { call(b, entry+"/services/"+service.Name+"/x", key, "flitch 7") })
		})
	}
}

// compare alternates direct calls and calls through the daemon, with a pause
// after each round, and reports the percentiles of both.
func compare(b *testing.B, pause time.Duration, direct, entry func(i int)) {
	b.Helper()
	clock := system.NewClock()
	var times [2][]time.Duration
	i := 0
	for b.Loop() {
		for way, run := range []func(int){direct, entry} {
			begin := clock.Now()
			run(i)
			times[way] = append(times[way], clock.Now().Sub(begin))
		}
		i++
		_ = clock.Sleep(b.Context(), pause)
	}
	for way, name := range []string{"direct", "entry"} {
		slices.Sort(times[way])
		n := len(times[way])
		b.ReportMetric(float64(times[way][n/2].Microseconds()), name+"-p50-us")
		b.ReportMetric(float64(times[way][n*99/100].Microseconds()), name+"-p99-us")
	}
}

func generate(b *testing.B, direct *engine.Client, i int) {
	b.Helper()
	generation := models.Generation{ID: models.RequestID("direct-" + strconv.Itoa(i)), Model: "catalogue", Prompt: "Which oak?", MaxTokens: 1}
	stream, err := direct.Generate(b.Context(), generation)
	if err != nil {
		b.Fatal(err)
	}
	for {
		piece, err := stream.Next(b.Context())
		if err != nil {
			b.Fatal(err)
		}
		if piece.Done {
			_ = stream.Close()
			return
		}
	}
}

func call(b *testing.B, url, key, body string) {
	b.Helper()
	r, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		b.Fatal(err)
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		b.Fatalf("%s: %v %s", response.Status, err, answer)
	}
}
