package limit

import (
	"math"
	"time"

	"quincewinch/models"
)

const (
	// offeredSmoothing and admittedSmoothing are the time constants of the averages of
	// what is offered and admitted per second.
	offeredSmoothing  = time.Second
	admittedSmoothing = 500 * time.Millisecond
	// keptSmoothing is that of the part that is kept for daemons out of touch.
	keptSmoothing = 5 * time.Second
	// evenPart is the part of a limit that is kept for daemons out of touch by their
	// number rather than by what was offered to them.
	evenPart = 0.2
	// unlistedPart is the part of a limit that a daemon uses while it does not know how
	// many others there are.
	unlistedPart = 0.01
	// minJointRetryAfter and maxJointRetryAfter bound the Retry-After of a refusal.
	minJointRetryAfter = 50 * time.Millisecond
	maxJointRetryAfter = 10 * time.Second
	// maxDebt is the time at the rate that an excess takes at most to be worked off
	// after the limit has changed.
	maxDebt = time.Second
)

// jointRate is the limit of one workspace.
type jointRate struct {
	limit   models.RateLimit
	bucket  bucket // of the whole limit, or of the part of the daemons in touch
	epoch   uint64
	own     meter
	amount  float64 // admitted by this daemon
	zone    float64 // admitted by the daemons of its zone, as far as heard of
	sources map[models.DaemonID]*sourceUse
	usedAt  time.Time
}

// sourceUse is what a source has reported last.
type sourceUse struct {
	models.LimitUse
	at   time.Time
	kept float64 // part of the limit that is kept for it if it falls silent
}

// keep averages the part of the limit that is kept for a source, as of a report.
func (s *sourceUse) keep(part float64, now time.Time) {
	if s.at.IsZero() {
		s.kept = part
	}
	s.kept += (part - s.kept) * (1 - math.Exp(-now.Sub(s.at).Seconds()/keptSmoothing.Seconds()))
	s.at = now
}

// newJointRate returns a limit that nothing is known of.
func newJointRate(now time.Time) *jointRate {
	return &jointRate{epoch: uint64(now.UnixNano()), sources: map[models.DaemonID]*sourceUse{}, usedAt: now}
}

// setLimit sets the limit in force. What was used beyond the limit before counts little
// against the new one.
func (r *jointRate) setLimit(j *Joint, limit models.RateLimit, now time.Time) {
	if r.limit == limit {
		r.settle(j, now)
		return
	}
	first := r.limit.PerSecond == 0
	r.settle(j, now)
	r.limit = limit
	part := r.part(j)
	capacity := limit.Burst * part
	if first {
		r.bucket = bucket{updatedAt: now}
		if j.settings.Filled || now.Sub(j.startedAt) >= startPeriod {
			r.bucket.level = capacity
		}
		return
	}
	r.bucket.level = min(max(r.bucket.level, -limit.PerSecond*part*maxDebt.Seconds()), capacity)
}

// settle advances the bucket to a time.
func (r *jointRate) settle(j *Joint, now time.Time) {
	if r.limit.PerSecond == 0 {
		return
	}
	part := r.part(j)
	r.bucket.refill(r.limit.PerSecond*part, r.limit.Burst*part, now)
}

// part returns the part of the limit that the daemons in touch share: what is not kept
// for the others.
func (r *jointRate) part(j *Joint) float64 {
	if !j.group.Listed {
		return unlistedPart
	}
	kept := 0.0
	for from, c := range j.contacts {
		s, ok := r.sources[from]
		switch {
		case c.silent && ok:
			kept += s.kept
		case c.silent:
			kept += j.parts[from]
		case ok:
			kept += s.Reserved
		}
	}
	own := 1.0
	for _, part := range j.parts {
		own -= part
	}
	return min(max(1-kept, evenPart*own)*(1+j.settings.Over/2), 1)
}

// learn applies a report of a source, in which the workspace may be missing.
func (r *jointRate) learn(j *Joint, from models.DaemonID, use models.LimitUse, reported, wasSilent bool, now time.Time) {
	s, ok := r.sources[from]
	if !reported && !ok {
		return
	}
	if !ok {
		s = &sourceUse{}
		r.sources[from] = s
	}
	r.settle(j, now)
	if !reported {
		use = models.LimitUse{Epoch: s.Epoch, Amount: s.Amount}
	}
	var used float64
	switch {
	case wasSilent && ok: // used what was kept for it
	case ok && use.Epoch == s.Epoch:
		used = use.Amount - s.Amount
	case ok: // counted anew
		used = s.Admitted * now.Sub(s.at).Seconds()
	default:
		used = min(use.Amount, use.Admitted*admittedSmoothing.Seconds())
	}
	r.bucket.level -= used
	if j.group.Zone[from] {
		r.zone += used
	}
	s.LimitUse = use
	s.keep(r.keptFor(j, from, now), now)
	if use.Offered > 0 {
		r.usedAt = now
	}
}

// keptFor returns the part of the limit that a source is left if it falls silent, and
// that it has in its own view if it no longer hears the others.
func (r *jointRate) keptFor(j *Joint, from models.DaemonID, now time.Time) float64 {
	total := r.own.offeredAt(now)
	for _, s := range r.sources {
		total += s.Offered
	}
	part := j.parts[from]
	if total <= 0 {
		return part
	}
	s := r.sources[from]
	return min(evenPart*part+(1-evenPart)*s.Offered/total+s.Reserved, 1)
}

// lapse counts what a source has admitted since its last report as before.
func (r *jointRate) lapse(from models.DaemonID, now time.Time) {
	if s, ok := r.sources[from]; ok {
		r.bucket.level -= s.Admitted * min(now.Sub(s.at), silentAfter).Seconds()
	}
}

// use counts an amount that this daemon admits.
func (r *jointRate) use(amount float64, now time.Time) {
	r.bucket.level -= amount
	r.amount += amount
	r.zone += amount
	r.own.admit(amount, now)
	r.usedAt = now
}

// chance returns which part of what is offered to the daemons in touch is to be admitted,
// and how long it takes until all of it is.
func (r *jointRate) chance(j *Joint, now time.Time) (chance float64, wait time.Duration) {
	part := r.part(j)
	perSecond := r.limit.PerSecond * part
	offered := r.own.offeredAt(now)
	room := r.bucket.level
	for from, s := range r.sources {
		if c, ok := j.contacts[from]; !ok || c.silent {
			continue
		}
		offered += s.Offered
		room -= s.Admitted * now.Sub(s.at).Seconds()
	}
	if offered > pressedPart*perSecond {
		j.pressedAt = now
	}
	horizon := j.horizon().Seconds()
	target := max(perSecond+room/horizon, 0)
	if offered <= target || offered <= 0 {
		return 1, 0
	}
	seconds := ((offered-perSecond)*horizon - room) / max(perSecond, math.SmallestNonzeroFloat64)
	seconds = min(seconds, maxJointRetryAfter.Seconds())
	return target / offered, max(time.Duration(seconds*float64(time.Second)), minJointRetryAfter)
}

// report returns what this daemon, or its zone, uses.
func (r *jointRate) report(j *Joint, zone bool, now time.Time) models.LimitUse {
	use := models.LimitUse{Epoch: r.epoch, Amount: r.amount, Admitted: r.own.admittedAt(now), Offered: r.own.offeredAt(now)}
	if !zone {
		return use
	}
	use.Amount = r.zone
	for from := range j.group.Zone {
		s, ok := r.sources[from]
		c, known := j.contacts[from]
		switch {
		case !known:
		case c.silent && ok:
			use.Reserved += s.kept
		case c.silent:
			use.Reserved += j.parts[from]
		case ok:
			use.Admitted += s.Admitted
			use.Offered += s.Offered
		}
	}
	return use
}

// meter averages what is offered and admitted per second.
type meter struct {
	offered, admitted     float64
	offeredOn, admittedOn time.Time
}

func (m *meter) offer(amount float64, now time.Time) {
	m.offered = m.offeredAt(now) + amount/offeredSmoothing.Seconds()
	m.offeredOn = now
}

func (m *meter) admit(amount float64, now time.Time) {
	m.admitted = max(m.admittedAt(now)+amount/admittedSmoothing.Seconds(), 0)
	m.admittedOn = now
}

func (m *meter) offeredAt(now time.Time) float64 {
	return decayed(m.offered, now.Sub(m.offeredOn), offeredSmoothing)
}

func (m *meter) admittedAt(now time.Time) float64 {
	return decayed(m.admitted, now.Sub(m.admittedOn), admittedSmoothing)
}

// decayed returns an average some time after it was taken; far below one unit it is zero.
func decayed(average float64, age, smoothing time.Duration) float64 {
	if average == 0 {
		return 0
	}
	average *= math.Exp(-age.Seconds() / smoothing.Seconds())
	if average < 1e-3 {
		return 0
	}
	return average
}
