package models

import (
	"net/netip"
	"time"
)

// VM is an entry VM as the platform's lagging list shows it.
type VM struct {
	Daemon  string
	Zone    Zone
	Address netip.AddrPort
	Leaving bool
}

// ServerOrder asks the platform for backend servers in an availability zone,
// or gives them back. ID makes it idempotent.
type ServerOrder struct {
	ID       string
	Fence    uint64
	Zone     Zone
	Cheap    bool
	Count    int      // ordered where positive
	GiveBack []string // backend servers given back
}

// UsageReport is one billing window of one workspace, frozen. ID makes it
// idempotent.
type UsageReport struct {
	ID          string
	Fence       uint64
	Workspace   Workspace
	Window      time.Time // start of the window, platform's time
	Length      time.Duration
	Usage       Usage
	Adjustments []Adjustment
}

// Usage counts what a workspace used.
type Usage struct {
	Requests     int64
	Prompt       int64
	Cached       int64
	Output       int64
	ServiceCalls int64
}

// Add returns the sum of both.
func (u Usage) Add(other Usage) Usage {
	return Usage{
		Requests:     u.Requests + other.Requests,
		Prompt:       u.Prompt + other.Prompt,
		Cached:       u.Cached + other.Cached,
		Output:       u.Output + other.Output,
		ServiceCalls: u.ServiceCalls + other.ServiceCalls,
	}
}

// Adjustment is use that came in after its own window was frozen.
type Adjustment struct {
	Window time.Time
	Usage  Usage
}

// WorkspaceWindow is one billing window of a workspace as it stands.
type WorkspaceWindow struct {
	Workspace   Workspace
	Window      time.Time // its start, platform's time
	State       string    // open, closed, frozen or reported
	Usage       Usage
	Adjustments []Adjustment
}
