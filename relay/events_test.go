package relay

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestEventSplitterChunks(t *testing.T) {
	const stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\nversion: 3\nid: 4\ndata: c\n\n"
	for size := 1; size <= len(stream); size++ {
		is := is.New(t)
		var s eventSplitter
		var passed strings.Builder
		for at := 0; at < len(stream); at += size {
			passed.Write(s.add([]byte(stream[at:min(at+size, len(stream))])))
		}
		is.Equal(passed.String(), stream) // unchanged for every chunk size
		is.Equal(s.lastID, "4")
		is.Equal(s.count, 3) // the comment is no event
		is.True(!s.partial())
	}
}

func TestEventSplitterSplitEnd(t *testing.T) {
	for _, end := range []string{"\n\n", "\r\n\r\n"} {
		is := is.New(t)
		var s eventSplitter
		for i := range end[:len(end)-1] {
			is.Equal(len(s.add([]byte(end[i:i+1]))), 0)
		}
		is.Equal(string(s.add([]byte("\n"))), end) // whole with its last byte
	}
}

func FuzzEventSplitter(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2", 3)
	f.Add("\n\n\r\n\r\n", 1)
	f.Add("id: 1\n\nno event\n\nid: 2\n\n", 4)
	f.Fuzz(func(t *testing.T, stream string, size int) {
		if size <= 0 {
			return
		}
		var s eventSplitter
		var passed strings.Builder
		for at := 0; at < len(stream) && !s.malformed; at += size {
			passed.Write(s.add([]byte(stream[at:min(at+size, len(stream))])))
		}
		if s.malformed {
			var whole eventSplitter
			if events := string(whole.add([]byte(stream))); !whole.malformed || events != passed.String() {
				t.Errorf("malformed in chunks of %d after %q, at once after %q", size, passed.String(), events)
			}
			return
		}
		if passed.String()+string(s.pending) != stream {
			t.Errorf("events and remainder do not add up to the stream %q: got %q and %q", stream, passed.String(), s.pending)
		}
	})
}
