package models

import "time"

// EventKind tells what an event of the time line is about.
type EventKind string

// Kinds of event.
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

// Stamp orders events over all processes: a hybrid logical clock. Wall is in
// nanoseconds of the daemon's clock, Logical breaks ties along causes.
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

// Event is one entry of the time line. Why is a sentence for operators.
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
	Cause     string // what led to it: a request, an order, an earlier event
}
