package models

import "time"

// LeaseName names a thing to be in charge of.
type LeaseName string

// Names of the leases. The engines of each availability zone have one.
const (
	LeaseServers LeaseName = "servers" // ordering of backend servers
	LeaseUsage   LeaseName = "usage"   // billing windows
)

// EngineLease names the lease on orders to the engines of a zone.
func EngineLease(zone Zone) LeaseName {
	return LeaseName("engines/" + string(zone))
}

// LeaseState is a lease's row: the holder and the fencing number, which grows
// with each new holder, never with a renewal.
type LeaseState struct {
	Name     LeaseName
	Holder   DaemonID
	Fence    uint64
	Renewal  uint64 // grows with each renewal
	Duration time.Duration
	Released bool
}

// Authority is what a holder has to show before it acts: the fencing number,
// and the instant, by its own monotonic clock, at which it stops. Guard is the
// condition that a transaction carries so that it commits only while the
// holder is still the one; renewals leave it as it is.
type Authority struct {
	Lease    LeaseName
	Fence    uint64
	Deadline time.Time
	Guard    Condition
}

// Valid reports whether the authority still holds at now, by the monotonic
// clock and by the wall clock: the former may stand still while a VM is
// suspended.
func (a Authority) Valid(now time.Time) bool {
	return a.Fence > 0 && now.Before(a.Deadline) && now.Round(0).Before(a.Deadline.Round(0))
}
