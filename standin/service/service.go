// Package service is a small stand-in for a plain service beside the engines:
// a ledger that books each call it gets.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
)

// Booking is one call as it arrived.
type Booking struct {
	Number  int
	Request string
	Method  string
	Path    string
	Header  http.Header
	Body    string
}

// Service books each call and answers with its number.
type Service struct {
	mu       sync.Mutex
	bookings []Booking
}

// New returns a service without bookings.
func New() *Service {
	return &Service{}
}

// Bookings returns the calls so far.
func (s *Service) Bookings() []Booking {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Booking(nil), s.bookings...)
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	booking := Booking{
		Number:  len(s.bookings) + 1,
		Request: r.Header.Get("X-Request-Id"),
		Method:  r.Method,
		Path:    r.URL.RequestURI(),
		Header:  r.Header.Clone(),
		Body:    string(body),
	}
	s.bookings = append(s.bookings, booking)
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"booking": booking.Number, "method": booking.Method, "path": booking.Path})
}
