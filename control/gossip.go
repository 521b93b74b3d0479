package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/table"
)

const (
	// exchangeTimeout limits one exchange with another daemon.
	exchangeTimeout = 500 * time.Millisecond
	// maxMeshMembers is the number of other daemons up to which a daemon
	// exchanges with all of them at each step; beyond it, it chooses a subset.
	maxMeshMembers = 12
	// maxParallelExchanges limits the exchanges in progress at once.
	maxParallelExchanges = 32
	// maxRelayedReports limits the reports of other daemons in one message.
	maxRelayedReports = 16
	// reportTTL is how long a daemon's latest report is kept.
	reportTTL = time.Minute
)

// StampClock issues stamps that order events across all processes.
type StampClock interface {
	Stamp() models.Stamp
	Observe(stamp models.Stamp)
}

// GossipCounts counts the exchanges of a daemon.
type GossipCounts struct {
	Sent     int64 // requests sent, including failed ones
	Answered int64 // requests from others answered
	Failed   int64 // requests sent that got no answer
}

// Gossip exchanges reports, configuration rows and evidence of their freshness
// with the other daemons. It implements peer.Reports.
type Gossip struct {
	self          table.Member
	daemons       peer.Daemons
	clock         peer.Clock
	stamps        StampClock
	configuration *Configuration
	membership    *Membership
	editing       *Editing
	random        *rand.Rand // used by Step only
	parallel      int        // limit on the exchanges in progress at once

	mu          sync.Mutex
	sources     []peer.ReportSource
	ownReport   models.DaemonReport
	reports     map[models.DaemonID]models.PeerReport
	peerThrough map[models.DaemonID]models.Revision // revision through which each daemon's rows are complete
	lastRelayed map[models.DaemonID]time.Time       // when reports of others were last sent to each daemon
	counts      GossipCounts
	leaving     bool
	sequence    uint64
}

// NewGossip returns the exchange of a daemon that has not contacted others yet.
func NewGossip(self table.Member, daemons peer.Daemons, clock peer.Clock, stamps StampClock, configuration *Configuration, membership *Membership, editing *Editing) *Gossip {
	return &Gossip{
		self:          self,
		daemons:       daemons,
		clock:         clock,
		stamps:        stamps,
		configuration: configuration,
		membership:    membership,
		editing:       editing,
		random:        rand.New(rand.NewPCG(xxhash.Sum64String(string(self.ID)), 0)),
		parallel:      maxParallelExchanges,
		reports:       map[models.DaemonID]models.PeerReport{},
		peerThrough:   map[models.DaemonID]models.Revision{},
		lastRelayed:   map[models.DaemonID]time.Time{},
	}
}

// RegisterReportSource adds a source that fills in part of this daemon's
// reports.
func (g *Gossip) RegisterReportSource(source peer.ReportSource) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sources = append(g.sources, source)
}

// Reports implements peer.Reports.
func (g *Gossip) Reports() []models.PeerReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	reports := make([]models.PeerReport, 0, len(g.reports))
	for _, report := range g.reports {
		reports = append(reports, report)
	}
	return reports
}

// Counts returns the exchanges so far.
func (g *Gossip) Counts() GossipCounts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts
}

// Drain marks this daemon as leaving in its reports.
func (g *Gossip) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
}

// Step exchanges with this step's targets and renews the evidence if it is
// getting old.
func (g *Gossip) Step(ctx context.Context) {
	g.refreshReports()
	g.exchangeAll(ctx, g.targets())
	g.proveFreshness()
}

// Push exchanges with all other daemons and returns those that answered; they
// have applied the rows sent.
func (g *Gossip) Push(ctx context.Context) []models.DaemonID {
	var all []target
	for _, member := range g.membership.Others() {
		all = append(all, targetOf(member))
	}
	return g.exchangeAll(ctx, all)
}

// Receive applies another daemon's message and returns the answer to it.
func (g *Gossip) Receive(message models.Gossip) models.Gossip {
	g.applyMessage(message)
	g.mu.Lock()
	g.counts.Answered++
	g.mu.Unlock()
	return g.newMessage(message.From, message.Through)
}

// target is a daemon to exchange with. The ID is empty for a VM without a
// registration.
type target struct {
	id models.DaemonID
	vm models.VM
}

func targetOf(member table.Member) target {
	return target{
		id: member.ID,
		vm: models.VM{Daemon: string(member.ID), Zone: member.Zone, Address: member.Address},
	}
}

// exchangeAll exchanges with each target and returns the daemons that answered.
func (g *Gossip) exchangeAll(ctx context.Context, targets []target) []models.DaemonID {
	var mu sync.Mutex
	var answered []models.DaemonID
	var group sync.WaitGroup
	queue := make(chan target, len(targets))
	for _, t := range targets {
		queue <- t
	}
	close(queue)
	for range min(g.parallel, len(targets)) {
		group.Go(func() {
			for t := range queue {
				if id, ok := g.exchange(ctx, t); ok {
					mu.Lock()
					answered = append(answered, id)
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	return answered
}

// exchange sends a message to one daemon and applies the answer. Evidence from
// the answer is dated from the time before the request was sent, so that it
// does not depend on the other daemon's clock.
func (g *Gossip) exchange(ctx context.Context, to target) (models.DaemonID, bool) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sentAt := g.clock.Now()
	answer, err := g.daemons.Exchange(ctx, to.vm, g.newMessage(to.id, g.baseRevision(to.id)))
	g.mu.Lock()
	g.counts.Sent++
	if err != nil {
		g.counts.Failed++
	}
	g.mu.Unlock()
	if err != nil || answer.From == g.self.ID {
		return "", false
	}
	complete := g.applyMessage(answer)
	if complete {
		g.configuration.AddEvidence(models.Evidence{At: sentAt.Add(-answer.EvidenceAge), Source: relayedSource(answer.EvidenceSource)})
	}
	if answer.To == g.self.ID {
		registration := g.configuration.Roster().Registration(g.self.ID)
		g.editing.RecordAnswer(answer.From, answer.Editing, complete, registration, sentAt)
	}
	return answer.From, true
}

// applyMessage applies a message and reports whether all rows known to its
// sender are now known here.
func (g *Gossip) applyMessage(message models.Gossip) bool {
	g.stamps.Observe(message.Stamp)
	missing := g.configuration.ApplyDelta(message.Rows, message.Known, message.Through)
	complete := !missing && message.EvidenceSource != models.EvidenceNone
	if message.To == g.self.ID {
		registration := g.configuration.Roster().Registration(g.self.ID)
		g.editing.RecordStatement(message.From, message.Editing, complete, registration)
	}
	now := g.clock.Now()
	g.membership.MarkHeard(message.From, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peerThrough[message.From] = max(g.peerThrough[message.From], message.Through)
	for _, report := range message.Reports {
		g.storeReport(report, now)
	}
	return complete
}

// storeReport stores a report if it is newer than the one stored. The caller
// holds the lock.
func (g *Gossip) storeReport(report models.DaemonReport, now time.Time) {
	old, ok := g.reports[report.Daemon]
	if report.Daemon == g.self.ID || ok && old.Report.Sequence >= report.Sequence {
		return
	}
	g.reports[report.Daemon] = models.PeerReport{Report: report, ReceivedAt: now}
	g.membership.MarkHeard(report.Daemon, now)
}

// newMessage returns a message for a daemon whose rows are complete through
// base. The statement is taken before the rows, so that the rows include every
// edit that it states as settled.
func (g *Gossip) newMessage(to models.DaemonID, base models.Revision) models.Gossip {
	statement := g.editing.Statement(to, g.configuration.Roster().Registration(to))
	rows, through, evidence := g.configuration.Delta(base)
	return models.Gossip{
		From:           g.self.ID,
		To:             to,
		Stamp:          g.stamps.Stamp(),
		Reports:        g.reportsFor(to),
		Rows:           rows,
		Through:        through,
		Known:          base,
		EvidenceAge:    g.clock.Now().Sub(evidence.At),
		EvidenceSource: evidence.Source,
		Editing:        statement,
	}
}

// baseRevision returns the revision through which a daemon's rows are known to
// be complete. A daemon that has not been heard yet is assumed to have all rows;
// its answer corrects that.
func (g *Gossip) baseRevision(id models.DaemonID) models.Revision {
	g.mu.Lock()
	known, ok := g.peerThrough[id]
	g.mu.Unlock()
	if ok {
		return known
	}
	return g.configuration.Config().Through
}

// reportsFor returns this daemon's report. If there are too many daemons for
// each to exchange with all others, it adds reports of other daemons that
// arrived since the last message.
func (g *Gossip) reportsFor(to models.DaemonID) []models.DaemonReport {
	fullMesh := len(g.configuration.Roster().Members) <= maxMeshMembers+1
	g.mu.Lock()
	defer g.mu.Unlock()
	reports := []models.DaemonReport{g.ownReport}
	if fullMesh {
		return reports
	}
	since := g.lastRelayed[to]
	g.lastRelayed[to] = g.clock.Now()
	for id, report := range g.reports {
		if len(reports) > maxRelayedReports {
			break
		}
		if id != to && report.ReceivedAt.After(since) {
			reports = append(reports, report.Report)
		}
	}
	return reports
}

// refreshReports rebuilds this daemon's report and drops expired reports of
// others.
func (g *Gossip) refreshReports() {
	report := models.DaemonReport{
		Daemon:      g.self.ID,
		Zone:        g.self.Zone,
		Config:      g.configuration.Config().Through,
		StoreOutage: g.configuration.StoreFailing(),
	}
	g.mu.Lock()
	sources := g.sources
	g.sequence++
	report.Sequence = g.sequence
	report.Draining = g.leaving
	g.mu.Unlock()
	for _, source := range sources {
		source.Fill(&report)
	}
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ownReport = report
	for id, kept := range g.reports {
		if now.Sub(kept.ReceivedAt) > reportTTL {
			delete(g.reports, id)
			delete(g.peerThrough, id)
			delete(g.lastRelayed, id)
		}
	}
}

// proveFreshness derives evidence from the answers of all daemons that may
// accept edits, if the current evidence is getting old.
func (g *Gossip) proveFreshness() {
	roster := g.configuration.Roster()
	registration := roster.Registration(g.self.ID)
	now := g.clock.Now()
	if registration == 0 || roster.Through < registration || now.Sub(g.configuration.Evidence().At) <= evidenceRefreshAge {
		return
	}
	if at, ok := g.editing.CompleteUntil(now, roster); ok {
		g.configuration.AddEvidence(models.Evidence{At: at, Source: models.EvidenceStoreOutage})
	}
}

// relayedSource returns the source to record for evidence from another daemon:
// its own read counts as a peer's read here.
func relayedSource(source models.EvidenceSource) models.EvidenceSource {
	if source == models.EvidenceOwnRead {
		return models.EvidencePeerRead
	}
	return source
}
