package models

import "time"

// DaemonReport is what each daemon tells the others about itself, about once
// a second. Peers keep the latest one of each daemon, with its age.
type DaemonReport struct {
	Daemon      DaemonID
	Zone        Zone
	Sequence    uint64
	Config      Revision                   // configuration in force here
	StoreOutage time.Duration              // how long the table has been out of reach; 0: reached at the last try
	Draining    bool                       // about to leave
	Inflight    map[EngineID]InflightWork  // what this daemon has under way
	Work        map[Workspace]WorkDone     // totals since the daemon's start
	Offered     map[Model]OfferedWork      // totals since the daemon's start
	States      map[EngineID]EngineState   // engines that this daemon polls for its zone
	Ejected     map[EngineID]time.Duration // how long this daemon will keep it out yet
}

// InflightWork is what a daemon has sent to an engine and has not seen end.
type InflightWork struct {
	Requests     int
	PromptTokens int
	OutputTokens int // expected yet
}

// WorkDone counts work for one workspace.
type WorkDone struct {
	Requests     int64
	PromptTokens int64
	OutputTokens int64
	Running      int
	Waiting      int
	Refused      int64
}

// OfferedWork counts the work that callers offered for one model.
type OfferedWork struct {
	Requests     int64
	PromptTokens int64
	OutputTokens int64
}

// PeerReport is a report as another daemon received it.
type PeerReport struct {
	Report     DaemonReport
	ReceivedAt time.Time
}
