// Package service is a small stand-in for a plain service. It records each call
// that it receives.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
)

// Call is a recorded call.
type Call struct {
	Number  int
	Request string
	Method  string
	Path    string
	Header  http.Header
	Body    string
}

// Service records each call and answers with its number.
type Service struct {
	mu    sync.Mutex
	calls []Call
}

// New returns a service without recorded calls.
func New() *Service {
	return &Service{}
}

// Calls returns the recorded calls in order of arrival.
func (s *Service) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call(nil), s.calls...)
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	call := Call{
		Number:  len(s.calls) + 1,
		Request: r.Header.Get("X-Request-Id"),
		Method:  r.Method,
		Path:    r.URL.RequestURI(),
		Header:  r.Header.Clone(),
		Body:    string(body),
	}
	s.calls = append(s.calls, call)
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"booking": call.Number, "method": call.Method, "path": call.Path})
}
