package control

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/table"
)

const (
	// aliveTimeout is how long a daemon counts as alive after it was last heard.
	aliveTimeout = 3 * time.Second
	// removeAfter is how long a daemon has to be silent before its registration
	// is removed. It registers again when it comes back.
	removeAfter = 30 * time.Second
	// listInterval is the time between two reads of the platform's list of VMs.
	listInterval = 5 * time.Second
	// livenessInterval is the time between two checks for daemons that have
	// become alive, silent or gone.
	livenessInterval = time.Second
	// readersPerZone is the number of table readers in each availability zone.
	readersPerZone = 1
)

// Membership tracks the other daemons from their registrations in the table,
// the platform's list of VMs, which lags, and the messages and reports received
// from each.
type Membership struct {
	self          table.Member
	table         peer.Table
	vms           peer.VMs
	clock         peer.Clock
	timeline      peer.Timeline
	configuration *Configuration
	editing       *Editing

	mu                sync.Mutex
	leaving           bool
	livenessCheckedAt time.Time
	started           time.Time
	lastHeard         map[models.DaemonID]time.Time
	listed            []models.VM
	listedAt          time.Time
	lastListed        map[netip.AddrPort]time.Time // when the platform's list last contained an address
	aliveBefore       map[models.DaemonID]bool     // alive at the last check
}

// NewMembership returns the membership of a daemon that has not registered yet.
func NewMembership(self table.Member, t peer.Table, vms peer.VMs, clock peer.Clock, timeline peer.Timeline, configuration *Configuration, editing *Editing) *Membership {
	return &Membership{
		self:          self,
		table:         t,
		vms:           vms,
		clock:         clock,
		timeline:      timeline,
		configuration: configuration,
		editing:       editing,
		started:       clock.Now(),
		lastHeard:     map[models.DaemonID]time.Time{},
		lastListed:    map[netip.AddrPort]time.Time{},
		aliveBefore:   map[models.DaemonID]bool{},
	}
}

// Step reads the platform's list, registers this daemon if it is not, opens or
// closes it to edits, and removes the registrations of daemons that are gone.
func (m *Membership) Step(ctx context.Context) {
	m.refreshVMs(ctx)
	roster := m.configuration.Roster()
	registration := roster.Registration(m.self.ID)
	failing := m.configuration.StoreFailing()
	if registration == 0 && failing == 0 && !m.isLeaving() {
		m.register(ctx, m.configuration.Row(table.MemberKey(m.self.ID)).Revision)
	}
	complete := registration > 0 && roster.Through >= registration
	m.editing.SetWantOpen(complete && failing < closeAfterOutage && !m.isLeaving(), roster)
	now := m.clock.Now()
	if now.Sub(m.livenessCheckedAt) < livenessInterval {
		return
	}
	m.livenessCheckedAt = now
	m.recordLiveness(roster)
	if complete && failing == 0 {
		m.removeGone(ctx, roster)
	}
}

// Leave closes this daemon to edits before a planned stop and keeps it from
// registering again.
func (m *Membership) Leave() {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.editing.SetWantOpen(false, m.configuration.Roster())
}

// Deregister removes this daemon's registration at a planned stop.
func (m *Membership) Deregister(ctx context.Context) error {
	row := m.configuration.Row(table.MemberKey(m.self.ID))
	if row.Revision == 0 || row.Deleted {
		return nil
	}
	return m.remove(ctx, row, nil)
}

// MarkHeard records that a message or report of a daemon arrived at a time.
func (m *Membership) MarkHeard(id models.DaemonID, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.After(m.lastHeard[id]) {
		m.lastHeard[id] = at
	}
}

// Alive reports whether a daemon was heard within aliveTimeout.
func (m *Membership) Alive(id models.DaemonID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.alive(id)
}

func (m *Membership) alive(id models.DaemonID) bool {
	at, ok := m.lastHeard[id]
	return ok && m.clock.Now().Sub(at) <= aliveTimeout
}

// Others returns the other registered daemons, sorted by ID.
func (m *Membership) Others() []table.Member {
	list := m.configuration.Roster().List
	return slices.DeleteFunc(slices.Clone(list), func(member table.Member) bool { return member.ID == m.self.ID })
}

// Unregistered returns the VMs on the platform's list whose address no
// registration has.
func (m *Membership) Unregistered() []models.VM {
	known := map[netip.AddrPort]bool{m.self.Address: true}
	for _, member := range m.configuration.Roster().Members {
		known[member.Address] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var unregistered []models.VM
	for _, vm := range m.listed {
		if !known[vm.Address] {
			unregistered = append(unregistered, vm)
		}
	}
	return unregistered
}

// Reader reports whether this daemon is a table reader of its zone.
func (m *Membership) Reader() bool {
	return slices.ContainsFunc(m.Readers(m.self.Zone), func(r table.Member) bool { return r.ID == m.self.ID })
}

// Readers returns the table readers of a zone, chosen among its daemons that are
// alive.
func (m *Membership) Readers(zone models.Zone) []table.Member {
	var candidates []table.Member
	if zone == m.self.Zone {
		candidates = append(candidates, m.self)
	}
	for _, member := range m.Others() {
		if member.Zone == zone && m.Alive(member.ID) {
			candidates = append(candidates, member)
		}
	}
	return topRanked(candidates, "reader", readersPerZone)
}

func (m *Membership) isLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

func (m *Membership) refreshVMs(ctx context.Context) {
	now := m.clock.Now()
	if !m.listedAt.IsZero() && now.Sub(m.listedAt) < listInterval {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	vms, err := m.vms.List(ctx)
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listedAt = now
	m.listed = vms
	for _, vm := range vms {
		m.lastListed[vm.Address] = now
	}
}

// register writes this daemon's row. If the write fails or its answer is lost,
// the row is read back.
func (m *Membership) register(ctx context.Context, current models.Revision) {
	value, err := table.EncodeMember(m.self)
	if err != nil {
		return
	}
	m.editing.Reset()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	key := table.MemberKey(m.self.ID)
	revision, err := m.table.Transact(ctx, models.Transaction{
		ID:         randomHex(keyIDBytes),
		Conditions: []models.Condition{{Key: key, Revision: current}},
		Writes:     []models.Write{{Key: key, Value: value}},
	})
	if err != nil {
		m.rereadRow(ctx, key)
		return
	}
	m.configuration.ApplyCommitted([]models.Row{{Key: key, Revision: revision, Value: value}})
	m.timeline.Record(models.Event{Kind: models.EventMembership, What: "registered", Why: "this daemon was not on the table's list of daemons"})
}

// rereadRow reads back a row whose write may have taken effect.
func (m *Membership) rereadRow(ctx context.Context, key models.RowKey) {
	if rows, err := m.table.Read(ctx, key); err == nil {
		m.configuration.ApplyCommitted(rows)
	}
}

// recordLiveness records on the time line which daemons have become alive or
// silent since the last check.
func (m *Membership) recordLiveness(roster Roster) {
	m.mu.Lock()
	aliveNow := map[models.DaemonID]bool{}
	for id := range roster.Members {
		aliveNow[id] = id != m.self.ID && m.alive(id)
	}
	before := m.aliveBefore
	m.aliveBefore = aliveNow
	m.mu.Unlock()
	for id, alive := range aliveNow {
		switch {
		case alive && !before[id]:
			m.timeline.Record(models.Event{Kind: models.EventMembership, What: "daemon " + string(id) + " is alive", Why: "it was heard"})
		case !alive && before[id]:
			m.timeline.Record(models.Event{Kind: models.EventMembership, What: "daemon " + string(id) + " is not heard", Why: "it was silent for " + aliveTimeout.String()})
		}
	}
}

// removeGone removes the registrations of daemons that are gone. Each is removed
// by one daemon, chosen among those alive.
func (m *Membership) removeGone(ctx context.Context, roster Roster) {
	latest := latestByAddress(roster)
	for _, member := range m.Others() {
		replaced := member.Revision < latest[member.Address]
		if !replaced && !m.isGone(member) || !m.isRemover(member.ID, roster) {
			continue
		}
		m.editing.Expel(member.ID, member.Revision)
		own := m.configuration.Row(table.MemberKey(m.self.ID))
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		err := m.remove(ctx, m.configuration.Row(table.MemberKey(member.ID)), &own)
		cancel()
		if err == nil {
			m.timeline.Record(models.Event{Kind: models.EventMembership, What: "registration of daemon " + string(member.ID) + " removed", Why: "it was silent, or another process has its address"})
		}
	}
}

// isRemover reports whether this daemon, among those alive, is the one to remove
// another's registration.
func (m *Membership) isRemover(id models.DaemonID, roster Roster) bool {
	var alive []table.Member
	for _, member := range roster.Members {
		if member.ID == m.self.ID || m.Alive(member.ID) {
			alive = append(alive, member)
		}
	}
	return topRanked(alive, "remove/"+string(id), 1)[0].ID == m.self.ID
}

// latestByAddress returns the latest registration of each address. The process
// of an earlier one is gone, since only one process can listen on an address.
func latestByAddress(roster Roster) map[netip.AddrPort]models.Revision {
	latest := make(map[netip.AddrPort]models.Revision, len(roster.List))
	for _, member := range roster.List {
		latest[member.Address] = max(latest[member.Address], member.Revision)
	}
	return latest
}

// isGone reports whether a daemon's registration is to be removed. For a daemon
// that is open to edits, silence for removeAfter is enough. One that is not
// open also needs a recent list of VMs from the platform, and the address must
// not have been on that list for removeAfter.
func (m *Membership) isGone(member table.Member) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	last := m.started
	if m.lastHeard[member.ID].After(last) {
		last = m.lastHeard[member.ID]
	}
	if now.Sub(last) < removeAfter {
		return false
	}
	if m.editing.Open() {
		return true
	}
	lastListed := m.lastListed[member.Address]
	return !m.listedAt.IsZero() && now.Sub(m.listedAt) <= 2*listInterval && now.Sub(lastListed) >= removeAfter
}

// remove deletes a registration. If the remover's own registration is given, it
// has to be unchanged.
func (m *Membership) remove(ctx context.Context, row models.Row, own *models.Row) error {
	conditions := []models.Condition{{Key: row.Key, Revision: row.Revision}}
	if own != nil {
		conditions = append(conditions, models.Condition{Key: own.Key, Revision: own.Revision})
	}
	revision, err := m.table.Transact(ctx, models.Transaction{
		ID:         randomHex(keyIDBytes),
		Conditions: conditions,
		Writes:     []models.Write{{Key: row.Key, Delete: true}},
	})
	if err != nil {
		return err
	}
	m.configuration.ApplyCommitted([]models.Row{{Key: row.Key, Revision: revision, Deleted: true}})
	return nil
}
