package request

import "time"

const (
	// staleRetryAfter is when a caller whose key could not be confirmed should
	// come back.
	staleRetryAfter = 2 * time.Second
	// busyRetryAfter is when a caller refused for want of a backend server
	// should come back.
	busyRetryAfter = time.Second
	// resumeAttempts is how often a broken stream is opened again at its
	// engine without a new token before the engine is given up.
	resumeAttempts = 3
	// resumeBackoff is the wait before a stream is opened again.
	resumeBackoff = 20 * time.Millisecond
	// generateAttempts is how many engines a request may meet, moves aside.
	generateAttempts = 3
	// moveAttempts is how often a request may leave an engine that is evicted.
	moveAttempts = 4
	// placeAttempts is how often a placement on a leaving engine is replaced.
	placeAttempts = 8
	// moveLead is how long before an engine's eviction its requests move.
	moveLead = 10 * time.Second
	// moveTimeout bounds the export and the import of one KV cache.
	moveTimeout = time.Second
	// patrolInterval is the time between two looks at a request's engine.
	patrolInterval = 250 * time.Millisecond
	// readAhead is how many pieces are read from an engine before the caller
	// has taken them.
	readAhead = 16
	// slowReader is how long a caller may take for one piece.
	slowReader = 10 * time.Second
	// cancelTimeout bounds a cancel at an engine.
	cancelTimeout = 2 * time.Second
	// cancelWait is how long a request waits for the cancel of its earlier
	// attempt before it goes elsewhere.
	cancelWait = 250 * time.Millisecond
	// callAttempts is how many addresses of a service a call may meet.
	callAttempts = 3
)
