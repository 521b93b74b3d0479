// Package membership tracks the other daemons. Daemons learn of each other from
// registrations in the platform's table store, and from the messages that they
// send each other, which contain the sender's address.
package membership

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/table"
)

const (
	// listInterval is the time between reads of the registrations. New daemons
	// are also learned of from their own messages.
	listInterval = 5 * time.Second
	// daemonsPerInterval is the number of other daemons that adds one listInterval
	// to the time between reads, which limits the total rate of calls.
	daemonsPerInterval = 16
	// startupListInterval is the time between reads during the startup period, or
	// while this daemon is not registered.
	startupListInterval = 1500 * time.Millisecond
	// startupPeriod is how long after its start a daemon reads more often.
	startupPeriod = 2 * time.Second
	// liveTimeout is how long a daemon counts as live after its last message.
	liveTimeout = 3 * time.Second
	// removalTimeout is how long a daemon must have sent nothing before its
	// registration is removed.
	removalTimeout = time.Minute
	// leaveMemory is how long a daemon that has announced its stop is remembered:
	// longer than its last message may be relayed.
	leaveMemory = 5 * time.Second
)

// Members tracks the addresses of the other daemons.
type Members struct {
	self   table.Member
	table  peer.Table
	clock  peer.Clock
	logger *zap.Logger

	// Accessed only by Step.
	startedAt  time.Time
	lastListAt time.Time
	through    models.Revision
	registered bool

	mu      sync.Mutex
	others  map[models.DaemonID]member
	zones   map[models.Zone]zoneContact
	left    map[models.DaemonID]time.Time // when daemons announced their stop
	leaving bool
	listed  bool // the registrations have been read
}

// zoneContact is when something was last heard of a zone.
type zoneContact struct {
	daemonAt time.Time // from one of its daemons, or from another one about it
	sumAt    time.Time // from the zone as a whole
}

// member is what is known about another daemon.
type member struct {
	address      netip.AddrPort
	zone         models.Zone
	row          models.Revision // revision of its registration; 0: not read yet
	lastHeardAt  time.Time
	lastListedAt time.Time
}

// New returns the Members of a daemon that is not registered yet and knows no
// other daemon.
func New(self table.Member, t peer.Table, clock peer.Clock, logger *zap.Logger) *Members {
	return &Members{
		self:      self,
		table:     t,
		clock:     clock,
		logger:    logger,
		startedAt: clock.Now(),
		others:    map[models.DaemonID]member{},
		zones:     map[models.Zone]zoneContact{},
		left:      map[models.DaemonID]time.Time{},
	}
}

// Step registers this daemon if needed, and reads the registrations when that
// is due.
func (m *Members) Step(ctx context.Context) {
	now := m.clock.Now()
	if !m.listDue(now) || m.isLeaving() {
		return
	}
	m.lastListAt = now
	if !m.registered {
		m.register(ctx)
	}
	changes, err := m.table.Changes(ctx, models.PartitionDaemons, m.through)
	if err != nil {
		m.logger.Warn("failed to read daemon registrations", zap.Error(err))
		return
	}
	if m.through > 0 && changes.Through.Era() > m.through.Era() {
		m.forgetRows()
	}
	m.through = max(m.through, changes.Through)
	for _, row := range changes.Rows {
		m.apply(row, now)
	}
	m.setListed()
	m.removeSilent(ctx, now)
}

func (m *Members) listDue(now time.Time) bool {
	interval := listInterval * time.Duration(1+m.count()/daemonsPerInterval)
	if !m.registered || now.Sub(m.startedAt) < startupPeriod {
		interval = startupListInterval
	}
	return m.lastListAt.IsZero() || now.Sub(m.lastListAt) >= interval
}

func (m *Members) register(ctx context.Context) {
	value, err := table.EncodeMember(m.self)
	if err != nil {
		m.logger.Error("failed to encode daemon registration", zap.Error(err))
		return
	}
	write := models.Write{Key: table.MemberKey(m.self.ID), Value: value}
	if _, err := m.table.Transact(ctx, models.Transaction{Writes: []models.Write{write}}); err != nil {
		m.logger.Warn("failed to register daemon", zap.Error(err))
		return
	}
	m.registered = true
	m.logger.Info("daemon registered", zap.String("address", m.self.Address.String()))
}

// forgetRows discards what was read before the table returned from an older copy.
// The daemons that were read are still known by their address.
func (m *Members) forgetRows() {
	m.registered = false
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, other := range m.others {
		other.row = 0
		m.others[id] = other
	}
}

// apply applies a registration row that was added, changed or deleted.
func (m *Members) apply(row models.Row, now time.Time) {
	id := models.DaemonID(row.Key.Name)
	if id == m.self.ID {
		m.registered = m.registered && !row.Deleted
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if row.Deleted {
		delete(m.others, id)
		return
	}
	registration, err := table.ParseMember(row)
	if err != nil {
		m.logger.Warn("failed to decode daemon registration", zap.Error(err))
		return
	}
	known := m.others[id]
	known.address = registration.Address
	known.zone = registration.Zone
	known.row = registration.Revision
	known.lastListedAt = now
	m.others[id] = known
}

// removeSilent deletes the registrations of daemons that have sent nothing, and
// whose registrations have not changed, for removalTimeout. Those without a
// registration are forgotten. One daemon of each zone deletes.
func (m *Members) removeSilent(ctx context.Context, now time.Time) {
	deletes := m.firstOfZone(now)
	for id, other := range m.snapshot() {
		if !m.silent(other, now) {
			continue
		}
		if other.row == 0 {
			m.forget(id)
			continue
		}
		if !deletes {
			continue
		}
		key := table.MemberKey(id)
		_, err := m.table.Transact(ctx, models.Transaction{
			Conditions: []models.Condition{{Key: key, Revision: other.row}},
			Writes:     []models.Write{{Key: key, Delete: true}},
		})
		if err != nil {
			m.logger.Warn("cannot remove the registration of a silent daemon", zap.String("daemon", string(id)), zap.Error(err))
			continue
		}
		m.logger.Info("registration of a silent daemon removed", zap.String("daemon", string(id)))
	}
}

// silent reports whether a daemon counts as gone. In large fleets nothing is heard of
// single daemons of other zones: their own zone finds those that are silent, while
// anything is heard of that zone.
func (m *Members) silent(other member, now time.Time) bool {
	if now.Sub(other.lastHeardAt) < removalTimeout || now.Sub(other.lastListedAt) < removalTimeout {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	contact := m.zones[other.zone]
	judged := other.zone == m.self.Zone || now.Sub(contact.daemonAt) < removalTimeout
	return judged || now.Sub(contact.sumAt) >= removalTimeout
}

// firstOfZone reports whether this daemon has the lowest ID of the live ones of its
// zone.
func (m *Members) firstOfZone(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, other := range m.others {
		if other.zone == m.self.Zone && id < m.self.ID && now.Sub(other.lastHeardAt) < liveTimeout {
			return false
		}
	}
	return true
}

func (m *Members) snapshot() map[models.DaemonID]member {
	m.mu.Lock()
	defer m.mu.Unlock()
	others := make(map[models.DaemonID]member, len(m.others))
	for id, other := range m.others {
		others[id] = other
	}
	return others
}

// MarkAlive records a message from a daemon, with its current zone and address.
func (m *Members) MarkAlive(id models.DaemonID, zone models.Zone, address netip.AddrPort) {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.left, id)
	m.heard(id, zone, address, now)
}

// MarkRelayed is MarkAlive for a message that another daemon has passed on. It may be
// older than the daemon's announcement of its stop.
func (m *Members) MarkRelayed(id models.DaemonID, zone models.Zone, address netip.AddrPort) {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if leftAt, ok := m.left[id]; ok && now.Sub(leftAt) < leaveMemory {
		return
	}
	m.heard(id, zone, address, now)
}

// heard records a message of a daemon. The caller must hold m.mu.
func (m *Members) heard(id models.DaemonID, zone models.Zone, address netip.AddrPort, now time.Time) {
	if id == m.self.ID {
		return
	}
	known := m.others[id]
	known.address = address
	known.zone = zone
	known.lastHeardAt = now
	m.others[id] = known
	contact := m.zones[zone]
	contact.daemonAt = now
	m.zones[zone] = contact
}

// MarkZone records a message from a zone as a whole.
func (m *Members) MarkZone(zone models.Zone) {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	contact := m.zones[zone]
	contact.sumAt = now
	m.zones[zone] = contact
}

// Remove forgets a daemon that has announced its stop.
func (m *Members) Remove(id models.DaemonID) {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.others, id)
	m.left[id] = now
	for other, leftAt := range m.left {
		if now.Sub(leftAt) >= leaveMemory {
			delete(m.left, other)
		}
	}
}

// forget discards a daemon that is not registered and has sent nothing.
func (m *Members) forget(id models.DaemonID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.others, id)
}

// Others returns the other daemons by ID, live or not.
func (m *Members) Others() map[models.DaemonID]models.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	peers := make(map[models.DaemonID]models.Peer, len(m.others))
	for id, other := range m.others {
		peers[id] = models.Peer{Address: other.address, Zone: other.zone}
	}
	return peers
}

// Live returns the other daemons that have sent a message within liveTimeout. In large
// fleets, where nothing is heard of single daemons of other zones, these count if anything
// was heard of their zone.
func (m *Members) Live() map[models.DaemonID]models.Peer {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	peers := map[models.DaemonID]models.Peer{}
	for id, other := range m.others {
		contact := m.zones[other.zone]
		summed := other.zone != m.self.Zone && now.Sub(contact.daemonAt) >= liveTimeout && now.Sub(contact.sumAt) < liveTimeout
		if summed || now.Sub(other.lastHeardAt) < liveTimeout {
			peers[id] = models.Peer{Address: other.address, Zone: other.zone}
		}
	}
	return peers
}

// Listed reports whether the registrations have been read since the start.
func (m *Members) Listed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed
}

func (m *Members) setListed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = true
}

func (m *Members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.others)
}

// LiveCount returns the number of daemons that have sent a message within
// liveTimeout, including this one.
func (m *Members) LiveCount() int {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	live := 1
	for _, other := range m.others {
		if now.Sub(other.lastHeardAt) < liveTimeout {
			live++
		}
	}
	return live
}

// Leave deletes this daemon's registration, at a planned stop. After that Step
// does nothing.
func (m *Members) Leave(ctx context.Context) {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	write := models.Write{Key: table.MemberKey(m.self.ID), Delete: true}
	if _, err := m.table.Transact(ctx, models.Transaction{Writes: []models.Write{write}}); err != nil {
		m.logger.Warn("registration not removed", zap.Error(err))
	}
}

func (m *Members) isLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}
