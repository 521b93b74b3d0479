package models

import "time"

// Role tells which phase of the work an engine takes.
type Role string

// Roles of an engine.
const (
	RoleBoth    Role = "both"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// EngineState is what an engine reports of itself, with a lag.
type EngineState struct {
	Engine        EngineID
	MeasuredAt    time.Time // when the engine took the figures
	Role          Role
	Models        []Model
	Draining      bool
	Changing      bool // a load or change of role is under way
	EvictionAt    time.Time
	Fence         uint64 // highest fencing number seen in an order; 0 where it keeps none
	LastOrder     string // identity of the last order carried out
	Running       int    // requests in the batch
	Queued        int    // requests that wait
	QueuedTokens  int    // prompt tokens that wait for prefill
	FreePieces    int    // free memory in fixed pieces
	TotalPieces   int
	PieceTokens   int // tokens of KV cache in one piece
	PrefillRate   float64
	DecodeRate    float64
	CacheSequence uint64 // last cache event published
}

// CacheEvent says that an engine's prefix cache gained or lost a prefix.
type CacheEvent struct {
	Sequence uint64
	Prefix   uint64 // hash of the prefix
	Tokens   int
	Evicted  bool
}

// OrderKind tells what an order asks for.
type OrderKind string

// Kinds of order.
const (
	OrderRole   OrderKind = "role"
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderDrain  OrderKind = "drain"
	OrderResume OrderKind = "resume" // ends a drain
)

// Order tells an engine to change. Fence is the number of the lease under
// which it was given.
type Order struct {
	ID     string
	Engine EngineID
	Kind   OrderKind
	Fence  uint64
	Role   Role
	Model  Model
}

// KVHandle names a KV cache that one engine exported and another can import.
type KVHandle struct {
	Request RequestID
	Source  EngineID
	Handle  string
	Tokens  int
	Bytes   int64
}
