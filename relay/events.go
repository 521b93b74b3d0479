package relay

import (
	"bytes"
	"strconv"
	"strings"

	"quincewinch/peer"
)

// streamKind is what runs of one stream have in common. Another kind of answer, though
// a success, is an error or holds no events.
type streamKind struct {
	status    int
	mediaType string
}

func kindOf(answer peer.UpstreamResponse) streamKind {
	mediaType, _, _ := strings.Cut(answer.Header.Get("Content-Type"), ";")
	return streamKind{status: answer.Status, mediaType: strings.ToLower(strings.TrimSpace(mediaType))}
}

// String returns the kind for logs.
func (k streamKind) String() string {
	return "status " + statusText(k.status) + ", media type " + strconv.Quote(k.mediaType)
}

// maxEventBytes bounds one event, which is held until it is complete.
const maxEventBytes = 64 << 10

// eventSplitter splits a stream of server-sent events (text/event-stream) at
// event boundaries.
type eventSplitter struct {
	pending   []byte // the start of an incomplete event
	lastID    string // of the last complete event that has one
	count     int    // complete events; comments alone are none
	malformed bool   // something was added that is no event
}

var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
	idField      = []byte("id:")
)

// reset forgets what does not belong to a complete event, at the start of another
// answer.
func (s *eventSplitter) reset() {
	s.pending = s.pending[:0]
	s.malformed = false
}

// add appends bytes and returns the events that are complete with them, up to
// the first that is malformed.
func (s *eventSplitter) add(chunk []byte) []byte {
	// An event that ends in the chunk may have begun to end just before it.
	from := max(0, len(s.pending)-len(eventEndCRLF)+1)
	s.pending = append(s.pending, chunk...)
	end := lastEventEnd(s.pending[from:])
	if end == 0 {
		return nil
	}
	end += from
	complete := append([]byte(nil), s.pending[:end]...)
	s.pending = append(s.pending[:0], s.pending[end:]...)
	return s.scan(complete)
}

// scan counts complete events and keeps the last event ID. It returns the events
// before the first that is malformed.
func (s *eventSplitter) scan(events []byte) []byte {
	fields := false
	id := s.lastID
	read, scanned := 0, 0
	for line := range bytes.Lines(events) {
		read += len(line)
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if fields {
				s.count++
			}
			fields = false
			s.lastID = id
			scanned = read
			continue
		}
		if !isField(line) {
			s.malformed = true
			return events[:scanned]
		}
		fields = fields || line[0] != ':'
		if text, ok := bytes.CutPrefix(line, idField); ok {
			id = string(bytes.TrimSpace(text))
		}
	}
	return events
}

// isField reports whether a line of an event is a field or a comment: a name,
// which a comment lacks, and a colon before the value if there is one.
func isField(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// partial reports whether an incomplete event is pending.
func (s *eventSplitter) partial() bool {
	return len(bytes.TrimSpace(s.pending)) > 0
}

// tooLarge reports whether the pending event is larger than any answer's.
func (s *eventSplitter) tooLarge() bool {
	return len(s.pending) > maxEventBytes
}

// lastEventEnd returns the offset of the end of the last complete event, or 0
// if there is none.
func lastEventEnd(data []byte) int {
	end := 0
	if i := bytes.LastIndex(data, eventEnd); i >= 0 {
		end = i + len(eventEnd)
	}
	if i := bytes.LastIndex(data, eventEndCRLF); i >= 0 {
		end = max(end, i+len(eventEndCRLF))
	}
	return end
}
