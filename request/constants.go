package request

import "time"

const (
	// staleRetryAfter is the Retry-After value when shared state does not allow
	// an answer now: the key cannot be confirmed, the store does not answer, or
	// an earlier attempt is still running.
	staleRetryAfter = 2 * time.Second
	// busyRetryAfter is the Retry-After value when no backend server can take
	// the request, or this daemon is draining.
	busyRetryAfter = time.Second
	// resumeAttempts is the maximum number of consecutive attempts to resume a
	// broken stream without receiving a new token.
	resumeAttempts = 3
	// resumeBackoff is the wait before the first attempt to resume a stream; it
	// grows by the same amount with each failure.
	resumeBackoff = 20 * time.Millisecond
	// generateAttempts is the maximum number of engines tried for a request, not
	// counting moves.
	generateAttempts = 3
	// moveAttempts is the maximum number of moves of a request off engines that
	// are about to be evicted.
	moveAttempts = 4
	// placeAttempts is the maximum number of placements tried in search of an
	// engine that is not leaving.
	placeAttempts = 8
	// moveLeadTime is the time before an engine's eviction at which its requests
	// are moved.
	moveLeadTime = 10 * time.Second
	// moveTimeout bounds the export of one KV cache, and its import.
	moveTimeout = time.Second
	// engineCheckInterval is the interval of checks for a stalled engine and for
	// an imminent eviction.
	engineCheckInterval = 250 * time.Millisecond
	// readAhead is the number of pieces buffered between an engine and the
	// caller.
	readAhead = 16
	// deliveryTimeout bounds the delivery of one piece to the caller.
	deliveryTimeout = 10 * time.Second
	// cancelTimeout bounds the cancellation of a request on an engine.
	cancelTimeout = 2 * time.Second
	// cancelWait is the maximum time a request waits for the cancellation of its
	// previous attempt before it is sent to another engine.
	cancelWait = 250 * time.Millisecond
	// callAttempts is the maximum number of a service's addresses tried for a
	// call.
	callAttempts = 3
)
