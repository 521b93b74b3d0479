// Package copies is a stand-in for servers that write their first answer to a request
// again when the request returns on the same connection.
package copies

import (
	"io"
	"maps"
	"net/http"
	"sync"
)

const headerRequestID = "Request-Id"

// Refusal is an answer which states that the request was not run.
type Refusal struct {
	Status int
	Header http.Header
	Body   string
}

// Handler refuses each request that it sees for the first time, and runs those that
// return. The answer to one that returns on the connection of its refusal is a copy of
// that.
type Handler struct {
	refusal Refusal
	success http.Header

	mu        sync.Mutex
	refusedOn map[string]map[string]bool // connections by request ID
	runs      map[string]int             // by request ID
}

// NewHandler returns a handler that refuses with a refusal, and gives its other answers a
// header.
func NewHandler(refusal Refusal, success http.Header) *Handler {
	return &Handler{refusal: refusal, success: success, refusedOn: map[string]map[string]bool{}, runs: map[string]int{}}
}

// Runs returns how often a request has run.
func (h *Handler) Runs(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runs[id]
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	if !h.refuses(id, r.RemoteAddr) {
		maps.Copy(w.Header(), h.success)
		_, _ = io.WriteString(w, "answer")
		return
	}
	maps.Copy(w.Header(), h.refusal.Header)
	w.WriteHeader(h.refusal.Status)
	_, _ = io.WriteString(w, h.refusal.Body)
}

// refuses reports whether a request that arrives on a connection is answered with the
// refusal. It counts those that run.
func (h *Handler) refuses(id, connection string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	refusedOn, returns := h.refusedOn[id]
	if !returns {
		h.refusedOn[id] = map[string]bool{connection: true}
		return true
	}
	h.runs[id]++
	return refusedOn[connection]
}
