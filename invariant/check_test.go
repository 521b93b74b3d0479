package invariant_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/invariant"
	"quincewinch/models"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// expectViolation checks that a history violates the invariant named want, or
// none if want is empty.
func expectViolation(t *testing.T, want string, fill func(h *invariant.History)) {
	t.Helper()
	is := is.New(t)
	h := &invariant.History{}
	fill(h)
	violations := invariant.Check(h)
	if want == "" {
		is.Equal(len(violations), 0) // no invariant is violated
		return
	}
	is.True(len(violations) > 0) // the violation is found
	is.Equal(violations[0].Invariant, want)
}

func TestCheckReportsEachViolation(t *testing.T) {
	t.Run("empty history", func(t *testing.T) {
		expectViolation(t, "", func(*invariant.History) {})
	})
	t.Run("overlapping orders", func(t *testing.T) {
		expectViolation(t, "no engine receives conflicting orders", func(h *invariant.History) {
			h.EngineOrder(invariant.EngineOrder{At: start, Finished: start.Add(time.Second), Authorised: true, Order: models.Order{ID: "a", Engine: "e"}})
			h.EngineOrder(invariant.EngineOrder{At: start, Authorised: true, Order: models.Order{ID: "b", Engine: "e"}})
		})
	})
	t.Run("interrupted by a planned change", func(t *testing.T) {
		expectViolation(t, "no request is interrupted by a planned change", func(h *invariant.History) {
			h.Answer(invariant.Answer{PlannedInterruption: true})
		})
	})
	t.Run("lower fencing number", func(t *testing.T) {
		expectViolation(t, "orders sent without a valid lease or with a stale fencing number have no effect", func(h *invariant.History) {
			h.EngineOrder(invariant.EngineOrder{Authorised: true, Order: models.Order{ID: "a", Engine: "e", Fence: 2}})
			h.EngineOrder(invariant.EngineOrder{Authorised: true, Order: models.Order{ID: "b", Engine: "e", Fence: 1}})
		})
	})
	t.Run("request after a key's withdrawal", func(t *testing.T) {
		expectViolation(t, "a request runs only for the workspace of its key, no backend server receives the key, and a withdrawn key stops working in time", func(h *invariant.History) {
			h.Withdrawal(invariant.Withdrawal{At: start, Key: "k", Bound: time.Second})
			h.Run(invariant.Run{At: start.Add(2 * time.Second), Key: "k"})
		})
	})
	t.Run("two holders of a lease", func(t *testing.T) {
		expectViolation(t, "at most one process at a time believes that it holds a lease", func(h *invariant.History) {
			h.LeaseTerm(invariant.LeaseTerm{Daemon: "a", From: start, Until: start.Add(time.Second)})
			h.LeaseTerm(invariant.LeaseTerm{Daemon: "b", From: start, Until: start.Add(time.Second)})
		})
	})
	t.Run("server order without a lease", func(t *testing.T) {
		expectViolation(t, "server orders come only from the current holder of the lease", func(h *invariant.History) {
			h.ServerOrder(invariant.ServerOrder{Order: models.ServerOrder{ID: "a"}})
		})
	})
	t.Run("different figures for a window", func(t *testing.T) {
		expectViolation(t, "no billing window is reported with different figures or by two lease holders", func(h *invariant.History) {
			h.UsageReport(models.UsageReport{ID: "a", Usage: models.Usage{Requests: 1}})
			h.UsageReport(models.UsageReport{ID: "b", Usage: models.Usage{Requests: 2}})
		})
	})
	t.Run("incomplete answer", func(t *testing.T) {
		expectViolation(t, "a caller gets the complete answer to its own request or an explicit error", func(h *invariant.History) {
			h.Answer(invariant.Answer{Text: "a", Want: "ab"})
		})
	})
	t.Run("refused as not run but ran", func(t *testing.T) {
		expectViolation(t, "a request refused as not run was not run", func(h *invariant.History) {
			h.Run(invariant.Run{Request: "r"})
			h.Answer(invariant.Answer{Request: "r", Refusal: &models.Refusal{NotRun: true}})
		})
	})
	t.Run("refused as not run but an earlier attempt ran", func(t *testing.T) {
		expectViolation(t, "a request refused as not run was not run", func(h *invariant.History) {
			h.Run(invariant.Run{At: start, Request: "r", Claim: "c"})
			h.Answer(invariant.Answer{At: start.Add(time.Second), Request: "s", Claim: "c", Refusal: &models.Refusal{NotRun: true}})
		})
	})
	t.Run("request ran twice", func(t *testing.T) {
		expectViolation(t, "a request that must not be repeated runs at most once", func(h *invariant.History) {
			h.Run(invariant.Run{Claim: "c"})
			h.Run(invariant.Run{Claim: "c"})
		})
	})
	t.Run("request at a leaving backend server", func(t *testing.T) {
		expectViolation(t, "a leaving backend server gets no new work", func(h *invariant.History) {
			h.Leaving(invariant.Leaving{At: start, Backend: "e"})
			h.Run(invariant.Run{At: start.Add(time.Second), Backend: "e"})
		})
	})
	t.Run("reverted row", func(t *testing.T) {
		expectViolation(t, "an accepted edit takes effect on all daemons in time and is never reverted", func(h *invariant.History) {
			h.Observed(invariant.ObservedRow{Row: models.Row{Revision: 2}})
			h.Observed(invariant.ObservedRow{Row: models.Row{Revision: 1}})
		})
	})
}
