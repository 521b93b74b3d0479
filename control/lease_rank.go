package control

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"quincewinch/models"
)

const (
	// candidateAge is how old the report of a candidate may be.
	candidateAge = 3 * time.Second
	// greatestRank bounds how long a candidate lets others go first.
	greatestRank = 4
	// mostDoublings bounds the wait between two moves of a lease.
	mostDoublings = 6
)

// candidates returns the daemons that can hold leases, as far as this one
// knows; it is always among them. Only speed rests on the list being right.
func (l *Leases) candidates() []Candidate {
	candidates := []Candidate{l.self}
	if l.reports == nil {
		return candidates
	}
	now := l.clock.Now()
	for _, r := range l.reports.Reports() {
		report := r.Report
		if report.Daemon == l.self.Daemon || report.Draining || report.StoreOutage > 0 || now.Sub(r.ReceivedAt) > candidateAge {
			continue
		}
		candidates = append(candidates, Candidate{Daemon: report.Daemon, Zone: report.Zone})
	}
	return candidates
}

// leaseRank returns how many candidates come before one for a lease: by rendezvous
// hashing, those in the lease's own zone first.
func leaseRank(name models.LeaseName, self Candidate, candidates []Candidate) int {
	before := 0
	for _, c := range candidates {
		if c != self && precedes(name, c, self) {
			before++
		}
	}
	return min(before, greatestRank)
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
