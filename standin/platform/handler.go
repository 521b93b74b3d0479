package platform

import (
	"io"
	"net/http"
	"strconv"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/platform/wire"
	"quincewinch/standin/reply"
)

// Handler serves a store over the HTTP protocol of the platform.
type Handler struct {
	store   *Store
	servers *Servers
	usage   *Usage
	mux     *http.ServeMux
}

// NewHandler returns a handler that serves store.
func NewHandler(store *Store) *Handler {
	h := &Handler{
		store:   store,
		servers: NewServers(store),
		usage:   NewUsage(store),
		mux:     http.NewServeMux(),
	}
	h.mux.HandleFunc("POST "+wire.PathRead, h.read)
	h.mux.HandleFunc("GET "+wire.PathChanges, h.changes)
	h.mux.HandleFunc("POST "+wire.PathTransactions, h.transact)
	h.mux.HandleFunc(wire.PathObjects+"{name}", h.object)
	h.mux.HandleFunc("GET "+wire.PathVMs, h.vms)
	h.mux.HandleFunc("GET "+wire.PathServers, h.listServers)
	h.mux.HandleFunc("POST "+wire.PathServerOrders, h.orderServers)
	h.mux.HandleFunc("PUT "+wire.PathUsageReports+"{id}", h.reportUsage)
	h.mux.HandleFunc("GET "+wire.PathUsageReports+"{id}", h.acceptedUsage)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) read(w http.ResponseWriter, r *http.Request) {
	var body wire.ReadRequest
	if !reply.Decode(w, r, &body) {
		return
	}
	var keys []models.RowKey
	for _, key := range body.Keys {
		keys = append(keys, key.ToModel())
	}
	rows, err := h.store.Read(r.Context(), keys...)
	reply.Answer(w, wire.Changes{Rows: wire.FromRows(rows)}, err)
}

func (h *Handler) changes(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		reply.Answer(w, nil, peer.NewFailure(peer.OutcomeRefused, "bad revision", err))
		return
	}
	partition := models.Partition(r.URL.Query().Get("partition"))
	changes, err := h.store.Changes(r.Context(), partition, models.Revision(after))
	body := wire.Changes{
		Rows:         wire.FromRows(changes.Rows),
		Through:      uint64(changes.Through),
		PlatformTime: changes.PlatformTime,
	}
	reply.Answer(w, body, err)
}

func (h *Handler) transact(w http.ResponseWriter, r *http.Request) {
	var body wire.Transaction
	if !reply.Decode(w, r, &body) {
		return
	}
	revision, err := h.store.Transact(r.Context(), body.ToModel())
	reply.Answer(w, wire.Committed{Revision: uint64(revision)}, err)
}

func (h *Handler) object(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	switch r.Method {
	case http.MethodGet:
		value, err := h.store.Get(r.Context(), name)
		if err != nil {
			reply.Answer(w, nil, err)
			return
		}
		_, _ = w.Write(value)
	case http.MethodPut:
		value, err := io.ReadAll(r.Body)
		if err != nil {
			reply.Answer(w, nil, peer.NewFailure(peer.OutcomeNotDone, "the body broke off", err))
			return
		}
		reply.Answer(w, struct{}{}, h.store.Put(r.Context(), name, value))
	case http.MethodDelete:
		reply.Answer(w, struct{}{}, h.store.Delete(r.Context(), name))
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (h *Handler) vms(w http.ResponseWriter, r *http.Request) {
	vms, err := h.store.List(r.Context())
	reply.Answer(w, wire.FromVMs(vms), err)
}

func (h *Handler) listServers(w http.ResponseWriter, r *http.Request) {
	servers, err := h.servers.List(r.Context())
	reply.Answer(w, wire.FromServers(servers), err)
}

func (h *Handler) orderServers(w http.ResponseWriter, r *http.Request) {
	var body wire.ServerOrder
	if !reply.Decode(w, r, &body) {
		return
	}
	reply.Answer(w, struct{}{}, h.servers.Order(r.Context(), body.ToModel()))
}

func (h *Handler) reportUsage(w http.ResponseWriter, r *http.Request) {
	var body wire.UsageReport
	if !reply.Decode(w, r, &body) {
		return
	}
	err := h.usage.Report(r.Context(), body.ToModel())
	reply.Answer(w, struct{}{}, err)
}

func (h *Handler) acceptedUsage(w http.ResponseWriter, r *http.Request) {
	report, ok, err := h.usage.Accepted(r.Context(), r.PathValue("id"))
	if err == nil && !ok {
		err = peer.NewFailure(peer.OutcomeMissing, "no such report", nil)
	}
	reply.Answer(w, wire.FromUsageReport(report), err)
}
