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
	// exchangeTimeout bounds one exchange with another daemon.
	exchangeTimeout = 500 * time.Millisecond
	// meshMembers is up to how many others a daemon exchanges with each at
	// every step; beyond that it chooses a few.
	meshMembers = 12
	// parallelExchanges bounds the exchanges under way at once.
	parallelExchanges = 32
	// relayedReports bounds the reports of others in one message.
	relayedReports = 16
	// reportKeptFor is how long the report of a silent daemon is kept.
	reportKeptFor = time.Minute
)

// StampClock orders events over all processes.
type StampClock interface {
	Stamp() models.Stamp
	Observe(stamp models.Stamp)
}

// GossipCounts counts the messages of a daemon's exchanges.
type GossipCounts struct {
	Sent     int64 // questions to others
	Answered int64 // questions of others
	Failed   int64 // questions without an answer
}

// Gossip exchanges reports, news of the configuration and proof of its
// freshness with the other daemons. It implements peer.Reports.
type Gossip struct {
	self          table.Member
	daemons       peer.Daemons
	clock         peer.Clock
	stamps        StampClock
	configuration *Configuration
	membership    *Membership
	editing       *Editing
	random        *rand.Rand // used by Step alone
	parallel      int        // exchanges under way at once

	mu       sync.Mutex
	sources  []peer.ReportSource
	own      models.DaemonReport
	reports  map[models.DaemonID]models.PeerReport
	known    map[models.DaemonID]models.Revision // how far each other's configuration goes
	relayed  map[models.DaemonID]time.Time       // when each other was last sent reports
	counts   GossipCounts
	leaving  bool
	sequence uint64
}

// NewGossip returns the exchange of a daemon that has heard nobody yet.
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
		parallel:      parallelExchanges,
		reports:       map[models.DaemonID]models.PeerReport{},
		known:         map[models.DaemonID]models.Revision{},
		relayed:       map[models.DaemonID]time.Time{},
	}
}

// RegisterReportSource adds a part to this daemon's reports.
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

// Counts returns the messages so far.
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

// Step exchanges with some of the others, all of them where they are few.
func (g *Gossip) Step(ctx context.Context) {
	g.refresh()
	g.ask(ctx, g.targets())
	g.prove()
}

// Push tells all others what is new, and returns who has taken it in.
func (g *Gossip) Push(ctx context.Context) []models.DaemonID {
	var all []target
	for _, member := range g.membership.Others() {
		all = append(all, targetOf(member))
	}
	return g.ask(ctx, all)
}

// Receive takes in what another daemon tells and returns the answer.
func (g *Gossip) Receive(message models.Gossip) models.Gossip {
	g.absorb(message)
	g.mu.Lock()
	g.counts.Answered++
	g.mu.Unlock()
	return g.message(message.From, message.Through)
}

// target is a daemon to exchange with. A stranger has no identity yet.
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

// ask exchanges with each target and returns who answered.
func (g *Gossip) ask(ctx context.Context, targets []target) []models.DaemonID {
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

// exchange asks one daemon. What the answer proves is dated back to before the
// question was sent, so that no other clock is trusted.
func (g *Gossip) exchange(ctx context.Context, to target) (models.DaemonID, bool) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sentAt := g.clock.Now()
	answer, err := g.daemons.Exchange(ctx, to.vm, g.message(to.id, g.base(to.id)))
	g.mu.Lock()
	g.counts.Sent++
	if err != nil {
		g.counts.Failed++
	}
	g.mu.Unlock()
	if err != nil || answer.From == g.self.ID {
		return "", false
	}
	whole := g.absorb(answer)
	if whole {
		g.configuration.Prove(models.Evidence{At: sentAt.Add(-answer.EvidenceAge), Source: relayedSource(answer.EvidenceSource)})
	}
	if answer.To == g.self.ID {
		registration := g.configuration.Roster().Registration(g.self.ID)
		g.editing.Answer(answer.From, answer.Editing, whole, registration, sentAt)
	}
	return answer.From, true
}

// absorb takes in a message and reports whether all rows that its sender knew
// are known here now.
func (g *Gossip) absorb(message models.Gossip) bool {
	g.stamps.Observe(message.Stamp)
	missing := g.configuration.TakeDelta(message.Rows, message.Known, message.Through)
	whole := !missing && message.EvidenceSource != models.EvidenceNone
	if message.To == g.self.ID {
		registration := g.configuration.Roster().Registration(g.self.ID)
		g.editing.Note(message.From, message.Editing, whole, registration)
	}
	now := g.clock.Now()
	g.membership.Heard(message.From, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.known[message.From] = max(g.known[message.From], message.Through)
	for _, report := range message.Reports {
		g.keep(report, now)
	}
	return whole
}

// keep takes in a report that is newer than the one kept. The lock is held.
func (g *Gossip) keep(report models.DaemonReport, now time.Time) {
	old, ok := g.reports[report.Daemon]
	if report.Daemon == g.self.ID || ok && old.Report.Sequence >= report.Sequence {
		return
	}
	g.reports[report.Daemon] = models.PeerReport{Report: report, ReceivedAt: now}
	g.membership.Heard(report.Daemon, now)
}

// message returns what to tell a daemon whose configuration goes up to base.
// The statement is taken before the rows: an edit that it calls settled is
// among them.
func (g *Gossip) message(to models.DaemonID, base models.Revision) models.Gossip {
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

// base returns how far a daemon's configuration goes, as far as is known. Of
// one not yet heard nothing is assumed to be missing; its answer tells.
func (g *Gossip) base(id models.DaemonID) models.Revision {
	g.mu.Lock()
	known, ok := g.known[id]
	g.mu.Unlock()
	if ok {
		return known
	}
	return g.configuration.Config().Through
}

// reportsFor returns this daemon's report, and, where the daemons are too many
// to hear each directly, some of the others' that came since the last message.
func (g *Gossip) reportsFor(to models.DaemonID) []models.DaemonReport {
	few := len(g.configuration.Roster().Members) <= meshMembers+1
	g.mu.Lock()
	defer g.mu.Unlock()
	reports := []models.DaemonReport{g.own}
	if few {
		return reports
	}
	since := g.relayed[to]
	g.relayed[to] = g.clock.Now()
	for id, report := range g.reports {
		if len(reports) > relayedReports {
			break
		}
		if id != to && report.ReceivedAt.After(since) {
			reports = append(reports, report.Report)
		}
	}
	return reports
}

// refresh makes this daemon's report anew and forgets old ones.
func (g *Gossip) refresh() {
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
	g.own = report
	for id, kept := range g.reports {
		if now.Sub(kept.ReceivedAt) > reportKeptFor {
			delete(g.reports, id)
			delete(g.known, id)
			delete(g.relayed, id)
		}
	}
}

// prove takes evidence from the answers of all daemons that edits may go
// through, where the table's evidence is getting old.
func (g *Gossip) prove() {
	roster := g.configuration.Roster()
	registration := roster.Registration(g.self.ID)
	now := g.clock.Now()
	if registration == 0 || roster.Through < registration || now.Sub(g.configuration.Evidence().At) <= evidenceDue {
		return
	}
	if at, ok := g.editing.Proven(now, roster); ok {
		g.configuration.Prove(models.Evidence{At: at, Source: models.EvidenceStoreOutage})
	}
}

func relayedSource(source models.EvidenceSource) models.EvidenceSource {
	if source == models.EvidenceOwnRead {
		return models.EvidencePeerRead
	}
	return source
}
