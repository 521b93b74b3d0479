package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// resumeMargin is how long after a pause the calls of a daemon are ignored:
// they may have been sent before the pause.
const resumeMargin = 300 * time.Millisecond

// checker checks what callers and backend servers observed against the
// guarantees of the system.
type checker struct {
	world       *world
	replies     []reply
	limited     *limitedBackend
	withinLimit []time.Time         // arrivals at limited that count
	crashes     int                 // by the deadly request
	runs        map[string][]string // by request: IDs of the backend servers that ran it
	violations  []string
}

func newChecker(w *world, callers []*caller) *checker {
	ck := &checker{world: w, runs: map[string][]string{}}
	for _, c := range callers {
		ck.replies = append(ck.replies, c.recordedReplies()...)
	}
	for _, b := range w.backends {
		for _, run := range b.server.Runs() {
			ck.runs[run.ID] = append(ck.runs[run.ID], b.id)
			if run.Key != "" {
				ck.violationf("backend server %s received an API key in request %s", b.id, run.ID)
			}
			if run.Body != "body of "+run.ID {
				ck.violationf("request %s reached backend server %s with body %q", run.ID, b.id, run.Body)
			}
		}
	}
	return ck
}

func (ck *checker) violationf(format string, values ...any) {
	ck.violations = append(ck.violations, fmt.Sprintf(format, values...))
}

// checkAll checks every guarantee and returns the violations.
func (ck *checker) checkAll() []string {
	for _, r := range ck.replies {
		ck.checkNonIdempotent(r)
		ck.checkRefusal(r)
		ck.checkResponse(r)
		ck.checkKeys(r)
	}
	ck.checkRetryBudget("llm", kindDraft)
	ck.checkRetryBudget("desk", kindReserve, kindLookup)
	ck.checkLimits()
	ck.checkDeadly()
	ck.checkLeaseHolders()
	ck.checkUsageReports()
	for _, daemon := range ck.world.daemons {
		ck.violations = append(ck.violations, daemon.recordedFailures()...)
	}
	return ck.violations
}

// checkNonIdempotent checks that a non-idempotent request ran at most once.
func (ck *checker) checkNonIdempotent(r reply) {
	if r.kind == kindReserve && len(ck.runs[r.id]) > 1 {
		ck.violationf("non-idempotent request %s ran %d times, on %v", r.id, len(ck.runs[r.id]), ck.runs[r.id])
	}
}

// checkRefusal checks that a refused request did not run.
func (ck *checker) checkRefusal(r reply) {
	switch r.status {
	case http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if ran := ck.runs[r.id]; len(ran) > 0 {
			ck.violationf("request %s to %s was refused with status %d but ran on %v", r.id, r.daemon, r.status, ran)
		}
	}
}

// checkResponse checks that a successful answer belongs to the request, is
// complete and in order, and comes from a backend server that ran the request.
// A truncated answer must be recognizable as such.
func (ck *checker) checkResponse(r reply) {
	if r.status != http.StatusOK {
		return
	}
	if r.kind == kindDraft {
		if want := expectedStream(); r.body != want && (r.complete || !strings.HasPrefix(want, r.body)) {
			ck.violationf("stream %s from %s has a wrong body (complete: %t): %q", r.id, r.daemon, r.complete, r.body)
		}
		return
	}
	for _, id := range ck.runs[r.id] {
		if r.body == "answer of "+id+" to "+r.id {
			return
		}
	}
	if r.complete {
		ck.violationf("request %s to %s got the wrong answer %q; it ran on %v", r.id, r.daemon, r.body, ck.runs[r.id])
	}
}

// checkKeys checks that daemons that reach the store accept a new key, and
// reject a withdrawn one, within applyTime.
func (ck *checker) checkKeys(r reply) {
	ck.world.mu.Lock()
	withdrawn, valid := ck.world.withdrawn[r.key], ck.world.valid[r.key]
	ck.world.mu.Unlock()
	settled := func(since time.Time) bool {
		return !since.IsZero() && r.sentAt.Sub(since) > applyTime && ck.world.healthyDuring(r.daemon, since, r.sentAt)
	}
	if settled(withdrawn) && len(ck.runs[r.id]) > 0 {
		ck.violationf("request %s ran with %s through %s %s after the key was withdrawn", r.id, r.key, r.daemon, r.sentAt.Sub(withdrawn))
	}
	if settled(valid) && withdrawn.IsZero() && r.status == http.StatusUnauthorized {
		ck.violationf("request %s with %s was refused by %s %s after the key became valid", r.id, r.key, r.daemon, r.sentAt.Sub(valid))
	}
}

// checkRetryBudget checks that retries to a service stay within the retry
// budget in every window.
func (ck *checker) checkRetryBudget(service string, kinds ...string) {
	var sent []time.Time
	for _, r := range ck.replies {
		for _, kind := range kinds {
			if r.kind == kind {
				sent = append(sent, r.sentAt)
			}
		}
	}
	var retries []time.Time
	first := map[string]time.Time{}
	for _, b := range ck.world.backends {
		if b.service != service {
			continue
		}
		for _, a := range b.recordedArrivals() {
			before, ok := first[a.id]
			switch {
			case !ok:
				first[a.id] = a.at
			case a.at.Before(before):
				first[a.id] = a.at
				retries = append(retries, before)
			default:
				retries = append(retries, a.at)
			}
		}
	}
	for _, end := range retries {
		requests := 0
		for _, earlier := range []time.Duration{0, retryWindow / 2, retryWindow} {
			requests = max(requests, countInWindow(sent, end.Add(-earlier)))
		}
		if n, most := countInWindow(retries, end), int(retryRatio*float64(requests))+retryReserve; n > most {
			ck.violationf("service %s got %d retries in the window that ends %s after the start, more than %d", service, n, end.Sub(ck.world.began), most)
			return
		}
	}
}

// countInWindow counts the times within the retry window that ends at end.
func countInWindow(times []time.Time, end time.Time) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && at.After(end.Add(-retryWindow)) {
			n++
		}
	}
	return n
}

// checkLeaseHolders checks that only one daemon at a time acts under a lease:
// fencing numbers never decrease, and a holder does not act again within the
// lease time once another has acted.
func (ck *checker) checkLeaseHolders() {
	type act struct {
		holder string
		fence  uint64
		at     time.Time
	}
	var acts []act
	for _, call := range ck.world.duties.Calls() {
		if !ck.resumedRecently(call.Holder, call.At) {
			acts = append(acts, act{call.Holder, call.Fence, call.At})
		}
	}
	last := map[string]time.Time{} // by holder
	for i, a := range acts {
		if i > 0 && a.fence < acts[i-1].fence {
			ck.violationf("holder %s acted with fencing number %d after fencing number %d", a.holder, a.fence, acts[i-1].fence)
		}
		before, ok := last[a.holder]
		if i > 0 && acts[i-1].holder != a.holder && ok && a.at.Sub(before) < leaseTime {
			ck.violationf("holder %s acted again after %s although %s had acted in between", a.holder, a.at.Sub(before), acts[i-1].holder)
		}
		last[a.holder] = a.at
	}
}

func (ck *checker) resumedRecently(holder string, at time.Time) bool {
	for name, times := range ck.world.resumedAt {
		for _, resumed := range times {
			if strings.HasPrefix(holder, name+"-") && !at.Before(resumed) && at.Sub(resumed) < resumeMargin {
				return true
			}
		}
	}
	return false
}

// checkUsageReports checks that repeated reports of a billing window have the
// same counts, and that no more requests are reported than ran.
func (ck *checker) checkUsageReports() {
	windows := map[int64]int64{}
	for _, call := range ck.world.duties.Calls() {
		var sum int64
		for _, count := range call.Counts {
			sum += count
		}
		if before, ok := windows[call.Window]; ok && before != sum {
			ck.violationf("billing window %d was reported with %d and then with %d requests", call.Window, before, sum)
		}
		windows[call.Window] = sum
	}
	var reported int64
	for _, sum := range windows {
		reported += sum
	}
	if reported > int64(len(ck.runs)) {
		ck.violationf("%d requests were reported, but only %d ran", reported, len(ck.runs))
	}
}

// expectedStream returns the body of a complete stream.
func expectedStream() string {
	var body strings.Builder
	for event := range eventsPerStream {
		fmt.Fprintf(&body, "id: %d\ndata: token %d\n\n", event+1, event+1)
	}
	return body.String()
}
