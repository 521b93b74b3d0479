package models

import "time"

// LeaseName identifies a lease.
type LeaseName string

// Lease names. Each zone has another one for its engines, see EngineLease.
const (
	LeaseServers LeaseName = "servers" // for ordering backend servers
	LeaseUsage   LeaseName = "usage"   // for closing billing windows
)

// EngineLease returns the name of the lease for orders to the engines of zone.
func EngineLease(zone Zone) LeaseName {
	return LeaseName("engines/" + string(zone))
}

// LeaseState is the stored state of a lease. Fence, the fencing number, grows
// with each new holder but not with renewals.
type LeaseState struct {
	Name     LeaseName
	Holder   DaemonID
	Fence    uint64
	Renewal  uint64 // incremented by each renewal
	Duration time.Duration
	Released bool
	Era      uint64 // of the table, as known to the daemon that wrote the state
}

// Authority proves that a daemon holds a lease. It carries the fencing number
// and the Deadline, by the holder's monotonic clock, after which the holder
// must no longer act. A transaction that includes Guard commits only while the
// lease has the same holder; renewals do not change Guard.
type Authority struct {
	Lease    LeaseName
	Fence    uint64
	Deadline time.Time
	Guard    Condition
	// Continues is the fencing number of the authority that this daemon had under
	// the lease when the table returned from an older copy, if nobody else can
	// have held the lease since; otherwise zero.
	Continues uint64
}

// Valid reports whether the authority has not expired at now. It checks the
// wall clock as well, because the monotonic clock may stop while a VM is
// suspended.
func (a Authority) Valid(now time.Time) bool {
	return a.Fence > 0 && now.Before(a.Deadline) && now.Round(0).Before(a.Deadline.Round(0))
}
