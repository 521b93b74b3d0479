package entry_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"quincewinch/standin/raw"
)

// troublePaths are the paths of one route of each kind.
var troublePaths = []struct {
	name, path string
	again      bool // a second engine may answer
}{
	{"once", "/trouble/x", false},
	{"repeatable", "/trouble-again/x", true},
	{"stream", "/trouble-stream/x", false},
	{"resumable", "/trouble-resumed/x", true},
}

const (
	eventOfOther  = "id: 1\ndata: a\n\n"
	answerOfOther = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: r1\r\nUpstream-Signature: s2\r\n\r\n" + eventOfOther
)

// expectNoAnswer checks on each kind of route that a caller gets the answer of the next
// engine or an error after one that is none.
func expectNoAnswer(t *testing.T, first raw.Answer) {
	t.Helper()
	for _, route := range troublePaths {
		t.Run(route.name, func(t *testing.T) {
			is := is.New(t)
			d := prepare(t)
			handler := raw.NewHandler(first, raw.Answer{Bytes: answerOfOther})
			d.register("i-trouble-1", "trouble", "", handler)
			d.register("i-trouble-2", "trouble", "", handler)
			d.startDaemon("vm-1", d.callerAddress)
			caller := d.dial()
			answer := caller.exchange(is, route.path, "r1")
			if route.again {
				is.Equal(answer, callerAnswer{status: http.StatusOK, signature: "s2", framed: true, body: eventOfOther})
				is.Equal(len(handler.Requests()), 2)
			} else {
				answer.body = "" // says why
				is.Equal(answer, callerAnswer{status: http.StatusBadGateway, framed: true})
				is.Equal(len(handler.Requests()), 1)
			}
			is.Equal(caller.exchange(is, "/reserve/x", "r2").body, "answer of i-plain to r2") // the connection is kept
		})
	}
}

// Guards against an engine that stops within its head and a caller who gets a success.
func TestCutHeadIsNoAnswer(t *testing.T) {
	const (
		named = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nUpstream-Signature: s1\r\n"
		early = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	)
	tests := []struct {
		name string
		cut  raw.Answer
	}{
		{"after the status", raw.Answer{Bytes: "HTTP/1.1 200 OK\r\n"}},
		{"before the length", raw.Answer{Bytes: named}},
		{"before the length, reset", raw.Answer{Bytes: named, Reset: true}},
		{"within the length", raw.Answer{Bytes: named + "Content-Length: 1"}},
		{"after the length", raw.Answer{Bytes: named + "Content-Length: 0\r\n"}},
		{"within the word for chunks", raw.Answer{Bytes: named + "Transfer-Encoding: chu"}},
		{"before the last line feed", raw.Answer{Bytes: named + "\r"}},
		{"after an early head", raw.Answer{Bytes: early}},
		{"after an early head, within the next", raw.Answer{Bytes: early + named}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { expectNoAnswer(t, test.cut) })
	}
}

// Guards against a success that no engine vouches for, as when its head ended too early.
func TestSuccessWithoutSignatureIsNoAnswer(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
	tests := []struct {
		name, answer string
	}{
		{"length", ok + "Content-Length: 15\r\n\r\n" + eventOfOther},
		{"chunks", ok + "Transfer-Encoding: chunked\r\n\r\nf\r\n" + eventOfOther + "\r\n0\r\n\r\n"},
		{"neither", ok + "\r\n" + eventOfOther},
		{"neither, no body", ok + "\r\n"},
		{"status only", "HTTP/1.1 200 OK\r\n\r\n"},
		{"empty signature", ok + "Upstream-Signature: \r\n\r\n" + eventOfOther},
		{"no content", "HTTP/1.1 204 No Content\r\nRequest-Id: r1\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { expectNoAnswer(t, raw.Answer{Bytes: test.answer}) })
	}
}

// Guards against a status that is none of an answer and reaches the caller.
func TestStatusOfNoAnswerIsNotPassedOn(t *testing.T) {
	const named = "Request-Id: r1\r\nUpstream-Signature: s1\r\n"
	for _, status := range []string{"000", "099", "101"} {
		t.Run(status, func(t *testing.T) {
			expectNoAnswer(t, raw.Answer{Bytes: "HTTP/1.1 " + status + " x\r\n" + named + "\r\n" + eventOfOther})
		})
	}
}
