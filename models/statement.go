package models

import (
	"time"
)

// ServerStatement is what an answer says of its backend server.
type ServerStatement struct {
	Limit   StatedLimit
	Leaving bool // it is about to stop
	// How long a backend server that has rejected the request wants no other from
	// this daemon; 0: it does not say.
	RetryAfter time.Duration
}

// StatedLimit is what an answer says of how many requests its backend server takes
// from all daemons together.
type StatedLimit struct {
	Named      bool // false: the server states no limit
	Unreadable bool // it states one that is not a rate
	PerSecond  float64
}
