package models

import "time"

// Withdrawal is the progress of the withdrawal of a key across the daemons.
type Withdrawal struct {
	Key         KeyID
	Revision    Revision
	InForce     []DaemonID    // daemons that have confirmed it
	Pending     []DaemonID    // daemons that have not confirmed it yet
	StopsWithin time.Duration // longest time until Pending stop taking it
}
