package models

import "time"

// Withdrawal tells where the withdrawal of a key is in force.
type Withdrawal struct {
	Key         KeyID
	Revision    Revision
	InForce     []DaemonID    // daemons that have confirmed
	Pending     []DaemonID    // daemons that have yet to confirm
	StopsWithin time.Duration // when the pending ones stop taking the key at the latest
}
