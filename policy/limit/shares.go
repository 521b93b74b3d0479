// Package limit keeps the limits of workspaces over all daemons, without a
// round trip: each daemon has a share of each limit, by the demand it meets.
package limit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"quincewinch/models"
	"quincewinch/policy/demand"
)

const (
	// smoothing is the time over which a daemon's demand forgets.
	smoothing = 5 * time.Second
	// evenPart is the part of each limit that is shared evenly, so that a
	// daemon that meets its first requests can serve some.
	evenPart = 0.2
	// hold is how long a share has to have been higher before the rise is
	// used: the other daemons have lowered theirs by then.
	hold = 3 * time.Second
	// joining is how long a daemon that has started waits for the reports of
	// all others, and joiningShare is its share until then.
	joining      = 3 * time.Second
	joiningShare = 0.1
	// freshReport is how old the report of a daemon may be that counts as
	// connected.
	freshReport = 3 * time.Second
)

// Shares divides limits between daemons. All daemons divide alike by the
// reports that they have of each other. A share that rises is used after a
// while, one that falls at once. The share of a daemon that is cut off is left
// to it, and a daemon that is cut off from all others keeps its own.
type Shares struct {
	self       models.DaemonID
	tracker    *demand.Tracker[models.Workspace]
	fresh      map[models.DaemonID]bool                         // daemons whose reports arrive, this one included
	last       map[models.DaemonID]map[models.Workspace]float64 // as of each daemon's last report
	heard      map[models.DaemonID]time.Time
	workspaces map[models.Workspace]*window
	started    time.Time
}

// window keeps the least share of the latest time.
type window struct {
	since         time.Time
	before, least float64 // of the period before, and of this one
}

// NewShares returns the shares of a daemon that knows of no other.
func NewShares(self models.DaemonID) *Shares {
	return &Shares{
		self:       self,
		tracker:    demand.NewTracker[models.Workspace](smoothing),
		fresh:      map[models.DaemonID]bool{self: true},
		last:       map[models.DaemonID]map[models.Workspace]float64{},
		heard:      map[models.DaemonID]time.Time{},
		workspaces: map[models.Workspace]*window{},
	}
}

// Learn takes in this daemon's counts and the others' latest reports.
func (s *Shares) Learn(own map[models.Workspace]models.WorkDone, reports []models.PeerReport, now time.Time) {
	if s.started.IsZero() {
		s.started = now
	}
	known := map[models.DaemonID]bool{s.self: true}
	fresh := map[models.DaemonID]bool{s.self: true}
	news := map[models.DaemonID]bool{s.self: true}
	s.tracker.Observe(s.self, now, offered(own))
	for _, report := range reports {
		daemon := report.Report.Daemon
		known[daemon] = true
		fresh[daemon] = now.Sub(report.ReceivedAt) <= freshReport
		s.tracker.Observe(daemon, report.ReceivedAt, offered(report.Report.Work))
		news[daemon] = !s.heard[daemon].Equal(report.ReceivedAt)
		s.heard[daemon] = report.ReceivedAt
	}
	s.tracker.Keep(known)
	maps.DeleteFunc(s.last, func(daemon models.DaemonID, _ map[models.Workspace]float64) bool {
		return !known[daemon]
	})
	maps.DeleteFunc(s.heard, func(daemon models.DaemonID, _ time.Time) bool { return !known[daemon] })
	maps.DeleteFunc(fresh, func(_ models.DaemonID, ok bool) bool { return !ok })
	s.fresh = fresh
	if len(known) > 1 && len(fresh) == 1 {
		return // cut off: all shares stay as they are
	}
	for workspace := range own {
		s.divide(workspace, known, news, now)
	}
}

func offered(work map[models.Workspace]models.WorkDone) map[models.Workspace]demand.Totals {
	totals := map[models.Workspace]demand.Totals{}
	for workspace, done := range work {
		totals[workspace] = demand.Totals{Requests: done.Requests + done.Refused}
	}
	return totals
}

// divide computes each daemon's share of a workspace's limits. The share of a
// daemon is noted as of its last report: what is reckoned after that, it may
// not have reckoned alike.
func (s *Shares) divide(workspace models.Workspace, known, news map[models.DaemonID]bool, now time.Time) {
	left := 1.0
	var demands float64
	for _, daemon := range slices.Sorted(maps.Keys(known)) {
		if s.fresh[daemon] {
			demands += s.tracker.Rate(daemon, workspace).Requests
			continue
		}
		left -= s.last[daemon][workspace]
	}
	for daemon := range s.fresh {
		if !news[daemon] {
			continue
		}
		part := 1 / float64(len(s.fresh))
		if demands > 0 {
			byDemand := s.tracker.Rate(daemon, workspace).Requests / demands
			part = evenPart*part + (1-evenPart)*byDemand
		}
		if s.last[daemon] == nil {
			s.last[daemon] = map[models.Workspace]float64{}
		}
		s.last[daemon][workspace] = max(left, 0) * part
	}
	if w := s.window(workspace, now); now.Sub(s.started) >= joining {
		w.add(s.last[s.self][workspace], now)
	}
}

// Share returns this daemon's share of a workspace's limits, 0 to 1.
func (s *Shares) Share(workspace models.Workspace, now time.Time) float64 {
	return s.window(workspace, now).share()
}

// Whole returns this daemon's share of a limit that is a whole number. The
// shares of all daemons sum up to the limit where they know the same.
func (s *Shares) Whole(workspace models.Workspace, limit int, now time.Time) int {
	share := s.Share(workspace, now)
	if len(s.last) < 2 {
		return int(math.Floor(share*float64(limit) + rounding))
	}
	return min(s.byRemainder(workspace, limit), int(math.Ceil(share*float64(limit))))
}

// rounding keeps a share of one from losing a whole to inexact sums.
const rounding = 1e-9

// byRemainder rounds all daemons' shares by the largest remainder and returns
// this one's.
func (s *Shares) byRemainder(workspace models.Workspace, limit int) int {
	daemons := slices.Sorted(maps.Keys(s.last))
	remainder := func(daemon models.DaemonID) float64 {
		_, fraction := math.Modf(s.last[daemon][workspace] * float64(limit))
		return fraction
	}
	left := limit
	for _, daemon := range daemons {
		left -= int(s.last[daemon][workspace] * float64(limit))
	}
	slices.SortStableFunc(daemons, func(a, b models.DaemonID) int {
		return cmp.Compare(remainder(b), remainder(a))
	})
	own := int(s.last[s.self][workspace] * float64(limit))
	if slices.Index(daemons, s.self) < left {
		own++
	}
	return own
}

func (s *Shares) window(workspace models.Workspace, now time.Time) *window {
	w, ok := s.workspaces[workspace]
	if !ok {
		first := joiningShare
		if !s.started.IsZero() && now.Sub(s.started) >= joining {
			first = 1 / float64(len(s.fresh))
		}
		w = &window{since: now, before: first, least: first}
		s.workspaces[workspace] = w
	}
	return w
}

func (w *window) add(share float64, now time.Time) {
	if now.Sub(w.since) >= hold/2 {
		w.before = w.least
		w.least = share
		w.since = now
	}
	w.least = min(w.least, share)
}

func (w *window) share() float64 {
	return min(w.before, w.least)
}
