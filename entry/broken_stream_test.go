package entry_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"quincewinch/standin/raw"
)

// Guards against an error of the next engine inside of a stream that another has begun,
// and against a stream that so looks complete.
func TestErrorAfterABrokenStreamIsNotPartOfIt(t *testing.T) {
	const (
		begun = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: r1\r\nUpstream-Signature: s1\r\n\r\n"
		first = "id: 1\ndata: a\n\n"
		named = "Request-Id: r1\r\nUpstream-Signature: s2\r\n"
		text  = "Content-Type: text/plain\r\n"
		event = "Content-Type: text/event-stream\r\n"
		ok    = "HTTP/1.1 200 OK\r\n" + named
		fail  = "HTTP/1.1 500 Internal Server Error\r\n" + named
	)
	tests := []struct {
		name, next string
	}{
		{"error", fail + text + "Content-Length: 5\r\n\r\noops\n"},
		{"error without a length", fail + text + "\r\noops\n"},
		{"error as an event", fail + event + "\r\nid: 2\ndata: oops\n\n"},
		{"rejection", "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n" + named + event + "\r\nid: 2\ndata: full\n\n"},
		{"not found", "HTTP/1.1 404 Not Found\r\n" + named + "Content-Length: 0\r\n\r\n"},
		{"redirect", "HTTP/1.1 302 Found\r\n" + named + "Location: /\r\nContent-Length: 0\r\n\r\n"},
		{"no content", "HTTP/1.1 204 No Content\r\n" + named + "\r\n"},
		{"accepted for later", "HTTP/1.1 202 Accepted\r\n" + named + event + "\r\nid: 2\ndata: later\n\n"},
		{"empty success of no stream", ok + "Content-Length: 0\r\n\r\n"},
		{"error text as a success", ok + text + "\r\nerror: out of memory\n\n"},
		{"error in JSON as a success", ok + "Content-Type: application/json\r\n\r\n{\"error\": \"out of memory\"}\n\n"},
		{"error text in a stream", ok + event + "\r\nInternal Server Error\n\n"},
		{"head of an error in a stream", ok + event + "\r\nHTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\noops\n"},
		{"success without a signature", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n" + event + "\r\nid: 2\ndata: b\n\n"},
		{"nothing", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := prepare(t)
			handler := raw.NewHandler(raw.Answer{Bytes: begun + first + "id: 2\nda", Reset: true}, raw.Answer{Bytes: test.next}, raw.Answer{Bytes: test.next})
			d.register("i-trouble-1", "trouble", "", handler)
			d.register("i-trouble-2", "trouble", "", handler)
			d.startDaemon("vm-1", d.callerAddress)
			caller := d.dial()
			answer := caller.exchange(is, "/trouble-resumed/x", "r1")
			is.Equal(answer, callerAnswer{status: http.StatusOK, signature: "s1", framed: true, body: first, broken: true})
			_, err := caller.reader.ReadByte()
			is.Equal(err, io.EOF) // nothing follows
		})
	}
}
