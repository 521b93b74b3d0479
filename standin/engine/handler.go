package engine

import (
	"encoding/json"
	"net/http"
	"strconv"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/engine/wire"
	"quincewinch/standin/reply"
)

// Handler serves an engine over HTTP.
type Handler struct {
	engine *Engine
	mux    *http.ServeMux
}

// NewHandler returns a handler that serves engine.
func NewHandler(engine *Engine) *Handler {
	h := &Handler{engine: engine, mux: http.NewServeMux()}
	h.mux.HandleFunc("POST "+wire.PathRequests, h.generate)
	h.mux.HandleFunc("GET "+wire.PathRequests+"/{id}", h.resume)
	h.mux.HandleFunc("DELETE "+wire.PathRequests+"/{id}", h.cancel)
	h.mux.HandleFunc("POST "+wire.PathRequests+"/{id}/export", h.export)
	h.mux.HandleFunc("POST "+wire.PathImports, h.imports)
	h.mux.HandleFunc("GET "+wire.PathState, h.state)
	h.mux.HandleFunc("POST "+wire.PathOrders, h.order)
	h.mux.HandleFunc("GET "+wire.PathCacheEvents, h.cacheEvents)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(wire.HeaderCallID, r.Header.Get(wire.HeaderCallID))
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) generate(w http.ResponseWriter, r *http.Request) {
	var body wire.Generation
	if !reply.Decode(w, r, &body) {
		return
	}
	stream, err := h.engine.Generate(r.Context(), body.ToModel())
	writeStream(w, r, stream, err)
}

func (h *Handler) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		reply.Answer(w, nil, peer.NewFailure(peer.OutcomeRefused, "bad token index", err))
		return
	}
	stream, err := h.engine.Resume(r.Context(), models.RequestID(r.PathValue("id")), from)
	writeStream(w, r, stream, err)
}

func (h *Handler) cancel(w http.ResponseWriter, r *http.Request) {
	reply.Answer(w, struct{}{}, h.engine.Cancel(r.Context(), models.RequestID(r.PathValue("id"))))
}

func (h *Handler) export(w http.ResponseWriter, r *http.Request) {
	handle, err := h.engine.Export(r.Context(), models.RequestID(r.PathValue("id")))
	reply.Answer(w, wire.FromKVHandle(handle), err)
}

func (h *Handler) imports(w http.ResponseWriter, r *http.Request) {
	var body wire.KVHandle
	if !reply.Decode(w, r, &body) {
		return
	}
	reply.Answer(w, struct{}{}, h.engine.Import(r.Context(), body.ToModel()))
}

func (h *Handler) state(w http.ResponseWriter, r *http.Request) {
	state, err := h.engine.State(r.Context())
	reply.Answer(w, wire.FromState(state), err)
}

func (h *Handler) order(w http.ResponseWriter, r *http.Request) {
	var body wire.Order
	if !reply.Decode(w, r, &body) {
		return
	}
	reply.Answer(w, struct{}{}, h.engine.Order(r.Context(), body.ToModel()))
}

func (h *Handler) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		reply.Answer(w, nil, peer.NewFailure(peer.OutcomeRefused, "bad sequence number", err))
		return
	}
	events, err := h.engine.CacheEvents(r.Context(), after)
	reply.Answer(w, wire.FromCacheEvents(events), err)
}

// writeStream writes the pieces of a stream as JSON, one per line.
func writeStream(w http.ResponseWriter, r *http.Request, stream peer.TokenStream, err error) {
	if err != nil {
		reply.Answer(w, nil, err)
		return
	}
	defer stream.Close()
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	for {
		piece, err := stream.Next(r.Context())
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if err := encoder.Encode(wire.FromPiece(piece)); err != nil {
			return
		}
		_ = controller.Flush()
		if piece.Done {
			return
		}
	}
}
