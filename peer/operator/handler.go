// Package operator speaks HTTP/JSON with operators, who edit rows of the table
// and give or withdraw keys.
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
	bearerPrefix = "Bearer "
	maxBodyBytes = 64 << 10
)

// Handler serves operators.
type Handler struct {
	editor   peer.Editor
	overview peer.Overview
	key      [sha256.Size]byte
	mux      *http.ServeMux
}

// NewHandler returns a handler for those who bear the operators' key.
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
	h.mux.HandleFunc("/", h.unknown)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	given := sha256.Sum256([]byte(key))
	if subtle.ConstantTimeCompare(given[:], h.key[:]) != 1 {
		answer(w, http.StatusUnauthorized, problem{Error: "the operators' key is not valid"})
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) rows(w http.ResponseWriter, r *http.Request) {
	rows, err := h.editor.Rows(r.Context(), r.PathValue("kind"))
	answerList(w, rows, err, formOf)
}

func (h *Handler) put(w http.ResponseWriter, r *http.Request) {
	version, ok := version(w, r)
	if !ok {
		return
	}
	cells, err := io.ReadAll(r.Body)
	if err != nil {
		answer(w, http.StatusBadRequest, problem{Error: "the body is too large or broke off"})
		return
	}
	row, err := h.editor.Put(r.Context(), r.PathValue("kind"), r.PathValue("name"), version, cells)
	if err != nil {
		refuse(w, err, &row)
		return
	}
	answer(w, http.StatusOK, formOf(row))
}

func (h *Handler) delete(w http.ResponseWriter, r *http.Request) {
	version, ok := version(w, r)
	if !ok {
		return
	}
	row, err := h.editor.Delete(r.Context(), r.PathValue("kind"), r.PathValue("name"), version)
	if err != nil {
		refuse(w, err, &row)
		return
	}
	answer(w, http.StatusOK, formOf(row))
}

func (h *Handler) giveKey(w http.ResponseWriter, r *http.Request) {
	var form giveKeyForm
	if err := json.NewDecoder(r.Body).Decode(&form); err != nil || form.Workspace == "" {
		answer(w, http.StatusBadRequest, problem{Error: "workspace: must be given"})
		return
	}
	id, secret, err := h.editor.IssueKey(r.Context(), models.Workspace(form.Workspace))
	if err != nil {
		refuse(w, err, nil)
		return
	}
	answer(w, http.StatusCreated, keyForm{ID: string(id), Key: secret, Workspace: form.Workspace})
}

func (h *Handler) withdrawKey(w http.ResponseWriter, r *http.Request) {
	withdrawal, err := h.editor.WithdrawKey(r.Context(), models.KeyID(r.PathValue("id")))
	if err != nil {
		refuse(w, err, nil)
		return
	}
	answer(w, http.StatusOK, withdrawalFormOf(withdrawal))
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
	answerList(w, events, err, eventFormOf)
}

func (h *Handler) fleet(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, engineForms(h.overview.States()))
}

func (h *Handler) explain(w http.ResponseWriter, r *http.Request) {
	engine := models.EngineID(r.PathValue("engine"))
	form := func(sentence string) sentenceForm { return sentenceForm{Sentence: sentence} }
	answerList(w, h.overview.Explain(r.Context(), engine), nil, form)
}

func (h *Handler) usage(w http.ResponseWriter, r *http.Request) {
	windows, err := h.overview.Usage(r.Context(), models.Workspace(r.PathValue("workspace")))
	answerList(w, windows, err, windowFormOf)
}

func (h *Handler) unknown(w http.ResponseWriter, r *http.Request) {
	answer(w, http.StatusNotFound, problem{Error: "no such path: " + r.Method + " " + r.URL.Path})
}

// version returns the version that an edit says it read.
func version(w http.ResponseWriter, r *http.Request) (models.Revision, bool) {
	raw := strings.Trim(r.Header.Get("If-Match"), `"`)
	if raw == "" {
		return 0, true
	}
	n, err := strconv.ParseUint(raw, 10, 64)
	if err != nil {
		answer(w, http.StatusBadRequest, problem{Error: "If-Match: must be the row's version"})
		return 0, false
	}
	return models.Revision(n), true
}

func refuse(w http.ResponseWriter, err error, standing *peer.TableRow) {
	var failure *peer.Failure
	if !errors.As(err, &failure) {
		answer(w, http.StatusBadRequest, problem{Error: err.Error()})
		return
	}
	form := problem{Error: failure.Error()}
	if failure.Outcome == peer.OutcomeConflict && standing != nil {
		row := formOf(*standing)
		form.Standing = &row
	}
	answer(w, statusOf(failure.Outcome), form)
}

func statusOf(outcome peer.Outcome) int {
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

// answerList answers with the form of each item, or with a refusal.
func answerList[T, F any](w http.ResponseWriter, items []T, err error, form func(T) F) {
	if err != nil {
		refuse(w, err, nil)
		return
	}
	forms := make([]F, 0, len(items))
	for _, item := range items {
		forms = append(forms, form(item))
	}
	answer(w, http.StatusOK, forms)
}

func answer(w http.ResponseWriter, status int, form any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(form)
}
