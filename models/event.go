package models

import "time"

// EventKind is the subject of a time line event.
type EventKind string

// Event kinds.
const (
	EventRequest    EventKind = "request"
	EventPlacement  EventKind = "placement"
	EventRefusal    EventKind = "refusal"
	EventRetry      EventKind = "retry"
	EventClaim      EventKind = "claim"
	EventLease      EventKind = "lease"
	EventOrder      EventKind = "order"
	EventRole       EventKind = "role"
	EventFleet      EventKind = "fleet"
	EventConfig     EventKind = "config"
	EventKey        EventKind = "key"
	EventMembership EventKind = "membership"
	EventUsage      EventKind = "usage"
	EventProcess    EventKind = "process"
)

// Stamp is a hybrid logical clock timestamp that orders events across all
// processes. Wall is the daemon's clock in nanoseconds; Logical orders events
// with equal Wall by causality.
type Stamp struct {
	Wall    int64
	Logical uint32
}

// Before reports whether s is ordered before other.
func (s Stamp) Before(other Stamp) bool {
	if s.Wall != other.Wall {
		return s.Wall < other.Wall
	}
	return s.Logical < other.Logical
}

// Event is one entry of the time line. Why is a sentence that operators read.
type Event struct {
	Stamp     Stamp
	At        time.Time
	Daemon    DaemonID
	Zone      Zone
	Kind      EventKind
	Request   RequestID
	Engine    EngineID
	Workspace Workspace
	Lease     LeaseName
	What      string
	Why       string
	// What triggered it: a request, an order or an earlier event.
	Cause string
}
