package balance

import (
	"time"

	"quincewinch/models"
	"quincewinch/policy/speed"
)

const (
	// referenceInterval is how long the speed of typical servers is kept before it is
	// computed again.
	referenceInterval = 250 * time.Millisecond
	// factorInterval is how long the factor of a server is kept without observations
	// before it is computed again.
	factorInterval = 100 * time.Millisecond
	// overdueFactor and overdueSlack are the time, in multiples of the predicted one
	// and on top of it, after which a request without an answer counts as observed:
	// the answer of a slow server comes late. It counts again each time that the
	// multiple has doubled.
	overdueFactor = 2.0
	overdueSlack  = 100 * time.Millisecond
	// maxQueuedSpeeds bounds the servers whose observations are not shared yet.
	maxQueuedSpeeds = 1024
)

// speedReference is the speed of typical servers of a service and role.
type speedReference struct {
	value float64
	at    time.Time
}

// SlowServer is a server that turned slow, or is well again.
type SlowServer struct {
	Server  models.Upstream
	Slow    bool
	Factor  float64 // how many times as long as at a typical server requests take
	Backlog time.Duration
}

// speedFactor returns how many times as long as at a typical server of its service and
// role requests take at a server. The caller must hold b.mu.
func (b *Balancer) speedFactor(s *serverState, now time.Time) float64 {
	if s.factor > 0 && now.Sub(s.factorAt) < factorInterval {
		return s.factor
	}
	s.factorAt = now
	if b.workOf(s) != nil {
		s.factor = b.paceFactor(s, now)
	} else {
		s.factor = b.shortFactor(s, now)
	}
	return s.factor
}

// shortFactor returns how many times as long requests take of late, beside what is known
// of the server for good. The caller must hold b.mu.
func (b *Balancer) shortFactor(s *serverState, now time.Time) float64 {
	if !s.speed.Known(now) {
		return 1
	}
	reference := b.speedReference(keyOf(s.upstream), now)
	if s.work != nil {
		reference *= b.lastingFactor(s, now)
	}
	return s.speed.Factor(reference, now)
}

// observe adds observations of the server's speed.
func (s *serverState) observe(sample speed.Sample, now time.Time) {
	s.speed.Observe(sample, now)
	if s.work != nil && sample.Weight > 0 {
		s.work.lasting.Observe(sample, now)
	}
	s.factor = 0
}

// speedReference returns the speed of typical servers. The caller must hold b.mu.
func (b *Balancer) speedReference(key timingKey, now time.Time) float64 {
	reference, ok := b.references[key]
	if ok && now.Sub(reference.at) < referenceInterval {
		return reference.value
	}
	var raw []float64
	for _, s := range b.states {
		if keyOf(s.upstream) == key && s.speed.Known(now) {
			raw = append(raw, s.speed.Raw(now))
		}
	}
	reference = speedReference{value: speed.Reference(raw), at: now}
	b.references[key] = reference
	return reference.value
}

// observeSpeed records how long a request of this daemon took at a server, or has
// taken so far. The caller must hold b.mu.
func (b *Balancer) observeSpeed(s *serverState, taken, predicted time.Duration, now time.Time) {
	if w := b.workOf(s); w != nil {
		taken = dividedBy(taken, w.pace.Expect(w.service.hold, now))
	}
	sample := speed.NewSample(taken, predicted)
	if sample.Weight == 0 {
		return
	}
	s.observe(sample, now)
	b.queueReport(models.SpeedReport{Server: s.upstream.ID, Started: s.upstream.Started, Observations: sample.Weight, LogRatios: sample.LogSum}, now)
}

// queueReport queues what an answer to this daemon says of its server for the others. The
// caller must hold b.mu.
func (b *Balancer) queueReport(report models.SpeedReport, now time.Time) {
	queueSpeed(b.unsharedSpeeds, report, now)
	if b.relaying == relayAll {
		queueSpeed(b.zoneSpeeds, report, now)
	}
	b.changed = true
}

// observeOverdue records the requests of this daemon whose prompts should have been
// prefilled long ago. The caller must hold b.mu.
func (b *Balancer) observeOverdue(now time.Time) {
	for p := range b.prefilling {
		taken := now.Sub(p.placedAt)
		if taken < p.overdueAfter {
			continue
		}
		p.overdueAfter *= 2
		b.observeSpeed(p.prefillServer, taken, p.expected, now)
	}
}

// receiveSpeeds applies what another daemon or a zone has observed. The caller must
// hold b.mu.
func (b *Balancer) receiveSpeeds(share models.LoadShare, now time.Time) {
	snapshot := b.fleet.Snapshot()
	if snapshot == nil {
		return
	}
	for _, report := range share.Speeds {
		upstream, ok := snapshot.ByID[report.Server]
		sample := speed.Sample{Weight: report.Observations, LogSum: report.LogRatios}
		if !ok || !upstream.Started.Equal(report.Started) || !sample.Valid() {
			continue
		}
		s := b.stateOf(upstream)
		b.stateLoad(s, report.Load, now.Add(-report.LoadAge), now)
		s.observe(sample, now)
		b.othersOf(upstream.Service).observe(report, now)
		if b.relaying == relayAll && b.isZonePeer(share) {
			queueSpeed(b.zoneSpeeds, report, now)
		}
	}
}

// queuedSpeed is a report that is not shared yet.
type queuedSpeed struct {
	models.SpeedReport
	at time.Time // of its LoadAge
}

// queueSpeed adds a report to those that are not shared yet.
func queueSpeed(queue map[models.EngineID]queuedSpeed, report models.SpeedReport, now time.Time) {
	added := queuedSpeed{SpeedReport: report, at: now}
	queued, ok := queue[report.Server]
	switch {
	case !ok && len(queue) >= maxQueuedSpeeds:
		return
	case ok && queued.Started.Equal(report.Started):
		added.Observations += queued.Observations
		added.LogRatios += queued.LogRatios
		if aged := queued.LoadAge + now.Sub(queued.at); queued.Load.Pace > 0 && (report.Load.Pace == 0 || aged < report.LoadAge) {
			added.Load, added.LoadAge = queued.Load, aged
		}
	}
	queue[report.Server] = added
}

// takeSpeeds empties a queue of reports. The caller must hold b.mu.
func (b *Balancer) takeSpeeds(queue map[models.EngineID]queuedSpeed, now time.Time) []models.SpeedReport {
	reports := make([]models.SpeedReport, 0, len(queue))
	for _, queued := range queue {
		if b.agesMatter(queued.SpeedReport) {
			queued.LoadAge += now.Sub(queued.at)
		}
		reports = append(reports, queued.SpeedReport)
	}
	clear(queue)
	return reports
}

// agesMatter reports whether the age of a report is of use to other daemons. Where it is
// not, it is left out of load shares.
func (b *Balancer) agesMatter(report models.SpeedReport) bool {
	return report.Load.Pace > 0 || b.settings.KeepMemory
}

// agedSpeeds returns reports as of some time later.
func (b *Balancer) agedSpeeds(reports []models.SpeedReport, by time.Duration) []models.SpeedReport {
	aged := make([]models.SpeedReport, 0, len(reports))
	for _, report := range reports {
		if b.agesMatter(report) {
			report.LoadAge += by
		}
		aged = append(aged, report)
	}
	return aged
}

// SpeedChanges returns the servers that have turned slow since the last call, and
// those that are well again.
func (b *Balancer) SpeedChanges() []SlowServer {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var changes []SlowServer
	for _, s := range b.states {
		factor := b.shortFactor(s, now)
		if slow, changed := s.speed.Report(factor); changed {
			changes = append(changes, SlowServer{Server: s.upstream, Slow: slow, Factor: factor, Backlog: b.backlog(s, now)})
		}
	}
	return changes
}

// Slow returns the number of backend servers that count as slow.
func (b *Balancer) Slow() int {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	slow := 0
	for _, s := range b.states {
		if b.shortFactor(s, now) >= speed.SlowFactor {
			slow++
		}
	}
	return slow
}
