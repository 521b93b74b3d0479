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
	// engine before the engine is given up.
	resumeAttempts = 2
	// generateAttempts is how many engines a repeatable request may meet.
	generateAttempts = 3
)
