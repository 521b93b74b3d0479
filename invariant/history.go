// Package invariant checks the invariants of the system in tests. Fakes and
// tests record the events at the system's interfaces in a History; Check looks
// for violations in it.
package invariant

import (
	"sync"
	"time"

	"quincewinch/models"
)

// History is a record of the events at the interfaces of the system, in order.
type History struct {
	mu           sync.Mutex
	engineOrders []EngineOrder
	serverOrders []ServerOrder
	usageReports []models.UsageReport
	runs         []Run
	answers      []Answer
	withdrawals  []Withdrawal
	leavings     []Leaving
	accepted     []AcceptedRow
	observed     []ObservedRow
	leaseTerms   []LeaseTerm
}

// EngineOrder is an order that took effect at an engine.
type EngineOrder struct {
	At     time.Time
	Order  models.Order
	Daemon models.DaemonID // sender
	// Authorised is whether the sender still held the lease when the order took
	// effect.
	Authorised bool
	// Finished is when the engine had completed the order.
	Finished time.Time
}

// ServerOrder is an order for backend servers that the platform accepted.
type ServerOrder struct {
	At         time.Time
	Order      models.ServerOrder
	Daemon     models.DaemonID
	Authorised bool // the sender held the lease at that time
}

// Run is one start of a request at a backend server.
type Run struct {
	At        time.Time
	Request   models.RequestID
	Claim     string // identifies a request that must not be repeated; empty: may be repeated
	Workspace models.Workspace
	Key       models.KeyID // key that the caller sent; empty on an open route
	Backend   string
	Received  string // all text that the backend server received
}

// Answer is the end of a request as its caller saw it.
type Answer struct {
	At      time.Time
	Request models.RequestID
	Claim   string
	Text    string // received text of a complete answer
	Want    string // expected text
	Refusal *models.Refusal
	// PlannedInterruption is whether a planned change interrupted the request.
	PlannedInterruption bool
	// SilentlyTruncated is whether the request ended with neither a complete
	// answer nor an explicit error.
	SilentlyTruncated bool
}

// Withdrawal is the accepted withdrawal of a key.
type Withdrawal struct {
	At     time.Time
	Key    models.KeyID
	Secret string
	Bound  time.Duration // time until it must be in force on all daemons
}

// Leaving is the marking of a backend server as leaving.
type Leaving struct {
	At      time.Time
	Backend string
	Bound   time.Duration // time for which new requests may still reach it
}

// AcceptedRow is an edit that was acknowledged to the operator.
type AcceptedRow struct {
	At    time.Time
	Row   models.Row
	Bound time.Duration // time until it must be in force on all daemons
}

// ObservedRow is the version of a row that a daemon had in force. A row that
// the daemon did not know has revision 0.
type ObservedRow struct {
	At     time.Time
	Daemon models.DaemonID
	Row    models.Row
	// Ready is whether the daemon accepted requests.
	Ready bool
}

// LeaseTerm is a period in which a process believed that it held a lease. Until
// is the deadline that the process assumed, or the time when it released the
// lease.
type LeaseTerm struct {
	Lease  models.LeaseName
	Daemon models.DaemonID
	Fence  uint64
	From   time.Time
	Until  time.Time
}

// EngineOrder records an order that took effect at an engine.
func (h *History) EngineOrder(order EngineOrder) { record(h, &h.engineOrders, order) }

// ServerOrder records an accepted order for backend servers.
func (h *History) ServerOrder(order ServerOrder) { record(h, &h.serverOrders, order) }

// UsageReport records an accepted usage report.
func (h *History) UsageReport(report models.UsageReport) { record(h, &h.usageReports, report) }

// Run records the start of a request at a backend server.
func (h *History) Run(run Run) { record(h, &h.runs, run) }

// Answer records the end of a request.
func (h *History) Answer(answer Answer) { record(h, &h.answers, answer) }

// Withdrawal records the accepted withdrawal of a key.
func (h *History) Withdrawal(withdrawal Withdrawal) { record(h, &h.withdrawals, withdrawal) }

// Leaving records that a backend server was marked as leaving.
func (h *History) Leaving(leaving Leaving) { record(h, &h.leavings, leaving) }

// Accepted records an acknowledged edit.
func (h *History) Accepted(row AcceptedRow) { record(h, &h.accepted, row) }

// Observed records the version of a row that a daemon had in force.
func (h *History) Observed(row ObservedRow) { record(h, &h.observed, row) }

// LeaseTerm records a period in which a process believed that it held a lease.
func (h *History) LeaseTerm(term LeaseTerm) { record(h, &h.leaseTerms, term) }

func record[T any](h *History, list *[]T, entry T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = append(*list, entry)
}
