package engine

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"quincewinch/peer"
)

// FuzzStream checks that a stream of arbitrary bytes ends, and that its failure
// has the outcome unknown.
func FuzzStream(f *testing.F) {
	f.Add("{\"request\": \"r\", \"index\": 0, \"text\": \" oak\"}\n{\"request\": \"r\", \"index\": 1, \"finish\": {\"reason\": \"stop\"}}\n")
	f.Add(`{"request": "r", "index": -1}`)
	f.Add(`{"request": "r", "index": 1e99}`)
	f.Add(`{"finish": null}[]`)
	f.Add("")
	f.Fuzz(func(t *testing.T, body string) {
		s := newStream(io.NopCloser(strings.NewReader(body)), func() {})
		for range len(body) + 1 {
			if _, err := s.Next(t.Context()); err != nil {
				if peer.OutcomeOf(err) != peer.OutcomeUnknown {
					t.Errorf("failure of a malformed stream has outcome %s, want unknown", peer.OutcomeOf(err))
				}
				return
			}
		}
		t.Error("stream still returns pieces after as many reads as it has bytes")
	})
}

func TestLongStreamIsRead(t *testing.T) {
	is := is.New(t)
	const pieces = 10_000
	body := strings.Repeat("{\"request\": \"r\", \"text\": \" oak\"}\n", pieces)
	s := newStream(io.NopCloser(strings.NewReader(body)), func() {})
	for range pieces {
		_, err := s.Next(t.Context())
		is.NoErr(err)
	}
}
