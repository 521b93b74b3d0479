package models

import "time"

// Gossip is what two daemons tell each other in one exchange.
type Gossip struct {
	From    DaemonID
	To      DaemonID // whom it is meant for; another may have its address by now
	Stamp   Stamp
	Reports []DaemonReport // the sender's own, and others it relays
	Rows    []Row          // configuration rows newer than Known
	Through Revision       // the configuration is complete up to here
	Known   Revision       // of the other's configuration, as last heard
	// EvidenceAge is the age of the sender's evidence when it sent this.
	EvidenceAge    time.Duration
	EvidenceSource EvidenceSource
	Editing        Editing
}

// Editing is what a daemon states to another about the edits that operators
// make through it. The proof that no edit was missed rests on it.
type Editing struct {
	Epoch     uint64   // grows each time that the sender opens or closes
	Open      bool     // edits may go through the sender
	Settled   bool     // no edit is under way and none is of unknown outcome
	Member    Revision // the receiver's registration as the sender knows it; 0: none
	Confirmed uint64   // the receiver's epoch that the sender has noted as open
}

// EventFilter selects events of the time line; empty fields select all.
type EventFilter struct {
	Request   RequestID
	Engine    EngineID
	Workspace Workspace
	Lease     LeaseName
	Kind      EventKind
	Limit     int
}

// Match reports whether the filter selects the event.
func (f EventFilter) Match(event Event) bool {
	return (f.Request == "" || f.Request == event.Request) &&
		(f.Engine == "" || f.Engine == event.Engine) &&
		(f.Workspace == "" || f.Workspace == event.Workspace) &&
		(f.Lease == "" || f.Lease == event.Lease) &&
		(f.Kind == "" || f.Kind == event.Kind)
}
