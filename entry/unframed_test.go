package entry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"quincewinch/standin/raw"
)

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

func (d *deployment) dial() *callerConn {
	d.t.Helper()
	connection, err := net.Dial("tcp", d.callerAddress)
	d.is.NoErr(err)
	d.t.Cleanup(func() { _ = connection.Close() })
	return &callerConn{Conn: connection, reader: bufio.NewReader(connection)}
}

// callerAnswer is an answer as a caller received it.
type callerAnswer struct {
	status    int
	signature string
	framed    bool // it states a length or comes in chunks
	body      string
	broken    bool // it ended early, as the caller sees
}

// exchange sends a request and reads its answer.
func (c *callerConn) exchange(is *is.I, path, id string) callerAnswer {
	is.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://h.example"+path, strings.NewReader("body"))
	is.NoErr(err)
	request.Header.Set("Request-Id", id)
	request.Header.Set("X-Api-Key", "key-1")
	request.Header.Set("Deadline-Ms", "60000")
	is.NoErr(request.Write(c))
	answer, err := http.ReadResponse(c.reader, request)
	is.NoErr(err)
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return callerAnswer{
		status:    answer.StatusCode,
		signature: answer.Header.Get("Upstream-Signature"),
		framed:    answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0,
		body:      string(body),
		broken:    err != nil,
	}
}

// Guards against an answer with neither length nor chunks that was broken off
// and looks complete to the caller, and against one that is whole and does not.
func TestUnframedAnswers(t *testing.T) {
	const (
		header      = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nUpstream-Signature: s1\r\n\r\n"
		otherHeader = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nUpstream-Signature: s2\r\n\r\n"
		first       = "id: 1\ndata: a\n\n"
		second      = "id: 2\ndata: b\n\n"
		comment     = ": started\n\n"
		once        = "/trouble/x"
		again       = "/trouble-again/x"
		stream      = "/trouble-stream/x"
		resumed     = "/trouble-resumed/x"
	)
	served := func(signature, body string) callerAnswer {
		return callerAnswer{status: http.StatusOK, signature: signature, framed: true, body: body}
	}
	brokenOff := func(body string) callerAnswer {
		return callerAnswer{status: http.StatusOK, signature: "s1", framed: true, body: body, broken: true}
	}
	refused := callerAnswer{status: http.StatusBadGateway, framed: true}
	tests := []struct {
		name   string
		path   string
		body   string // after the header, as the first server sends it
		reset  bool
		other  string // the body as the second server sends it
		answer callerAnswer
		after  []string // Last-Event-Id of the requests at the servers
	}{
		{"whole", once, "answer", false, "other", served("s1", "answer"), []string{""}},
		{"whole, repeatable", again, "answer", false, "other", served("s1", "answer"), []string{""}},
		{"closed after the header", once, "", false, "other", refused, []string{""}},
		{"closed after the header, repeatable", again, "", false, "other", served("s2", "other"), []string{"", ""}},
		{"reset midway", once, "ans", true, "other", refused, []string{""}},
		{"reset midway, repeatable", again, "ans", true, "other", served("s2", "other"), []string{"", ""}},
		{"reset after the header", once, "", true, "other", refused, []string{""}},
		{"reset after the header, repeatable", again, "", true, "other", served("s2", "other"), []string{"", ""}},
		{"stream whole", stream, first + second, false, first, served("s1", first+second), []string{""}},
		{"stream whole, resumable", resumed, first + second, false, first, served("s1", first+second), []string{""}},
		{"stream closed inside an event", stream, first + "id: 2\nda", false, second, brokenOff(first), []string{""}},
		{"stream closed inside an event, resumable", resumed, first + "id: 2\nda", false, second, served("s1", first+second), []string{"", "1"}},
		{"stream closed before the blank line of an event", stream, first + "id: 2\ndata: b\n", false, second, brokenOff(first), []string{""}},
		{"stream closed before the blank line of an event, resumable", resumed, first + "id: 2\ndata: b\n", false, second, served("s1", first+second), []string{"", "1"}},
		{"stream closed inside its first event", stream, "id: 1\nda", false, first, refused, []string{""}},
		{"stream closed inside its first event, resumable", resumed, "id: 1\nda", false, first, served("s2", first), []string{"", ""}},
		{"stream reset between events", stream, first, true, second, brokenOff(first), []string{""}},
		{"stream reset between events, resumable", resumed, first, true, second, served("s1", first+second), []string{"", "1"}},
		{"stream reset inside an event", stream, first + "id: 2\nda", true, second, brokenOff(first), []string{""}},
		{"stream reset inside an event, resumable", resumed, first + "id: 2\nda", true, second, served("s1", first+second), []string{"", "1"}},
		{"stream reset after the header", stream, "", true, first, refused, []string{""}},
		{"stream reset after the header, resumable", resumed, "", true, first, served("s2", first), []string{"", ""}},
		{"stream closed after the header", stream, "", false, first, refused, []string{""}},
		{"stream closed after the header, resumable", resumed, "", false, first, served("s2", first), []string{"", ""}},
		{"stream closed after a comment", stream, comment, false, first, brokenOff(comment), []string{""}},
		{"stream closed after a comment, resumable", resumed, comment, false, first, served("s1", comment+first), []string{"", ""}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := prepare(t)
			handler := raw.NewHandler(raw.Answer{Bytes: header + test.body, Reset: test.reset}, raw.Answer{Bytes: otherHeader + test.other})
			d.register("i-trouble-1", "trouble", "", handler)
			d.register("i-trouble-2", "trouble", "", handler)
			d.startDaemon("vm-1", d.callerAddress)
			caller := d.dial()
			answer := caller.exchange(is, test.path, "r1")
			if answer.status != http.StatusOK {
				answer.body = "" // says why
			}
			is.Equal(answer, test.answer)
			var after []string
			for _, request := range handler.Requests() {
				after = append(after, request.Header.Get("Last-Event-Id"))
			}
			is.Equal(after, test.after)
			if answer.broken {
				_, err := caller.reader.ReadByte()
				is.Equal(err, io.EOF) // the connection has ended
				return
			}
			is.Equal(caller.exchange(is, "/reserve/x", "r2").body, "answer of i-plain to r2") // the connection is kept
		})
	}
}
