package relay

import (
	"bytes"
)

// eventSplitter cuts a stream of events (text/event-stream) at their ends.
type eventSplitter struct {
	pending []byte
	lastID  string
	count   int
}

var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
	idField      = []byte("id:")
)

// add takes in bytes and returns the events that are whole by now. The slice
// is valid until the next call.
func (s *eventSplitter) add(piece []byte) []byte {
	s.pending = append(s.pending, piece...)
	end := lastEventEnd(s.pending)
	if end == 0 {
		return nil
	}
	whole := append([]byte(nil), s.pending[:end]...)
	s.pending = append(s.pending[:0], s.pending[end:]...)
	s.scan(whole)
	return whole
}

// scan reads the identity of the last event and counts them.
func (s *eventSplitter) scan(events []byte) {
	fields := false
	for line := range bytes.Lines(events) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if fields {
				s.count++
			}
			fields = false
			continue
		}
		fields = true
		if id, ok := bytes.CutPrefix(line, idField); ok {
			s.lastID = string(bytes.TrimSpace(id))
		}
	}
}

// partial reports whether an event has begun and not ended.
func (s *eventSplitter) partial() bool {
	return len(bytes.TrimSpace(s.pending)) > 0
}

// lastEventEnd returns where the last whole event ends, 0 if there is none.
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
