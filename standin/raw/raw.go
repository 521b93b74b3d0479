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
