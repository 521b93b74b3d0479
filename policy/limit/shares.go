// Package limit enforces the limits of workspaces across all daemons without a
// round trip: each daemon applies a share of each limit, in proportion to the
// demand that it receives.
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
	// demandSmoothing is the time constant of the moving average of a daemon's
	// demand.
	demandSmoothing = 5 * time.Second
	// evenShare is the part of each limit that is divided evenly, so that a
	// daemon can serve some of the first requests that it receives.
	evenShare = 0.2
	// raiseDelay is the time until a raised share is used: by then, the other
	// daemons have lowered theirs.
	raiseDelay = 3 * time.Second
	// joinDelay is how long a daemon waits after its start for the reports of
	// all others, and joinShare is its share until then.
	joinDelay = 3 * time.Second
	joinShare = 0.1
	// maxReportAge is the age of its last report up to which a daemon counts as
	// connected.
	maxReportAge = 3 * time.Second
)

// Shares divides limits between daemons. All daemons compute the same division
// from the reports that they have of each other. A raised share is used after
// raiseDelay, a lowered one at once. The share of a partitioned daemon stays
// reserved for it, and a daemon that receives no reports keeps its own.
type Shares struct {
	self         models.DaemonID
	tracker      *demand.Tracker[models.Workspace]
	fresh        map[models.DaemonID]bool                         // daemons with a recent report, and this one
	lastShares   map[models.DaemonID]map[models.Workspace]float64 // as of each daemon's last report
	lastReportAt map[models.DaemonID]time.Time
	windows      map[models.Workspace]*minWindow
	started      time.Time
}

// minWindow keeps the smallest share over a sliding window of two periods, each
// half of raiseDelay long.
type minWindow struct {
	startedAt         time.Time // of the current period
	previous, current float64   // smallest share in each period
}

// NewShares returns the shares of a daemon without reports of others.
func NewShares(self models.DaemonID) *Shares {
	return &Shares{
		self:         self,
		tracker:      demand.NewTracker[models.Workspace](demandSmoothing),
		fresh:        map[models.DaemonID]bool{self: true},
		lastShares:   map[models.DaemonID]map[models.Workspace]float64{},
		lastReportAt: map[models.DaemonID]time.Time{},
		windows:      map[models.Workspace]*minWindow{},
	}
}

// Update recomputes the shares from this daemon's counts and the others' latest
// reports.
func (s *Shares) Update(own map[models.Workspace]models.WorkDone, reports []models.PeerReport, now time.Time) {
	if s.started.IsZero() {
		s.started = now
	}
	known := map[models.DaemonID]bool{s.self: true}
	fresh := map[models.DaemonID]bool{s.self: true}
	updated := map[models.DaemonID]bool{s.self: true}
	s.tracker.Observe(s.self, now, offeredTotals(own))
	for _, report := range reports {
		daemon := report.Report.Daemon
		known[daemon] = true
		fresh[daemon] = now.Sub(report.ReceivedAt) <= maxReportAge
		s.tracker.Observe(daemon, report.ReceivedAt, offeredTotals(report.Report.Work))
		updated[daemon] = !s.lastReportAt[daemon].Equal(report.ReceivedAt)
		s.lastReportAt[daemon] = report.ReceivedAt
	}
	s.tracker.Keep(known)
	maps.DeleteFunc(s.lastShares, func(daemon models.DaemonID, _ map[models.Workspace]float64) bool {
		return !known[daemon]
	})
	maps.DeleteFunc(s.lastReportAt, func(daemon models.DaemonID, _ time.Time) bool { return !known[daemon] })
	maps.DeleteFunc(fresh, func(_ models.DaemonID, ok bool) bool { return !ok })
	s.fresh = fresh
	if len(known) > 1 && len(fresh) == 1 {
		return // no other daemon is connected: all shares stay as they are
	}
	for workspace := range own {
		s.divide(workspace, known, updated, now)
	}
}

func offeredTotals(work map[models.Workspace]models.WorkDone) map[models.Workspace]demand.Totals {
	totals := map[models.Workspace]demand.Totals{}
	for workspace, done := range work {
		totals[workspace] = demand.Totals{Requests: done.Requests + done.Refused}
	}
	return totals
}

// divide computes each connected daemon's share of a workspace's limits. A
// daemon's share is only updated with a new report from it: without one, the
// daemon may not compute the same share itself.
func (s *Shares) divide(workspace models.Workspace, known, updated map[models.DaemonID]bool, now time.Time) {
	available := 1.0
	var totalDemand float64
	for _, daemon := range slices.Sorted(maps.Keys(known)) {
		if s.fresh[daemon] {
			totalDemand += s.tracker.Rate(daemon, workspace).Requests
			continue
		}
		available -= s.lastShares[daemon][workspace]
	}
	for daemon := range s.fresh {
		if !updated[daemon] {
			continue
		}
		share := 1 / float64(len(s.fresh))
		if totalDemand > 0 {
			byDemand := s.tracker.Rate(daemon, workspace).Requests / totalDemand
			share = evenShare*share + (1-evenShare)*byDemand
		}
		if s.lastShares[daemon] == nil {
			s.lastShares[daemon] = map[models.Workspace]float64{}
		}
		s.lastShares[daemon][workspace] = max(available, 0) * share
	}
	if w := s.window(workspace, now); now.Sub(s.started) >= joinDelay {
		w.observe(s.lastShares[s.self][workspace], now)
	}
}

// Share returns this daemon's share of a workspace's limits, 0 to 1.
func (s *Shares) Share(workspace models.Workspace, now time.Time) float64 {
	return s.window(workspace, now).share()
}

// IntShare returns this daemon's share of an integer limit. The shares of all
// daemons add up to the limit if they have the same reports.
func (s *Shares) IntShare(workspace models.Workspace, limit int, now time.Time) int {
	share := s.Share(workspace, now)
	if len(s.lastShares) < 2 {
		return int(math.Floor(share*float64(limit) + roundingTolerance))
	}
	return min(s.largestRemainder(workspace, limit), int(math.Ceil(share*float64(limit))))
}

// roundingTolerance keeps a share of 1 from being rounded down to less than the
// whole limit when its floating-point sum is slightly below 1.
const roundingTolerance = 1e-9

// largestRemainder rounds all daemons' shares by the largest remainder method
// and returns this daemon's.
func (s *Shares) largestRemainder(workspace models.Workspace, limit int) int {
	daemons := slices.Sorted(maps.Keys(s.lastShares))
	remainder := func(daemon models.DaemonID) float64 {
		_, fraction := math.Modf(s.lastShares[daemon][workspace] * float64(limit))
		return fraction
	}
	left := limit
	for _, daemon := range daemons {
		left -= int(s.lastShares[daemon][workspace] * float64(limit))
	}
	slices.SortStableFunc(daemons, func(a, b models.DaemonID) int {
		return cmp.Compare(remainder(b), remainder(a))
	})
	own := int(s.lastShares[s.self][workspace] * float64(limit))
	if slices.Index(daemons, s.self) < left {
		own++
	}
	return own
}

func (s *Shares) window(workspace models.Workspace, now time.Time) *minWindow {
	w, ok := s.windows[workspace]
	if !ok {
		initial := joinShare
		if !s.started.IsZero() && now.Sub(s.started) >= joinDelay {
			initial = 1 / float64(len(s.fresh))
		}
		w = &minWindow{startedAt: now, previous: initial, current: initial}
		s.windows[workspace] = w
	}
	return w
}

func (w *minWindow) observe(share float64, now time.Time) {
	if now.Sub(w.startedAt) >= raiseDelay/2 {
		w.previous = w.current
		w.current = share
		w.startedAt = now
	}
	w.current = min(w.current, share)
}

func (w *minWindow) share() float64 {
	return min(w.previous, w.current)
}
