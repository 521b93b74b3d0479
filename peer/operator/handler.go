// Package operator implements the HTTP/JSON API for operators, who edit rows of
// the table and create or withdraw keys, and its client.
package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"quincewinch/models"
	"quincewinch/peer"
)

const (
	bearerPrefix        = "Bearer "
	maxRequestBodyBytes = 64 << 10
)

// Handler serves the operator API.
type Handler struct {
	editor   peer.Editor
	overview peer.Overview
	key      [sha256.Size]byte
	mux      *http.ServeMux
}

// NewHandler returns a handler that requires the operators' key as a bearer
// token.
func NewHandler(editor peer.Editor, overview peer.Overview, key string) *Handler {
	h := &Handler{editor: editor, overview: overview, key: sha256.Sum256([]byte(key)), mux: http.NewServeMux()}
	h.mux.HandleFunc("GET /table", h.rows)
	h.mux.HandleFunc("GET /table/{kind}", h.rows)
	h.mux.HandleFunc("PUT /table/{kind}/{name}", h.put)
	h.mux.HandleFunc("DELETE /table/{kind}/{name}", h.delete)
	h.mux.HandleFunc("POST /keys", h.giveKey)
	h.mux.HandleFunc("DELETE /keys/{id}", h.withdrawKey)
	h.mux.HandleFunc("GET /timeline", h.timeline)
	h.mux.HandleFunc("GET /fleet", h.fleet)
	h.mux.HandleFunc("GET /fleet/{engine}", h.explain)
	h.mux.HandleFunc("GET /usage", h.usage)
	h.mux.HandleFunc("GET /usage/{workspace}", h.usage)
	h.mux.HandleFunc("/", h.notFound)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	hash := sha256.Sum256([]byte(key))
	if subtle.ConstantTimeCompare(hash[:], h.key[:]) != 1 {
		writeJSON(w, http.StatusUnauthorized, errorJSON{Error: "the operators' key is not valid"})
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxRequestBodyBytes)
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) rows(w http.ResponseWriter, r *http.Request) {
	rows, err := h.editor.Rows(r.Context(), r.PathValue("kind"))
	writeList(w, rows, err, toRowJSON)
}

func (h *Handler) put(w http.ResponseWriter, r *http.Request) {
	version, ok := ifMatchVersion(w, r)
	if !ok {
		return
	}
	cells, err := io.ReadAll(r.Body)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorJSON{Error: "the body is too large or broke off"})
		return
	}
	row, err := h.editor.Put(r.Context(), r.PathValue("kind"), r.PathValue("name"), version, cells)
	if err != nil {
		writeError(w, err, &row)
		return
	}
	writeJSON(w, http.StatusOK, toRowJSON(row))
}

func (h *Handler) delete(w http.ResponseWriter, r *http.Request) {
	version, ok := ifMatchVersion(w, r)
	if !ok {
		return
	}
	row, err := h.editor.Delete(r.Context(), r.PathValue("kind"), r.PathValue("name"), version)
	if err != nil {
		writeError(w, err, &row)
		return
	}
	writeJSON(w, http.StatusOK, toRowJSON(row))
}

func (h *Handler) giveKey(w http.ResponseWriter, r *http.Request) {
	var request giveKeyRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.Workspace == "" {
		writeJSON(w, http.StatusBadRequest, errorJSON{Error: "workspace: must be given"})
		return
	}
	id, secret, err := h.editor.IssueKey(r.Context(), models.Workspace(request.Workspace))
	if err != nil {
		writeError(w, err, nil)
		return
	}
	writeJSON(w, http.StatusCreated, keyJSON{ID: string(id), Key: secret, Workspace: request.Workspace})
}

func (h *Handler) withdrawKey(w http.ResponseWriter, r *http.Request) {
	withdrawal, err := h.editor.WithdrawKey(r.Context(), models.KeyID(r.PathValue("id")))
	if err != nil {
		writeError(w, err, nil)
		return
	}
	writeJSON(w, http.StatusOK, toWithdrawalJSON(withdrawal))
}

func (h *Handler) timeline(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	events, err := h.overview.Events(r.Context(), models.EventFilter{
		Request:   models.RequestID(query.Get("request")),
		Engine:    models.EngineID(query.Get("engine")),
		Workspace: models.Workspace(query.Get("workspace")),
		Lease:     models.LeaseName(query.Get("lease")),
		Kind:      models.EventKind(query.Get("kind")),
		Limit:     limit,
	})
	writeList(w, events, err, toEventJSON)
}

func (h *Handler) fleet(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, toEngineList(h.overview.States()))
}

func (h *Handler) explain(w http.ResponseWriter, r *http.Request) {
	engine := models.EngineID(r.PathValue("engine"))
	convert := func(sentence string) sentenceJSON { return sentenceJSON{Sentence: sentence} }
	writeList(w, h.overview.Explain(r.Context(), engine), nil, convert)
}

func (h *Handler) usage(w http.ResponseWriter, r *http.Request) {
	windows, err := h.overview.Usage(r.Context(), models.Workspace(r.PathValue("workspace")))
	writeList(w, windows, err, toWindowJSON)
}

func (h *Handler) notFound(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusNotFound, errorJSON{Error: "no such path: " + r.Method + " " + r.URL.Path})
}

// ifMatchVersion returns the row version in the If-Match header, 0 if there is
// none. For a malformed header it answers the request and returns false.
func ifMatchVersion(w http.ResponseWriter, r *http.Request) (models.Revision, bool) {
	raw := strings.Trim(r.Header.Get("If-Match"), `"`)
	if raw == "" {
		return 0, true
	}
	n, err := strconv.ParseUint(raw, 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorJSON{Error: "If-Match: must be the row's version"})
		return 0, false
	}
	return models.Revision(n), true
}

// writeError answers with an error. For a conflict it includes the current row
// where that is known.
func writeError(w http.ResponseWriter, err error, current *peer.TableRow) {
	var failure *peer.Failure
	if !errors.As(err, &failure) {
		writeJSON(w, http.StatusBadRequest, errorJSON{Error: err.Error()})
		return
	}
	body := errorJSON{Error: failure.Error()}
	if failure.Outcome == peer.OutcomeConflict && current != nil {
		row := toRowJSON(*current)
		body.CurrentRow = &row
	}
	writeJSON(w, httpStatus(failure.Outcome), body)
}

func httpStatus(outcome peer.Outcome) int {
	switch outcome {
	case peer.OutcomeConflict:
		return http.StatusConflict
	case peer.OutcomeMissing:
		return http.StatusNotFound
	case peer.OutcomeRefused:
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

// writeList answers with each item converted to JSON, or with the error.
func writeList[T, F any](w http.ResponseWriter, items []T, err error, convert func(T) F) {
	if err != nil {
		writeError(w, err, nil)
		return
	}
	converted := make([]F, 0, len(items))
	for _, item := range items {
		converted = append(converted, convert(item))
	}
	writeJSON(w, http.StatusOK, converted)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
