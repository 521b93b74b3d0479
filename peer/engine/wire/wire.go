// Package wire defines the JSON messages of the engines' protocol and converts
// them to and from domain types. A stream is one Piece per line.
package wire

import (
	"time"

	"quincewinch/models"
)

// Paths of an engine's HTTP interface.
const (
	PathRequests    = "/v1/requests"
	PathState       = "/v1/state"
	PathOrders      = "/v1/orders"
	PathImports     = "/v1/imports"
	PathCacheEvents = "/v1/cache-events"
)

// HeaderCallID names a call. The answer repeats it.
const HeaderCallID = "X-Call-Id"

// Generation is the JSON message for models.Generation.
type Generation struct {
	ID          string    `json:"id"`
	Model       string    `json:"model"`
	Prompt      string    `json:"prompt"`
	MaxTokens   int       `json:"max-tokens"`
	Temperature float64   `json:"temperature"`
	TopP        float64   `json:"top-p"`
	Seed        int64     `json:"seed"`
	Stop        []string  `json:"stop,omitempty"`
	Priority    int       `json:"priority"`
	Prior       []string  `json:"prior,omitempty"`
	Deadline    time.Time `json:"deadline"`
}

// Piece is the JSON message for models.Piece.
type Piece struct {
	Request string  `json:"request"`
	Index   int     `json:"index"`
	Text    string  `json:"text,omitempty"`
	Finish  *Finish `json:"finish,omitempty"`
}

// Finish is the JSON message for models.Finish.
type Finish struct {
	Reason string `json:"reason"`
	Prompt int    `json:"prompt-tokens"`
	Cached int    `json:"cached-tokens"`
	Output int    `json:"output-tokens"`
}

// State is the JSON message for models.EngineState.
type State struct {
	Engine        string    `json:"engine"`
	MeasuredAt    time.Time `json:"measured-at"`
	Role          string    `json:"role"`
	Models        []string  `json:"models"`
	Draining      bool      `json:"draining"`
	Changing      bool      `json:"changing"`
	EvictionAt    time.Time `json:"eviction-at"`
	Fence         uint64    `json:"fence"`
	LastOrder     string    `json:"last-order"`
	Running       int       `json:"running"`
	Queued        int       `json:"queued"`
	QueuedTokens  int       `json:"queued-tokens"`
	FreePieces    int       `json:"free-pieces"`
	TotalPieces   int       `json:"total-pieces"`
	PieceTokens   int       `json:"piece-tokens"`
	PrefillRate   float64   `json:"prefill-rate"`
	DecodeRate    float64   `json:"decode-rate"`
	CacheSequence uint64    `json:"cache-sequence"`
}

// CacheEvent is the JSON message for models.CacheEvent.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Tokens   int    `json:"tokens"`
	Evicted  bool   `json:"evicted"`
}

// Order is the JSON message for models.Order.
type Order struct {
	ID     string `json:"id"`
	Engine string `json:"engine"`
	Kind   string `json:"kind"`
	Fence  uint64 `json:"fence"`
	Role   string `json:"role,omitempty"`
	Model  string `json:"model,omitempty"`
}

// KVHandle is the JSON message for models.KVHandle.
type KVHandle struct {
	Request string `json:"request"`
	Source  string `json:"source"`
	Handle  string `json:"handle"`
	Tokens  int    `json:"tokens"`
	Bytes   int64  `json:"bytes"`
}

// Problem is the body of an unsuccessful response.
type Problem struct {
	Outcome string `json:"outcome"`
	Message string `json:"message"`
}

// FromGeneration converts a generation to its JSON message.
func FromGeneration(generation models.Generation) Generation {
	return Generation{
		ID:          string(generation.ID),
		Model:       string(generation.Model),
		Prompt:      generation.Prompt,
		MaxTokens:   generation.MaxTokens,
		Temperature: generation.Temperature,
		TopP:        generation.TopP,
		Seed:        generation.Seed,
		Stop:        generation.Stop,
		Priority:    int(generation.Priority),
		Prior:       generation.Prior,
		Deadline:    generation.Deadline,
	}
}

// ToModel converts the message to a generation.
func (g Generation) ToModel() models.Generation {
	return models.Generation{
		ID:          models.RequestID(g.ID),
		Model:       models.Model(g.Model),
		Prompt:      g.Prompt,
		MaxTokens:   g.MaxTokens,
		Temperature: g.Temperature,
		TopP:        g.TopP,
		Seed:        g.Seed,
		Stop:        g.Stop,
		Priority:    models.Priority(g.Priority),
		Prior:       g.Prior,
		Deadline:    g.Deadline,
	}
}

// FromPiece converts a piece to its JSON message.
func FromPiece(piece models.Piece) Piece {
	message := Piece{Request: string(piece.Request), Index: piece.Index, Text: piece.Text}
	if piece.Done {
		message.Finish = &Finish{
			Reason: string(piece.Finish.Reason),
			Prompt: piece.Finish.Usage.Prompt,
			Cached: piece.Finish.Usage.Cached,
			Output: piece.Finish.Usage.Output,
		}
	}
	return message
}

// ToModel converts the message to a piece.
func (p Piece) ToModel() models.Piece {
	piece := models.Piece{Request: models.RequestID(p.Request), Index: p.Index, Text: p.Text}
	if p.Finish != nil {
		piece.Done = true
		piece.Finish = models.Finish{
			Reason: models.FinishReason(p.Finish.Reason),
			Usage: models.TokenUsage{
				Prompt: p.Finish.Prompt,
				Cached: p.Finish.Cached,
				Output: p.Finish.Output,
			},
		}
	}
	return piece
}

// FromState converts a state to its JSON message.
func FromState(state models.EngineState) State {
	message := State{
		Engine:        string(state.Engine),
		MeasuredAt:    state.MeasuredAt,
		Role:          string(state.Role),
		Draining:      state.Draining,
		Changing:      state.Changing,
		EvictionAt:    state.EvictionAt,
		Fence:         state.Fence,
		LastOrder:     state.LastOrder,
		Running:       state.Running,
		Queued:        state.Queued,
		QueuedTokens:  state.QueuedTokens,
		FreePieces:    state.FreePieces,
		TotalPieces:   state.TotalPieces,
		PieceTokens:   state.PieceTokens,
		PrefillRate:   state.PrefillRate,
		DecodeRate:    state.DecodeRate,
		CacheSequence: state.CacheSequence,
	}
	for _, model := range state.Models {
		message.Models = append(message.Models, string(model))
	}
	return message
}

// ToModel converts the message to a state.
func (s State) ToModel() models.EngineState {
	state := models.EngineState{
		Engine:        models.EngineID(s.Engine),
		MeasuredAt:    s.MeasuredAt,
		Role:          models.Role(s.Role),
		Draining:      s.Draining,
		Changing:      s.Changing,
		EvictionAt:    s.EvictionAt,
		Fence:         s.Fence,
		LastOrder:     s.LastOrder,
		Running:       s.Running,
		Queued:        s.Queued,
		QueuedTokens:  s.QueuedTokens,
		FreePieces:    s.FreePieces,
		TotalPieces:   s.TotalPieces,
		PieceTokens:   s.PieceTokens,
		PrefillRate:   s.PrefillRate,
		DecodeRate:    s.DecodeRate,
		CacheSequence: s.CacheSequence,
	}
	for _, model := range s.Models {
		state.Models = append(state.Models, models.Model(model))
	}
	return state
}

// FromCacheEvents converts events to their JSON messages.
func FromCacheEvents(events []models.CacheEvent) []CacheEvent {
	messages := make([]CacheEvent, 0, len(events))
	for _, event := range events {
		messages = append(messages, CacheEvent(event))
	}
	return messages
}

// ToCacheEvents converts JSON messages to events.
func ToCacheEvents(messages []CacheEvent) []models.CacheEvent {
	events := make([]models.CacheEvent, 0, len(messages))
	for _, message := range messages {
		events = append(events, models.CacheEvent(message))
	}
	return events
}

// FromOrder converts an order to its JSON message.
func FromOrder(order models.Order) Order {
	return Order{
		ID:     order.ID,
		Engine: string(order.Engine),
		Kind:   string(order.Kind),
		Fence:  order.Fence,
		Role:   string(order.Role),
		Model:  string(order.Model),
	}
}

// ToModel converts the message to an order.
func (o Order) ToModel() models.Order {
	return models.Order{
		ID:     o.ID,
		Engine: models.EngineID(o.Engine),
		Kind:   models.OrderKind(o.Kind),
		Fence:  o.Fence,
		Role:   models.Role(o.Role),
		Model:  models.Model(o.Model),
	}
}

// FromKVHandle converts a handle to its JSON message.
func FromKVHandle(handle models.KVHandle) KVHandle {
	return KVHandle{
		Request: string(handle.Request),
		Source:  string(handle.Source),
		Handle:  handle.Handle,
		Tokens:  handle.Tokens,
		Bytes:   handle.Bytes,
	}
}

// ToModel converts the message to a handle.
func (h KVHandle) ToModel() models.KVHandle {
	return models.KVHandle{
		Request: models.RequestID(h.Request),
		Source:  models.EngineID(h.Source),
		Handle:  h.Handle,
		Tokens:  h.Tokens,
		Bytes:   h.Bytes,
	}
}
