// Package raw is a stand-in for servers that answer with given bytes and then
// close or reset the connection.
package raw

import (
	"io"
	"net"
	"net/http"
	"sync"
)

// Answer is the answer to one request. The connection ends with it.
type Answer struct {
	Bytes string
	Reset bool // the connection is reset, otherwise closed
}

// Cuts returns an answer cut short at each byte, closed and reset.
func Cuts(whole string) []Answer {
	var cuts []Answer
	for end := range len(whole) {
		cuts = append(cuts, Answer{Bytes: whole[:end]}, Answer{Bytes: whole[:end], Reset: true})
	}
	return cuts
}

// Malformed returns answers that are none in HTTP and that net/http's client does not
// all refuse: with the fields of a header, each a line with its end, and the body "answer".
func Malformed(fields string) map[string]Answer {
	answer := func(status, field string) Answer {
		return Answer{Bytes: "HTTP/1.1 " + status + "\r\n" + fields + field + "\r\nanswer"}
	}
	const length = "Content-Length: 6\r\n"
	answers := map[string]Answer{
		"status 000":                     answer("000 OK", length),
		"status 099":                     answer("099 OK", length),
		"status +99":                     answer("+99 OK", length),
		"status 600":                     answer("600 OK", length),
		"status 999":                     answer("999 OK", length),
		"blank before the colon":         answer("200 OK", "Content-Length : 2\r\n"),
		"blank before another colon":     answer("200 OK", length+"X-Other : 1\r\n"),
		"blank in a name":                answer("200 OK", length+"X Y: 1\r\n"),
		"tab in a name":                  answer("200 OK", length+"X\tY: 1\r\n"),
		"control byte in a name":         answer("200 OK", length+"X\x01Y: 1\r\n"),
		"NUL in a name":                  answer("200 OK", length+"X\x00Y: 1\r\n"),
		"delete in a name":               answer("200 OK", length+"X\x7fY: 1\r\n"),
		"no name":                        answer("200 OK", length+": 1\r\n"),
		"blank before the framing colon": {Bytes: "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding : chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n"},
	}
	return answers
}

// Handler gives each request the next of its answers. It may serve at several
// addresses. A request for which none is left gets a closed connection.
type Handler struct {
	mu       sync.Mutex
	answers  []Answer
	requests []*http.Request
}

// NewHandler returns a handler that gives the answers in order.
func NewHandler(answers ...Answer) *Handler {
	return &Handler{answers: answers}
}

// Requests returns the requests received so far. Their bodies have been read.
func (h *Handler) Requests() []*http.Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*http.Request(nil), h.requests...)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Bytes that are left unread would turn a close into a reset.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	answer := h.next(r)
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer connection.Close()
	_, err = io.WriteString(connection, answer.Bytes)
	if tcp, ok := connection.(*net.TCPConn); ok && err == nil && answer.Reset {
		err = tcp.SetLinger(0)
	}
	if err != nil {
		panic(err)
	}
}

// next records a request and returns its answer.
func (h *Handler) next(r *http.Request) Answer {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, r)
	if len(h.answers) == 0 {
		return Answer{}
	}
	answer := h.answers[0]
	h.answers = h.answers[1:]
	return answer
}
