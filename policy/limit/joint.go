package limit

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"quincewinch/models"
)

const (
	// silentAfter is how long after its last report a daemon, or a zone, counts as out
	// of touch.
	silentAfter = 2500 * time.Millisecond
	// startPeriod is how long after its start a daemon cannot tell that a limit has not
	// been used.
	startPeriod = 10 * time.Second
	// pressedPart is the part of a limit from which on what is offered is reported soon,
	// for pressedPeriod.
	pressedPart   = 0.8
	pressedPeriod = 500 * time.Millisecond
	// idleRetention is how long a workspace that has used nothing is remembered.
	idleRetention = 30 * time.Second
	// reportRetention is how long a workspace is reported after its last request.
	reportRetention = 10 * time.Second
	// maxReported bounds the workspaces in one report: those that use most.
	maxReported = 2000
	// minHorizon and maxHorizon bound the time in which an excess or a rest of a limit
	// is worked off; horizonIntervals is that time in intervals between reports, so
	// that all daemons have heard of what has been admitted.
	minHorizon       = 300 * time.Millisecond
	maxHorizon       = 4 * time.Second
	horizonIntervals = 3
	// intervalWeight is the weight of the latest interval in their moving average.
	intervalWeight = 0.1
	// initialInterval is assumed until reports have arrived.
	initialInterval = 200 * time.Millisecond
)

// MaxRequestPeriod is the time in which a limit has to allow, beside its burst, what a single
// request counts.
const MaxRequestPeriod = 4 * time.Second

// Group is the daemons that share limits, as one of them hears of them.
type Group struct {
	// Sources are the numbers of daemons behind each sender of reports: one daemon, or
	// another zone. This daemon is not among them.
	Sources map[models.DaemonID]int
	// Zone holds the senders that are daemons of the same zone.
	Zone map[models.DaemonID]bool
	// Listed states that all daemons that there are have been read since the start.
	Listed bool
}

// Joint holds the limits of workspaces over all daemons together. Each daemon keeps a
// bucket of the whole limit, fed by its own admissions and by what the others report.
// While the bucket has room for all that is offered to all daemons until the next
// reports, all of it is admitted; otherwise each daemon admits the same part of it.
type Joint struct {
	settings   JointSettings
	startedAt  time.Time
	group      Group
	parts      map[models.DaemonID]float64 // of the daemons, by source
	contacts   map[models.DaemonID]*contact
	limits     map[models.Workspace]models.RateLimit
	workspaces map[models.Workspace]*jointRate
	pressedAt  time.Time
	interval   time.Duration // mean, between two reports of a source
	random     *rand.Rand
}

// contact is when a source was heard of.
type contact struct {
	heardAt time.Time
	silent  bool
}

// JointSettings configures a Joint.
type JointSettings struct {
	// Filled states that no daemon has admitted anything before: otherwise the limits
	// count as used up at first.
	Filled bool
	// Over is the share by which the daemons together may exceed a limit. While some are
	// out of touch, those in touch use half of it.
	Over float64
	Seed uint64
}

// NewJoint returns the limits as a daemon without reports of others holds them.
func NewJoint(settings JointSettings, now time.Time) *Joint {
	return &Joint{
		settings:   settings,
		startedAt:  now,
		contacts:   map[models.DaemonID]*contact{},
		workspaces: map[models.Workspace]*jointRate{},
		interval:   initialInterval,
		random:     rand.New(rand.NewPCG(settings.Seed, 1)),
	}
}

// SetGroup sets the daemons that share the limits. Those that have not reported yet
// count as out of touch.
func (j *Joint) SetGroup(group Group, now time.Time) {
	j.group = group
	total := 1
	for _, daemons := range group.Sources {
		total += daemons
	}
	j.parts = make(map[models.DaemonID]float64, len(group.Sources))
	for from, daemons := range group.Sources {
		j.parts[from] = float64(daemons) / float64(total)
		if _, ok := j.contacts[from]; !ok {
			j.contacts[from] = &contact{silent: true}
			j.settleAll(now)
		}
	}
	for from := range j.contacts {
		if _, ok := group.Sources[from]; !ok {
			j.Leave(from, now)
		}
	}
}

// SetLimits sets the limits in force.
func (j *Joint) SetLimits(limits map[models.Workspace]models.RateLimit, now time.Time) {
	j.limits = limits
	for workspace, r := range j.workspaces {
		if limit, ok := limits[workspace]; ok {
			r.setLimit(j, limit, now)
		}
	}
}

// Leave forgets a daemon that has ended: nothing is kept for it.
func (j *Joint) Leave(from models.DaemonID, now time.Time) {
	c, ok := j.contacts[from]
	if !ok {
		return
	}
	j.settleAll(now)
	delete(j.contacts, from)
	for _, r := range j.workspaces {
		if !c.silent {
			r.lapse(from, now)
		}
		delete(r.sources, from)
	}
}

// Learn applies a report of a source: what it uses of the limits. Reports of others than
// the sources are ignored.
func (j *Joint) Learn(from models.DaemonID, uses map[models.Workspace]models.LimitUse, now time.Time) {
	c, ok := j.contacts[from]
	if !ok {
		return
	}
	j.checkContacts(now)
	if !c.silent && now.Sub(c.heardAt) < silentAfter {
		j.interval += time.Duration(intervalWeight * float64(now.Sub(c.heardAt)-j.interval))
	}
	wasSilent := c.silent
	if wasSilent {
		j.settleAll(now)
	}
	for workspace, use := range uses {
		if limit, limited := j.limits[workspace]; limited && use.Offered > 0 {
			j.rate(workspace, limit, now)
		}
	}
	for workspace, r := range j.workspaces {
		use, reported := uses[workspace]
		r.learn(j, from, use, reported, wasSilent, now)
	}
	c.heardAt = now
	c.silent = false
}

// Admit decides on a request of a workspace that counts an amount against its limit, and
// counts it if admitted. A workspace without a limit is admitted. A request that counts more
// than the limit allows in MaxRequestPeriod is refused, and not counted as offered.
func (j *Joint) Admit(workspace models.Workspace, amount float64, now time.Time) Decision {
	limit, limited := j.limits[workspace]
	if !limited {
		return Decision{Admitted: true}
	}
	j.checkContacts(now)
	r := j.rate(workspace, limit, now)
	if amount > limit.PerSecond*MaxRequestPeriod.Seconds()+limit.Burst {
		// Others of the workspace would be refused for long, whether it is admitted or not.
		return Decision{Limit: limitName(limit), RetryAfter: maxJointRetryAfter}
	}
	r.own.offer(amount, now)
	chance, wait := r.chance(j, now)
	if chance < 1 && j.random.Float64() >= chance {
		return Decision{Limit: limitName(limit), RetryAfter: wait}
	}
	r.use(amount, now)
	return Decision{Admitted: true}
}

// rate returns the state of a workspace with a limit, advanced to a time.
func (j *Joint) rate(workspace models.Workspace, limit models.RateLimit, now time.Time) *jointRate {
	r, ok := j.workspaces[workspace]
	if !ok {
		r = newJointRate(now)
		j.workspaces[workspace] = r
	}
	r.setLimit(j, limit, now)
	return r
}

// Pressed reports whether so much is offered of late to a workspace, here or elsewhere,
// that the other daemons need to hear of it soon.
func (j *Joint) Pressed(now time.Time) bool {
	return now.Sub(j.pressedAt) < pressedPeriod
}

// Charge counts an amount against the limit of a workspace whether there is room or not;
// a negative one is returned.
func (j *Joint) Charge(workspace models.Workspace, amount float64, now time.Time) {
	if r, ok := j.workspaces[workspace]; ok {
		r.settle(j, now)
		r.use(amount, now)
	}
}

// Report returns what this daemon uses of the limits, or with zone set what the daemons
// of its zone use together. It is nil if there is nothing to report.
func (j *Joint) Report(zone bool, now time.Time) map[models.Workspace]models.LimitUse {
	if len(j.workspaces) == 0 {
		return nil
	}
	j.checkContacts(now)
	uses := map[models.Workspace]models.LimitUse{}
	for workspace, r := range j.workspaces {
		use := r.report(j, zone, now)
		if now.Sub(r.usedAt) < reportRetention && use.Epoch != 0 && use != (models.LimitUse{Epoch: use.Epoch}) {
			uses[workspace] = use
		}
	}
	if len(uses) == 0 {
		return nil
	}
	if len(uses) > maxReported {
		return mostUsed(uses)
	}
	return uses
}

// mostUsed returns the maxReported uses to which most is offered.
func mostUsed(uses map[models.Workspace]models.LimitUse) map[models.Workspace]models.LimitUse {
	names := slices.SortedFunc(maps.Keys(uses), func(a, b models.Workspace) int {
		return cmp.Or(cmp.Compare(uses[b].Offered, uses[a].Offered), cmp.Compare(a, b))
	})
	for _, name := range names[maxReported:] {
		delete(uses, name)
	}
	return uses
}

// Prune forgets the workspaces that have used nothing for long.
func (j *Joint) Prune(now time.Time) {
	maps.DeleteFunc(j.workspaces, func(_ models.Workspace, r *jointRate) bool {
		return now.Sub(r.usedAt) >= idleRetention
	})
}

// Part returns the part of the limit of a workspace that the daemons in touch share.
func (j *Joint) Part(workspace models.Workspace, now time.Time) float64 {
	j.checkContacts(now)
	if r, ok := j.workspaces[workspace]; ok {
		return r.part(j)
	}
	return 1
}

// Limit returns the limit of a workspace that is in force; limited is false if it has none.
func (j *Joint) Limit(workspace models.Workspace) (limit models.RateLimit, limited bool) {
	limit, limited = j.limits[workspace]
	return limit, limited
}

// checkContacts notes the sources that have come to be out of touch.
func (j *Joint) checkContacts(now time.Time) {
	if len(j.workspaces) == 0 {
		return
	}
	settled := false
	for from, c := range j.contacts {
		if c.silent || now.Sub(c.heardAt) < silentAfter {
			continue
		}
		if !settled {
			j.settleAll(now)
			settled = true
		}
		c.silent = true
		for _, r := range j.workspaces {
			r.lapse(from, now)
		}
	}
}

func (j *Joint) settleAll(now time.Time) {
	for _, r := range j.workspaces {
		r.settle(j, now)
	}
}

// horizon returns the time in which an excess or a rest is worked off.
func (j *Joint) horizon() time.Duration {
	return min(max(horizonIntervals*j.interval, minHorizon), maxHorizon)
}

func limitName(limit models.RateLimit) string {
	if limit.Tokens {
		return "tokens a second"
	}
	return "requests a second"
}
