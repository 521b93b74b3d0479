// Package caller implements the HTTP server for callers: the OpenAI-compatible
// protocol, and plain HTTP for the services under /services/.
package caller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/request"
)

const (
	// IdempotencyHeader carries the key by which a repeated request is
	// recognised, so that it runs at most once.
	IdempotencyHeader = "Idempotency-Key"
	// RequestIDHeader returns the request ID to the caller.
	RequestIDHeader = "X-Request-Id"
	bearerPrefix    = "Bearer "
	ownedBy         = "quincewinch"
)

// Settings holds the limits on callers' requests.
type Settings struct {
	MaxBodyBytes int
	Timeout      time.Duration // of a whole request
}

// Handler is the HTTP handler for callers.
type Handler struct {
	chain         request.Handler
	configuration peer.Configuration
	clock         peer.Clock
	newID         func() models.RequestID
	settings      Settings
	mux           *http.ServeMux
}

// NewHandler returns a handler that passes requests to a chain of filters.
func NewHandler(chain request.Handler, configuration peer.Configuration, clock peer.Clock, newID func() models.RequestID, settings Settings) *Handler {
	h := &Handler{
		chain:         chain,
		configuration: configuration,
		clock:         clock,
		newID:         newID,
		settings:      settings,
		mux:           http.NewServeMux(),
	}
	h.mux.HandleFunc("POST /v1/chat/completions", h.generate(decodeChat))
	h.mux.HandleFunc("POST /v1/completions", h.generate(decodeCompletion))
	h.mux.HandleFunc("GET /v1/models", h.listModels)
	h.mux.HandleFunc("/services/{name}/{path...}", h.callService)
	h.mux.HandleFunc("/services/{name}", h.callService)
	h.mux.HandleFunc("/", h.unknownPath)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) generate(decode func([]byte) (tokenRequest, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e, ok := h.newExchange(w, r)
		if !ok {
			return
		}
		body, ok := h.readBody(w, r)
		if !ok {
			return
		}
		d, err := decode(body)
		if err != nil {
			refuse(w, &models.Refusal{Code: models.RefusalMalformed, Message: err.Error(), NotRun: true})
			return
		}
		e.RouteName = string(d.generation.Model)
		e.Generation = &d.generation
		h.run(w, r, e, body, d)
	}
}

func (h *Handler) callService(w http.ResponseWriter, r *http.Request) {
	e, ok := h.newExchange(w, r)
	if !ok {
		return
	}
	body, ok := h.readBody(w, r)
	if !ok {
		return
	}
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	e.RouteName = r.PathValue("name")
	e.Call = &models.ServiceCall{
		ID:       e.ID,
		Service:  models.ServiceName(e.RouteName),
		Method:   r.Method,
		Path:     path,
		Header:   forwardedHeaders(r.Header),
		Body:     body,
		Deadline: e.Deadline,
	}
	h.run(w, r, e, body, tokenRequest{})
}

// newExchange creates the Exchange of a request. It refuses the request and
// returns false if the key is repeated outside the Authorization header.
func (h *Handler) newExchange(w http.ResponseWriter, r *http.Request) (*request.Exchange, bool) {
	// Clear the write deadline left by the previous request on the connection.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	now := h.clock.Now()
	e := &request.Exchange{
		ID:             h.newID(),
		Received:       now,
		Deadline:       now.Add(h.settings.Timeout),
		IdempotencyKey: r.Header.Get(IdempotencyHeader),
	}
	e.Key, _ = strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	w.Header().Set(RequestIDHeader, string(e.ID))
	if carriesKey(r, e.Key) {
		refuse(w, &models.Refusal{Code: models.RefusalMalformed, Message: "the request repeats its key outside the Authorization header", NotRun: true})
		return nil, false
	}
	return e, true
}

func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(h.settings.MaxBodyBytes)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		refuse(w, &models.Refusal{Code: models.RefusalTooLarge, Message: "the body is too large", NotRun: true})
		return nil, false
	case err != nil:
		refuse(w, &models.Refusal{Code: models.RefusalMalformed, Message: "the body broke off", NotRun: true})
		return nil, false
	}
	return body, true
}

func (h *Handler) run(w http.ResponseWriter, r *http.Request, e *request.Exchange, body []byte, d tokenRequest) {
	if e.Key != "" && bytes.Contains(body, []byte(e.Key)) {
		refuse(w, &models.Refusal{Code: models.RefusalMalformed, Message: "the body repeats the key", NotRun: true})
		return
	}
	e.BodyHash = sha256.Sum256(body)
	s := &sink{w: w, clock: h.clock, id: e.ID, created: e.Received.Unix(), request: d, idempotent: e.IdempotencyKey != ""}
	e.Sink = s
	ctx, cancel := context.WithDeadline(r.Context(), e.Deadline)
	defer cancel()
	err := h.chain.Handle(ctx, e)
	if err == nil {
		return
	}
	s.fail(refusalOf(err))
}

func refusalOf(err error) *models.Refusal {
	var refusal *models.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &models.Refusal{Code: models.RefusalInternal, Message: "an internal error"}
}

func (h *Handler) listModels(w http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []modelItem{}}
	for name, route := range h.configuration.Config().Routes {
		if route.Kind == models.RouteModel {
			list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: ownedBy})
		}
	}
	slices.SortFunc(list.Data, func(a, b modelItem) int { return strings.Compare(a.ID, b.ID) })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

func (h *Handler) unknownPath(w http.ResponseWriter, r *http.Request) {
	refuse(w, &models.Refusal{Code: models.RefusalUnknownRoute, Message: "no such path: " + r.Method + " " + r.URL.Path, NotRun: true})
}
