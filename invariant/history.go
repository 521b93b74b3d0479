// Package invariant states what must always hold, one named check for each
// promise. Fakes and tests record into a History what happened at the
// interfaces; Check runs every check over it.
package invariant

import (
	"sync"
	"time"

	"quincewinch/models"
)

// History is what happened at the interfaces of the system, in order.
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
	Daemon models.DaemonID // who sent it
	// Authorised tells whether its sender still held the lease when it took
	// effect.
	Authorised bool
	// Finished is when the engine had carried it out.
	Finished time.Time
}

// ServerOrder is an order of backend servers that the platform accepted.
type ServerOrder struct {
	At         time.Time
	Order      models.ServerOrder
	Daemon     models.DaemonID
	Authorised bool
}

// Run is one start of a request at a backend server.
type Run struct {
	At        time.Time
	Request   models.RequestID
	Claim     string // what names a request that may not be repeated; empty: may be repeated
	Workspace models.Workspace
	Key       models.KeyID // the key that came with it; empty on an open route
	Backend   string
	Received  string // everything that the backend server received
}

// Answer is the end of a request as its caller saw it.
type Answer struct {
	At      time.Time
	Request models.RequestID
	Claim   string
	Text    string // of a whole answer
	Want    string // what the answer has to be
	Refusal *models.Refusal
	// PlannedCut tells that a planned change ended it.
	PlannedCut bool
	// SilentCut tells that it ended with neither a whole answer nor an
	// explicit error.
	SilentCut bool
}

// Withdrawal is a key's accepted withdrawal.
type Withdrawal struct {
	At     time.Time
	Key    models.KeyID
	Secret string
	Bound  time.Duration // when it has to be in force everywhere
}

// Leaving tells that a backend server was marked as leaving.
type Leaving struct {
	At      time.Time
	Backend string
	Bound   time.Duration // until when new work may still reach it
}

// AcceptedRow is an edit that was acknowledged.
type AcceptedRow struct {
	At    time.Time
	Row   models.Row
	Bound time.Duration // when it has to be in force everywhere
}

// ObservedRow is a row as a daemon had it in force; a row that it did not
// know has revision 0.
type ObservedRow struct {
	At     time.Time
	Daemon models.DaemonID
	Row    models.Row
	// Ready tells that the daemon took requests.
	Ready bool
}

// LeaseTerm is a time in which a process believed to hold a lease. Until is its
// own deadline, or when it gave the lease up.
type LeaseTerm struct {
	Lease  models.LeaseName
	Daemon models.DaemonID
	Fence  uint64
	From   time.Time
	Until  time.Time
}

// EngineOrder records an order's effect.
func (h *History) EngineOrder(order EngineOrder) { record(h, &h.engineOrders, order) }

// ServerOrder records an accepted order of backend servers.
func (h *History) ServerOrder(order ServerOrder) { record(h, &h.serverOrders, order) }

// UsageReport records an accepted usage report.
func (h *History) UsageReport(report models.UsageReport) { record(h, &h.usageReports, report) }

// Run records the start of a request at a backend server.
func (h *History) Run(run Run) { record(h, &h.runs, run) }

// Answer records the end of a request.
func (h *History) Answer(answer Answer) { record(h, &h.answers, answer) }

// Withdrawal records a key's accepted withdrawal.
func (h *History) Withdrawal(withdrawal Withdrawal) { record(h, &h.withdrawals, withdrawal) }

// Leaving records that a backend server leaves.
func (h *History) Leaving(leaving Leaving) { record(h, &h.leavings, leaving) }

// Accepted records an acknowledged edit.
func (h *History) Accepted(row AcceptedRow) { record(h, &h.accepted, row) }

// Observed records a row as a daemon had it in force.
func (h *History) Observed(row ObservedRow) { record(h, &h.observed, row) }

// LeaseTerm records that a process believed to hold a lease.
func (h *History) LeaseTerm(charge LeaseTerm) { record(h, &h.leaseTerms, charge) }

func record[T any](h *History, list *[]T, entry T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = append(*list, entry)
}
