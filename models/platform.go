package models

import (
	"net/netip"
	"time"
)

// VM is an entry VM as listed by the platform. The list may be stale.
type VM struct {
	Daemon  string
	Zone    Zone
	Address netip.AddrPort
	Leaving bool
}

// ServerOrder orders backend servers in an availability zone from the platform,
// or returns some. ID makes it idempotent.
type ServerOrder struct {
	ID       string
	Fence    uint64
	Zone     Zone
	Cheap    bool
	Count    int      // backend servers to order; 0: none
	GiveBack []string // backend servers to return
}

// UsageReport reports the frozen usage of one workspace in one billing window.
// ID makes it idempotent.
type UsageReport struct {
	ID          string
	Fence       uint64
	Workspace   Workspace
	Window      time.Time // start of the window, platform time
	Length      time.Duration
	Usage       Usage
	Adjustments []Adjustment
}

// Usage counts requests, tokens and service calls of a workspace.
type Usage struct {
	Requests     int64
	Prompt       int64 // prompt tokens, cached ones included
	Cached       int64 // prompt tokens served from a prefix cache
	Output       int64 // output tokens
	ServiceCalls int64
}

// Add returns the sum of u and other.
func (u Usage) Add(other Usage) Usage {
	return Usage{
		Requests:     u.Requests + other.Requests,
		Prompt:       u.Prompt + other.Prompt,
		Cached:       u.Cached + other.Cached,
		Output:       u.Output + other.Output,
		ServiceCalls: u.ServiceCalls + other.ServiceCalls,
	}
}

// Adjustment is usage that arrived after its window was frozen.
type Adjustment struct {
	Window time.Time
	Usage  Usage
}

// WorkspaceWindow is the current state of one billing window of a workspace.
type WorkspaceWindow struct {
	Workspace   Workspace
	Window      time.Time // start of the window, platform time
	State       string    // open, closed, frozen or reported
	Usage       Usage
	Adjustments []Adjustment
}
