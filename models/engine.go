package models

import "time"

// Role is the phase of inference that an engine runs: prefill, decode or both.
type Role string

// Engine roles.
const (
	RoleBoth    Role = "both"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// EngineState is the state that an engine reports about itself. It is stale by
// the polling and replication delay.
type EngineState struct {
	Engine     EngineID
	MeasuredAt time.Time // by the engine
	Role       Role
	Models     []Model
	Draining   bool
	Changing   bool      // a model load or role change is in progress
	EvictionAt time.Time // announced end of its backend server; zero: none
	// Highest fencing number seen in an order; 0 if the engine does not track
	// it.
	Fence         uint64
	LastOrder     string // ID of the last order carried out
	Running       int    // requests in the batch
	Queued        int    // requests waiting for a place in the batch
	QueuedTokens  int    // prompt tokens waiting for prefill
	FreePieces    int    // free memory, in pieces of fixed size
	TotalPieces   int
	PieceTokens   int     // tokens of KV cache in one piece
	PrefillRate   float64 // tokens/s
	DecodeRate    float64 // tokens/s
	CacheSequence uint64  // sequence number of the last cache event published
}

// CacheEvent reports that a prefix was added to an engine's prefix cache or
// evicted from it.
type CacheEvent struct {
	Sequence uint64
	Prefix   uint64 // hash of the prefix
	Tokens   int
	Evicted  bool
}

// OrderKind is the kind of change that an order requests.
type OrderKind string

// Order kinds.
const (
	OrderRole   OrderKind = "role"
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderDrain  OrderKind = "drain"
	OrderResume OrderKind = "resume" // ends a drain
)

// Order instructs an engine to change its role, its models or whether it takes
// work. Fence is the fencing number of the lease under which it was issued.
type Order struct {
	ID     string
	Engine EngineID
	Kind   OrderKind
	Fence  uint64
	Role   Role
	Model  Model
}

// KVHandle identifies KV cache that one engine has exported and another can
// import.
type KVHandle struct {
	Request RequestID
	Source  EngineID
	Handle  string
	Tokens  int
	Bytes   int64
}
