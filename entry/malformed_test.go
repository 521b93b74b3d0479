package entry_test

import (
	"testing"

	"quincewinch/standin/raw"
)

// Guards against answers of an engine in trouble that a caller gets, in part or whole.
func TestMalformedAnswerIsNoAnswer(t *testing.T) {
	const named = "Request-Id: r1\r\nUpstream-Signature: s1\r\n"
	answers := raw.Malformed(named)
	answers["two request IDs"] = raw.Answer{Bytes: "HTTP/1.1 200 OK\r\n" + named + "Request-Id: r2\r\nContent-Length: 6\r\n\r\nanswer"}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) { expectNoAnswer(t, answer) })
	}
}
