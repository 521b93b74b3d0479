package control

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"quincewinch/models"
)

const (
	// maxCandidateReportAge is the maximum age of a daemon's latest report for the
	// daemon to count as a candidate.
	maxCandidateReportAge = 3 * time.Second
	// maxRank caps the rank, and so how long a candidate waits for better-ranked
	// ones.
	maxRank = 4
	// maxRebalanceDoublings bounds the backoff between two moves of a lease.
	maxRebalanceDoublings = 6
)

// candidates returns the daemons that can hold leases, as far as this one knows,
// itself included. An incorrect list affects only how fast leases change hands,
// not safety.
func (l *Leases) candidates() []Candidate {
	candidates := []Candidate{l.self}
	if l.reports == nil {
		return candidates
	}
	now := l.clock.Now()
	for _, r := range l.reports.Reports() {
		report := r.Report
		if report.Daemon == l.self.Daemon || report.Draining || report.StoreOutage > 0 || now.Sub(r.ReceivedAt) > maxCandidateReportAge {
			continue
		}
		candidates = append(candidates, Candidate{Daemon: report.Daemon, Zone: report.Zone})
	}
	return candidates
}

// leaseRank returns how many candidates precede self for a lease, at most
// maxRank. Candidates are ordered by rendezvous hashing, those in the lease's own
// zone first.
func leaseRank(name models.LeaseName, self Candidate, candidates []Candidate) int {
	preceding := 0
	for _, c := range candidates {
		if c != self && precedes(name, c, self) {
			preceding++
		}
	}
	return min(preceding, maxRank)
}

func precedes(name models.LeaseName, a, b Candidate) bool {
	nearA := name == models.EngineLease(a.Zone)
	nearB := name == models.EngineLease(b.Zone)
	if nearA != nearB {
		return nearA
	}
	return score(name, a) > score(name, b)
}

func score(name models.LeaseName, c Candidate) uint64 {
	return xxhash.Sum64String(string(name) + "\x00" + string(c.Daemon))
}
