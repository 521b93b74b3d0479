package engine

import "time"

// Cost is the cost model of an engine: how long each phase of the work takes,
// and the memory there is.
type Cost struct {
	PrefillRate float64       // prompt tokens a second
	StepTime    time.Duration // one decode step of a batch of one
	StepGrowth  time.Duration // added to a step for each further request in the batch
	BatchLimit  int           // requests in the batch
	Pieces      int           // memory for KV cache in fixed pieces
	PieceTokens int           // tokens in one piece
	LoadTime    time.Duration // to load a model
	RoleTime    time.Duration // to change role
	CacheBlocks int           // blocks of prefixes kept
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

// prefill returns how long it takes to prefill a number of tokens.
func (c Cost) prefill(tokens int) time.Duration {
	return time.Duration(float64(tokens) / c.PrefillRate * float64(time.Second))
}

// step returns how long one decode step takes with a number of requests in
// the batch.
func (c Cost) step(batch int) time.Duration {
	return c.StepTime + time.Duration(max(batch-1, 0))*c.StepGrowth
}

// pieces returns how many pieces of memory a request of so many tokens takes.
func (c Cost) pieces(tokens int) int {
	return (tokens + c.PieceTokens - 1) / c.PieceTokens
}
