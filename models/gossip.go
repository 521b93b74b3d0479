package models

import "time"

// Gossip is the message that each of two daemons sends the other in an
// exchange.
type Gossip struct {
	From    DaemonID
	To      DaemonID // intended receiver; its address may have been reassigned
	Stamp   Stamp
	Reports []DaemonReport // the sender's own and those that it relays
	Rows    []Row          // configuration rows newer than Known
	Through Revision       // Rows is complete up to this revision
	Known   Revision       // the receiver's Through, as last reported
	// EvidenceAge is the age of the sender's evidence at the time of sending.
	EvidenceAge    time.Duration
	EvidenceSource EvidenceSource
	Editing        Editing
}

// Editing is a daemon's statement to another about operator edits made through
// it. Daemons use these statements to prove that they have missed no edit while
// the table cannot be read.
type Editing struct {
	Epoch   uint64 // incremented each time Open changes
	Open    bool   // the sender accepts edits
	Settled bool   // no edit is in flight or of unknown outcome
	// Revision of the receiver's registration as known to the sender; 0: none.
	Member Revision
	// The receiver's epoch that the sender has recorded as open.
	Confirmed uint64
}

// EventFilter selects time line events. Empty fields match all events.
type EventFilter struct {
	Request   RequestID
	Engine    EngineID
	Workspace Workspace
	Lease     LeaseName
	Kind      EventKind
	Limit     int
}

// Match reports whether the filter selects event. Limit is not considered.
func (f EventFilter) Match(event Event) bool {
	return (f.Request == "" || f.Request == event.Request) &&
		(f.Engine == "" || f.Engine == event.Engine) &&
		(f.Workspace == "" || f.Workspace == event.Workspace) &&
		(f.Lease == "" || f.Lease == event.Lease) &&
		(f.Kind == "" || f.Kind == event.Kind)
}
