package invariant

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"quincewinch/models"
)

// Violation is one violation of an invariant.
type Violation struct {
	Invariant string // name of the invariant
	Detail    string
}

// invariant is a named property with the check that finds its violations.
type invariant struct {
	name  string
	check func(h *History) []string
}

// invariants are all invariants, in the order in which they are checked.
var invariants = []invariant{
	{"no engine receives conflicting orders", conflictingOrders},
	{"no request is interrupted by a planned change", plannedInterruptions},
	{"orders sent without a valid lease or with a stale fencing number have no effect", staleOrders},
	{"a request runs only for the workspace of its key, no backend server receives the key, and a withdrawn key stops working in time", misusedKeys},
	{"at most one process at a time believes that it holds a lease", overlappingLeaseTerms},
	{"server orders come only from the current holder of the lease", staleServerOrders},
	{"no billing window is reported with different figures or by two lease holders", conflictingReports},
	{"a caller gets the complete answer to its own request or an explicit error", incompleteAnswers},
	{"a request refused as not run was not run", falseNotRun},
	{"a request that must not be repeated runs at most once", repeatedRuns},
	{"a leaving backend server gets no new work", runsAfterLeaving},
	{"an accepted edit takes effect on all daemons in time and is never reverted", staleRows},
}

// Check checks all invariants on a history and returns the violations.
func Check(h *History) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	var violations []Violation
	for _, p := range invariants {
		for _, detail := range p.check(h) {
			violations = append(violations, Violation{Invariant: p.name, Detail: detail})
		}
	}
	return violations
}

// conflictingOrders finds orders that reached an engine while it was executing
// another.
func conflictingOrders(h *History) []string {
	var found []string
	latest := map[models.EngineID]EngineOrder{}
	for _, o := range h.engineOrders {
		previous, seen := latest[o.Order.Engine]
		if seen && o.Order.ID != previous.Order.ID && o.At.Before(previous.Finished) {
			found = append(found, fmt.Sprintf("engine %s received order %s while order %s was in progress", o.Order.Engine, o.Order.ID, previous.Order.ID))
		}
		latest[o.Order.Engine] = o
	}
	return found
}

func plannedInterruptions(h *History) []string {
	var found []string
	for _, a := range h.answers {
		if a.PlannedInterruption {
			found = append(found, "request "+string(a.Request))
		}
	}
	return found
}

// staleOrders finds engine orders that took effect when their sender no longer
// held the lease, or after one with a higher fencing number.
func staleOrders(h *History) []string {
	var found []string
	highest := map[models.EngineID]uint64{}
	for _, o := range h.engineOrders {
		if !o.Authorised {
			found = append(found, fmt.Sprintf("order %s of %s took effect without a valid lease", o.Order.ID, o.Daemon))
		}
		if o.Order.Fence < highest[o.Order.Engine] {
			found = append(found, fmt.Sprintf("order %s with fencing number %d took effect after one with %d", o.Order.ID, o.Order.Fence, highest[o.Order.Engine]))
		}
		highest[o.Order.Engine] = max(highest[o.Order.Engine], o.Order.Fence)
	}
	return found
}

// misusedKeys finds requests that ran too long after their key was withdrawn,
// and withdrawn keys that reached a backend server.
func misusedKeys(h *History) []string {
	var found []string
	for _, w := range h.withdrawals {
		for _, r := range h.runs {
			if r.Key == w.Key && r.At.After(w.At.Add(w.Bound)) {
				found = append(found, fmt.Sprintf("request %s ran %s after key %s was withdrawn", r.Request, r.At.Sub(w.At), w.Key))
			}
			if w.Secret != "" && strings.Contains(r.Received, w.Secret) {
				found = append(found, "backend server "+r.Backend+" received the key of request "+string(r.Request))
			}
		}
	}
	return found
}

// overlappingLeaseTerms finds terms of a lease that overlap or whose fencing
// numbers decrease.
func overlappingLeaseTerms(h *History) []string {
	var found []string
	latest := map[models.LeaseName]LeaseTerm{}
	for _, c := range h.leaseTerms {
		previous, seen := latest[c.Lease]
		if seen && previous.Daemon != c.Daemon && c.From.Before(previous.Until) {
			found = append(found, fmt.Sprintf("%s and %s both believed that they held lease %s", previous.Daemon, c.Daemon, c.Lease))
		}
		if seen && c.Fence < previous.Fence {
			found = append(found, fmt.Sprintf("fencing number %d of lease %s after %d", c.Fence, c.Lease, previous.Fence))
		}
		latest[c.Lease] = c
	}
	return found
}

func staleServerOrders(h *History) []string {
	var found []string
	var highest uint64
	for _, o := range h.serverOrders {
		if !o.Authorised {
			found = append(found, fmt.Sprintf("order %s of %s was accepted without a valid lease", o.Order.ID, o.Daemon))
		}
		if o.Order.Fence < highest {
			found = append(found, fmt.Sprintf("order %s with fencing number %d was accepted after one with %d", o.Order.ID, o.Order.Fence, highest))
		}
		highest = max(highest, o.Order.Fence)
	}
	return found
}

func conflictingReports(h *History) []string {
	type window struct {
		workspace models.Workspace
		start     time.Time
	}
	var found []string
	var highest uint64
	first := map[window]models.UsageReport{}
	for _, r := range h.usageReports {
		w := window{r.Workspace, r.Window.UTC()}
		old, seen := first[w]
		if seen && (old.Usage != r.Usage || !reflect.DeepEqual(old.Adjustments, r.Adjustments)) {
			found = append(found, fmt.Sprintf("workspace %s, window %s: reported with different figures", r.Workspace, r.Window))
		}
		if !seen && r.Fence < highest {
			found = append(found, fmt.Sprintf("report %s with fencing number %d was accepted after one with %d", r.ID, r.Fence, highest))
		}
		if !seen {
			first[w] = r
		}
		highest = max(highest, r.Fence)
	}
	return found
}

func incompleteAnswers(h *History) []string {
	var found []string
	for _, a := range h.answers {
		if a.SilentlyTruncated {
			found = append(found, "request "+string(a.Request)+" ended with neither a complete answer nor an error")
		}
		if a.Refusal == nil && !a.SilentlyTruncated && a.Text != a.Want {
			found = append(found, fmt.Sprintf("request %s got %q, want %q", a.Request, a.Text, a.Want))
		}
	}
	return found
}

// falseNotRun finds requests that were refused as not run although they ran, or
// although a request with the same claim ran before the refusal.
func falseNotRun(h *History) []string {
	var found []string
	for _, a := range h.answers {
		if a.Refusal == nil || !a.Refusal.NotRun {
			continue
		}
		for _, r := range h.runs {
			repeated := a.Claim != "" && r.Claim == a.Claim && !r.At.After(a.At)
			if r.Request == a.Request || repeated {
				found = append(found, "request "+string(a.Request)+" was refused as not run but ran at "+r.Backend)
			}
		}
	}
	return found
}

func repeatedRuns(h *History) []string {
	var found []string
	count := map[string]int{}
	for _, r := range h.runs {
		if r.Claim == "" {
			continue
		}
		count[r.Claim]++
		if count[r.Claim] == 2 {
			found = append(found, "request with claim "+r.Claim+" ran twice")
		}
	}
	return found
}

func runsAfterLeaving(h *History) []string {
	var found []string
	for _, l := range h.leavings {
		for _, r := range h.runs {
			if r.Backend == l.Backend && r.At.After(l.At.Add(l.Bound)) {
				found = append(found, fmt.Sprintf("request %s reached %s %s after it was marked as leaving", r.Request, l.Backend, r.At.Sub(l.At)))
			}
		}
	}
	return found
}

// staleRows finds daemons that went back to an older revision of a row, or that
// did not have an accepted edit in time.
func staleRows(h *History) []string {
	type daemonRow struct {
		daemon models.DaemonID
		key    models.RowKey
	}
	var found []string
	highest := map[daemonRow]models.Revision{}
	for _, o := range h.observed {
		p := daemonRow{o.Daemon, o.Row.Key}
		if o.Row.Revision < highest[p] {
			found = append(found, fmt.Sprintf("%s went back from revision %d to %d of row %s", o.Daemon, highest[p], o.Row.Revision, o.Row.Key.Name))
		}
		highest[p] = max(highest[p], o.Row.Revision)
		found = append(found, overdueRows(h, o)...)
	}
	return found
}

// overdueRows finds the accepted edits that a ready daemon should have had when
// it was observed with an older revision of the row.
func overdueRows(h *History, o ObservedRow) []string {
	var found []string
	for _, a := range h.accepted {
		due := a.At.Add(a.Bound)
		if o.Ready && a.Row.Key == o.Row.Key && o.At.After(due) && o.Row.Revision < a.Row.Revision {
			found = append(found, fmt.Sprintf("%s still had revision %d of row %s, %s after %d was accepted",
				o.Daemon, o.Row.Revision, a.Row.Key.Name, o.At.Sub(a.At), a.Row.Revision))
		}
	}
	return found
}
