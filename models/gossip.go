package models

import "time"

// Gossip is what two daemons tell each other in one exchange.
type Gossip struct {
	From    DaemonID
	Stamp   Stamp
	Reports []DaemonReport // the sender's own, and others it relays
	Rows    []Row          // configuration rows newer than Known
	Through Revision       // the configuration is complete up to here
	Known   Revision       // of the other's configuration, as last heard
	// EvidenceAge is the age of the sender's evidence when it sent this.
	EvidenceAge    time.Duration
	EvidenceSource EvidenceSource
	Members        []DaemonID // registered daemons that the sender knows
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
