package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// resumeMargin is how long after a pause the calls of a daemon do not count: they
// were on their way before.
const resumeMargin = 300 * time.Millisecond

// checker holds what callers and backend servers saw against what is promised.
type checker struct {
	world      *world
	replies    []reply
	runs       map[string][]string // by request: the backend servers that ran it
	violations []string
}

func newChecker(w *world, callers []*caller) *checker {
	j := &checker{world: w, runs: map[string][]string{}}
	for _, c := range callers {
		j.replies = append(j.replies, c.recordedReplies()...)
	}
	for _, b := range w.backends {
		for _, run := range b.server.Runs() {
			j.runs[run.ID] = append(j.runs[run.ID], b.id)
			if run.Key != "" {
				j.violationf("a key reached backend server %s in request %s", b.id, run.ID)
			}
			if run.Body != "body of "+run.ID {
				j.violationf("request %s reached %s with the body %q", run.ID, b.id, run.Body)
			}
		}
	}
	return j
}

func (j *checker) violationf(format string, values ...any) {
	j.violations = append(j.violations, fmt.Sprintf(format, values...))
}

// checkAll checks every promise and returns those that were broken.
func (j *checker) checkAll() []string {
	for _, r := range j.replies {
		j.checkNonIdempotent(r)
		j.checkRefusal(r)
		j.checkResponse(r)
		j.checkKeys(r)
	}
	j.checkRetryBudget("llm", kindDraft)
	j.checkRetryBudget("desk", kindReserve, kindLookup)
	j.checkLeaseHolders()
	j.checkUsageReports()
	for _, daemon := range j.world.daemons {
		j.violations = append(j.violations, daemon.recordedFailures()...)
	}
	return j.violations
}

// once: what must not run twice does not.
func (j *checker) checkNonIdempotent(r reply) {
	if r.kind == kindReserve && len(j.runs[r.id]) > 1 {
		j.violationf("request %s ran %d times, at %v", r.id, len(j.runs[r.id]), j.runs[r.id])
	}
}

// truthful: what is refused has not run.
func (j *checker) checkRefusal(r reply) {
	switch r.status {
	case http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if ran := j.runs[r.id]; len(ran) > 0 {
			j.violationf("request %s to %s was refused with %d and ran at %v", r.id, r.daemon, r.status, ran)
		}
	}
}

// own: a good answer is that of the request, whole, in order and from a backend
// server that ran it; what was cut says so.
func (j *checker) checkResponse(r reply) {
	if r.status != http.StatusOK {
		return
	}
	if r.kind == kindDraft {
		if want := expectedStream(); r.body != want && (r.complete || !strings.HasPrefix(want, r.body)) {
			j.violationf("stream %s from %s ended properly: %t, with %q", r.id, r.daemon, r.complete, r.body)
		}
		return
	}
	for _, id := range j.runs[r.id] {
		if r.body == "answer of "+id+" to "+r.id {
			return
		}
	}
	if r.complete {
		j.violationf("request %s to %s got the answer %q; it ran at %v", r.id, r.daemon, r.body, j.runs[r.id])
	}
}

// keys: a key counts, or counts no more, in time on daemons that reach the
// store.
func (j *checker) checkKeys(r reply) {
	j.world.mu.Lock()
	withdrawn, valid := j.world.withdrawn[r.key], j.world.valid[r.key]
	j.world.mu.Unlock()
	settled := func(since time.Time) bool {
		return !since.IsZero() && r.sentAt.Sub(since) > applyTime && j.world.healthyDuring(r.daemon, since, r.sentAt)
	}
	if settled(withdrawn) && len(j.runs[r.id]) > 0 {
		j.violationf("request %s ran for %s at %s, %s after its withdrawal", r.id, r.key, r.daemon, r.sentAt.Sub(withdrawn))
	}
	if settled(valid) && withdrawn.IsZero() && r.status == http.StatusUnauthorized {
		j.violationf("request %s was refused for %s at %s, %s after it became valid", r.id, r.key, r.daemon, r.sentAt.Sub(valid))
	}
}

// retries: in no window is a service sent more than its share again.
func (j *checker) checkRetryBudget(service string, kinds ...string) {
	var sent []time.Time
	for _, r := range j.replies {
		for _, kind := range kinds {
			if r.kind == kind {
				sent = append(sent, r.sentAt)
			}
		}
	}
	var again []time.Time
	first := map[string]time.Time{}
	for _, b := range j.world.backends {
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
				again = append(again, before)
			default:
				again = append(again, a.at)
			}
		}
	}
	for _, end := range again {
		requests := 0
		for _, earlier := range []time.Duration{0, retryWindow / 2, retryWindow} {
			requests = max(requests, countInWindow(sent, end.Add(-earlier)))
		}
		if n, most := countInWindow(again, end), int(retryRatio*float64(requests))+retryReserve; n > most {
			j.violationf("%s was sent %d requests again in the window up to %s, of %d at most", service, n, end.Sub(j.world.began), most)
			return
		}
	}
}

// countInWindow counts the times in the window up to an end.
func countInWindow(times []time.Time, end time.Time) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && at.After(end.Add(-retryWindow)) {
			n++
		}
	}
	return n
}

// holders: what is done under a lease is done by one at a time.
func (j *checker) checkLeaseHolders() {
	type act struct {
		holder string
		fence  uint64
		at     time.Time
	}
	var acts []act
	for _, call := range j.world.duties.Calls() {
		if !j.resumedRecently(call.Holder, call.At) {
			acts = append(acts, act{call.Holder, call.Fence, call.At})
		}
	}
	last := map[string]time.Time{} // by holder
	for i, a := range acts {
		if i > 0 && a.fence < acts[i-1].fence {
			j.violationf("holder %s acted with fencing number %d after %d", a.holder, a.fence, acts[i-1].fence)
		}
		before, ok := last[a.holder]
		if i > 0 && acts[i-1].holder != a.holder && ok && a.at.Sub(before) < leaseTime {
			j.violationf("holder %s acted %s after its last act, with %s in between", a.holder, a.at.Sub(before), acts[i-1].holder)
		}
		last[a.holder] = a.at
	}
}

func (j *checker) resumedRecently(holder string, at time.Time) bool {
	for name, thaws := range j.world.resumedAt {
		for _, thaw := range thaws {
			if strings.HasPrefix(holder, name+"-") && !at.Before(thaw) && at.Sub(thaw) < resumeMargin {
				return true
			}
		}
	}
	return false
}

// reports: a billing window is reported with the same counts whenever it is,
// and no more is reported than ran.
func (j *checker) checkUsageReports() {
	windows := map[int64]int64{}
	for _, call := range j.world.duties.Calls() {
		var sum int64
		for _, count := range call.Counts {
			sum += count
		}
		if before, ok := windows[call.Window]; ok && before != sum {
			j.violationf("billing window %d was reported with %d and with %d", call.Window, before, sum)
		}
		windows[call.Window] = sum
	}
	var reported int64
	for _, sum := range windows {
		reported += sum
	}
	if reported > int64(len(j.runs)) {
		j.violationf("%d requests were reported, of %d that ran", reported, len(j.runs))
	}
}

// expectedStream is the body of a whole stream.
func expectedStream() string {
	var body strings.Builder
	for event := range eventsPerStream {
		fmt.Fprintf(&body, "id: %d\ndata: token %d\n\n", event+1, event+1)
	}
	return body.String()
}
