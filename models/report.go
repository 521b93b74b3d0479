package models

import "time"

// DaemonReport is the state that a daemon publishes to the other daemons about
// once a second. Each daemon keeps the latest report of every other one and its
// time of receipt.
type DaemonReport struct {
	Daemon   DaemonID
	Zone     Zone
	Sequence uint64
	// Revision of the configuration in force.
	Config Revision
	// How long the table has been unreachable; 0: the last attempt succeeded.
	StoreOutage time.Duration
	Draining    bool // about to stop
	// Requests that this daemon has in flight.
	Inflight map[EngineID]InflightWork
	Work     map[Workspace]WorkDone // totals since the daemon's start
	Offered  map[Model]OfferedWork  // totals since the daemon's start
	// Engines that this daemon polls on behalf of its zone.
	States map[EngineID]EngineState
	// Remaining time of this daemon's ejections.
	Ejected map[EngineID]time.Duration
}

// InflightWork sums the requests that a daemon has in flight at an engine.
type InflightWork struct {
	Requests     int
	PromptTokens int
	OutputTokens int // still expected
}

// WorkDone counts the work of one workspace at a daemon. Running and Waiting
// are current; the other fields are totals.
type WorkDone struct {
	Requests     int64
	PromptTokens int64
	OutputTokens int64
	Running      int
	Waiting      int
	Refused      int64
}

// OfferedWork counts the generations for one model that reached the queue,
// including those that the queue refused. OutputTokens is the expected output.
type OfferedWork struct {
	Requests     int64
	PromptTokens int64
	OutputTokens int64
}

// PeerReport is another daemon's report with its time of receipt.
type PeerReport struct {
	Report     DaemonReport
	ReceivedAt time.Time
}
