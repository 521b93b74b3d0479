// Package blame finds the prompt parts that crash engines, and the requests that do so
// as a whole, which count as one more part. A part that does so crashes each engine that
// begins to answer on it, so it is in a request of each of these crashes, and no request
// with it is answered to its end.
package blame

import (
	"cmp"
	"time"

	"quincewinch/models"
)

const (
	// minCrashes is the number of separate crashes from which a part is blamed.
	minCrashes = 3
	// minServedCrashes is the same for a part with which requests were answered
	// before the first crash.
	minServedCrashes = 4
	// minSeparation is the time after which a crash is separate from the one before,
	// whenever its request was sent. Engines that crash together do so at once.
	minSeparation = 500 * time.Millisecond
	// jointTime is the time within which engines crash for one reason of their own. A
	// request that comes again crashes them at different times, or the same time after
	// it was sent to each.
	jointTime = 10 * time.Millisecond
	// minRequests is the number of different requests with the part in them, for a
	// request as a whole how often it must have come.
	minRequests = 2
)

// Crash is the moment at which a process of an engine broke off its requests.
type Crash struct {
	Process Process
	At      time.Time
	Runs    []Run
	byRuns  bool // the engine crashed on one of the runs: its request is blocked
}

// Process is a process of an engine.
type Process struct {
	Engine  models.EngineID
	Started int64 // in nanoseconds since the Unix epoch
}

// Run is a request that was broken off by a crash.
type Run struct {
	Request models.RequestHash
	SentAt  time.Time
	Parts   []models.SuspectPart
}

// whole returns the request as a whole; 0 if it is not known.
func (r Run) whole() models.PartID {
	if n := len(r.Parts); n > 0 && r.Parts[n-1].Whole {
		return r.Parts[n-1].ID
	}
	return 0
}

// key tells the requests apart that count for a part: by what they are or, for a request
// as a whole and where that is not known, by their IDs.
func (r Run) key(of models.SuspectPart) uint64 {
	if id := r.whole(); !of.Whole && id != 0 {
		return uint64(id)
	}
	return uint64(r.Request)
}

// Finding is a part that crashes engines.
type Finding struct {
	Part      models.PartID
	Whole     bool // it is a request as a whole
	Crashes   int  // separate ones
	Requests  int
	LastCrash time.Time
}

// suspect is what the crashes that nothing explains tell of a part.
type suspect struct {
	part     models.PartID
	whole    bool
	served   bool
	crashes  int // separate ones: later, or by a request that was sent after the one before
	involved int // all crashes with a request that had the part
	runs     int
	counted  *Run // the last of runs
	position int  // of the part in the prompts, the highest
	last     time.Time
	age      time.Duration   // of the run at the crash that was counted last
	requests map[uint64]bool // those that are the same count once for a part
	// processes are those whose crash has been counted: none crashes twice, but one may
	// reset connections again and again.
	processes map[Process]bool
}

func (s *suspect) guilty() bool {
	needed := minCrashes
	if s.served {
		needed = minServedCrashes
	}
	return s.crashes >= needed && len(s.requests) >= minRequests
}

// separate reports whether a crash is separate from the one that was counted last. For
// a part that was served before, a request must have been sent in between: while no
// engine can be reached, connections to all of them break off, one after the other.
// A request that comes again at once may crash several engines together.
func (s *suspect) separate(crash Crash, run Run) bool {
	if s.whole && !s.served && s.crashes > 0 {
		return crash.At.Sub(s.last) >= jointTime || (crash.At.Sub(run.SentAt)-s.age).Abs() < jointTime
	}
	return !run.SentAt.Before(s.last) || !s.served && crash.At.Sub(s.last) >= minSeparation
}

// Find returns the part that explains the crashes best, if there is one that has
// to be blamed. Crashes are in order of time; those with a blocked part are
// explained by it. Sound has, for parts with which a request was answered to its
// end, when that answer began: crashes before it do not count against the part.
func Find(crashes []Crash, sound map[models.PartID]time.Time, blocked func(models.PartID) bool) (Finding, bool) {
	var best *suspect
	for _, s := range accused(crashes, sound, blocked) {
		if s.guilty() && !blocked(s.part) && (best == nil || compare(s, best) < 0) {
			best = s
		}
	}
	if best == nil {
		return Finding{}, false
	}
	return Finding{Part: best.part, Whole: best.whole, Crashes: best.crashes, Requests: len(best.requests), LastCrash: best.last}, true
}

// Supports reports whether the crashes that no other blocked part explains suffice to
// blame a part.
func Supports(crashes []Crash, sound map[models.PartID]time.Time, blocked func(models.PartID) bool, part models.PartID) bool {
	others := func(other models.PartID) bool { return other != part && blocked(other) }
	s := accused(crashes, sound, others)[part]
	return s != nil && s.guilty()
}

// accused returns what the crashes that nothing blocked explains tell of each part.
func accused(crashes []Crash, sound map[models.PartID]time.Time, blocked func(models.PartID) bool) map[models.PartID]*suspect {
	var left []Crash
	for _, crash := range crashes {
		if crash = unexplained(crash, blocked); len(crash.Runs) > 0 {
			left = append(left, crash)
		}
	}
	suspects := map[models.PartID]*suspect{}
	joint := groups(left, sound)
	for i, crash := range left {
		accuse(suspects, crash, joint[i], sound)
	}
	return suspects
}

// unexplained returns what of a crash nothing that is blocked explains. A blocked part
// explains all of it. A blocked request explains the others that were broken off, but
// not its own parts: it may be one of these that crashes engines.
func unexplained(crash Crash, blocked func(models.PartID) bool) Crash {
	var runs []Run
	for _, run := range crash.Runs {
		for _, part := range run.Parts {
			switch {
			case !blocked(part.ID):
			case part.Whole:
				runs = append(runs, run)
			default:
				return Crash{Process: crash.Process, At: crash.At}
			}
		}
	}
	if len(runs) > 0 {
		crash.Runs = runs
		crash.byRuns = true
	}
	return crash
}

// accuse counts a crash against the parts of the requests that it broke off.
// Engines that crash together count once, as the requests at them were sent before, unless
// one part is all that the requests at them have in common.
func accuse(suspects map[models.PartID]*suspect, crash Crash, joint *group, sound map[models.PartID]time.Time) {
	counted := map[models.PartID]bool{}
	involved := map[models.PartID]bool{}
	for i, run := range crash.Runs {
		for position, part := range run.Parts {
			if at, ok := sound[part.ID]; ok && !crash.At.After(at) {
				continue
			}
			s := suspects[part.ID]
			if s == nil {
				s = &suspect{part: part.ID, whole: part.Whole, requests: map[uint64]bool{}, processes: map[Process]bool{}}
				suspects[part.ID] = s
			}
			s.served = s.served || part.Served
			s.position = max(s.position, position)
			s.requests[run.key(part)] = true
			if s.counted != &crash.Runs[i] {
				s.counted = &crash.Runs[i]
				s.runs++
			}
			if !involved[part.ID] {
				involved[part.ID] = true
				s.involved++
			}
			if counted[part.ID] || s.processes[crash.Process] {
				continue
			}
			if joint.separate(crash, part.ID) || crash.byRuns || s.separate(crash, run) {
				counted[part.ID] = true
				s.processes[crash.Process] = true
				s.crashes++
				s.age = crash.At.Sub(run.SentAt)
			}
		}
	}
	for id := range counted {
		suspects[id].last = crash.At
	}
}

// compare orders suspects: first those with which nothing was ever answered, those
// that are in more of the crashes, and those that are in fewer requests: all
// requests of a kind may share a part that is sound.
func compare(a, b *suspect) int {
	switch {
	case a.served != b.served && b.served:
		return -1
	case a.served != b.served:
		return 1
	}
	return cmp.Or(
		cmp.Compare(b.involved, a.involved),
		cmp.Compare(a.runs, b.runs),
		cmp.Compare(b.position, a.position),
		cmp.Compare(a.part, b.part),
	)
}
