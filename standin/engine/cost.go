package engine

import "time"

// Cost is the cost model of an engine: the duration of each phase of a request
// and the memory available.
type Cost struct {
	PrefillRate float64       // prompt tokens per second
	StepTime    time.Duration // one decode step with a single request in the batch
	StepGrowth  time.Duration // added to a step for each further request in the batch
	BatchLimit  int           // largest number of requests in the batch
	Pieces      int           // KV cache memory, in pieces of a fixed size
	PieceTokens int           // tokens per piece
	LoadTime    time.Duration // to load a model
	RoleTime    time.Duration // to change role
	CacheBlocks int           // capacity of the prefix cache, in blocks
}

// DefaultCost returns the cost model of the demo's engines.
func DefaultCost() Cost {
	return Cost{
		PrefillRate: 20000,
		StepTime:    8 * time.Millisecond,
		StepGrowth:  200 * time.Microsecond,
		BatchLimit:  64,
		Pieces:      2048,
		PieceTokens: 64,
		LoadTime:    5 * time.Second,
		RoleTime:    3 * time.Second,
		CacheBlocks: 4096,
	}
}

// prefill returns how long it takes to prefill the given number of tokens.
func (c Cost) prefill(tokens int) time.Duration {
	return time.Duration(float64(tokens) / c.PrefillRate * float64(time.Second))
}

// step returns how long one decode step takes with the given number of requests
// in the batch.
func (c Cost) step(batch int) time.Duration {
	return c.StepTime + time.Duration(max(batch-1, 0))*c.StepGrowth
}

// pieces returns how many pieces of memory a request with the given number of
// tokens occupies.
func (c Cost) pieces(tokens int) int {
	return (tokens + c.PieceTokens - 1) / c.PieceTokens
}
