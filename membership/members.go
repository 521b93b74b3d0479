// Package membership knows the other daemons: each registers in the platform's
// store, and says where it listens in what it sends.
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
	// listInterval is the time between two reads of the registrations. Daemons
	// also hear of new ones from these themselves.
	listInterval = 5 * time.Second
	// daemonsPerInterval is after how many others that time grows by itself once more,
	// so that the calls of all together stay few.
	daemonsPerInterval = 16
	// startupListInterval is that time while this daemon is new or not registered.
	startupListInterval = time.Second
	// startupPeriod is how long a daemon is new.
	startupPeriod = 3 * time.Second
	// liveTimeout is how long a daemon that is not heard counts as live.
	liveTimeout = 3 * time.Second
	// removalTimeout is how long a daemon is silent before its registration is
	// removed.
	removalTimeout = time.Minute
)

// Members keeps the addresses of the other daemons.
type Members struct {
	self   table.Member
	table  peer.Table
	clock  peer.Clock
	logger *zap.Logger

	// Used by Step alone.
	startedAt  time.Time
	lastListAt time.Time
	through    models.Revision
	registered bool

	mu      sync.Mutex
	others  map[models.DaemonID]member
	leaving bool
}

type member struct {
	address      netip.AddrPort
	zone         models.Zone
	row          models.Revision // of its registration, 0 where it was only heard
	lastHeardAt  time.Time
	lastListedAt time.Time
}

// New returns the members as a daemon that has not registered knows them:
// none.
func New(self table.Member, t peer.Table, clock peer.Clock, logger *zap.Logger) *Members {
	return &Members{
		self:      self,
		table:     t,
		clock:     clock,
		logger:    logger,
		startedAt: clock.Now(),
		others:    map[models.DaemonID]member{},
	}
}

// Step registers this daemon, and reads the registrations now and then.
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
		m.logger.Warn("registrations of daemons not read", zap.Error(err))
		return
	}
	m.through = max(m.through, changes.Through)
	for _, row := range changes.Rows {
		m.apply(row, now)
	}
	m.removeSilent(ctx, now)
}

func (m *Members) listDue(now time.Time) bool {
	every := listInterval * time.Duration(1+m.count()/daemonsPerInterval)
	if !m.registered || now.Sub(m.startedAt) < startupPeriod {
		every = startupListInterval
	}
	return m.lastListAt.IsZero() || now.Sub(m.lastListAt) >= every
}

func (m *Members) register(ctx context.Context) {
	value, err := table.EncodeMember(m.self)
	if err != nil {
		m.logger.Error("registration not encoded", zap.Error(err))
		return
	}
	write := models.Write{Key: table.MemberKey(m.self.ID), Value: value}
	if _, err := m.table.Transact(ctx, models.Transaction{Writes: []models.Write{write}}); err != nil {
		m.logger.Warn("daemon not registered", zap.Error(err))
		return
	}
	m.registered = true
	m.logger.Info("daemon registered", zap.String("address", m.self.Address.String()))
}

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
	registered, err := table.ParseMember(row)
	if err != nil {
		m.logger.Warn("registration of a daemon not decoded", zap.Error(err))
		return
	}
	known := m.others[id]
	known.address = registered.Address
	known.zone = registered.Zone
	known.row = registered.Revision
	known.lastListedAt = now
	m.others[id] = known
}

// removeSilent removes the registrations of daemons that have long been
// silent.
func (m *Members) removeSilent(ctx context.Context, now time.Time) {
	for id, other := range m.snapshot() {
		if other.row == 0 || now.Sub(other.lastHeardAt) < removalTimeout || now.Sub(other.lastListedAt) < removalTimeout {
			continue
		}
		key := table.MemberKey(id)
		_, err := m.table.Transact(ctx, models.Transaction{
			Conditions: []models.Condition{{Key: key, Revision: other.row}},
			Writes:     []models.Write{{Key: key, Delete: true}},
		})
		m.logger.Info("registration of a silent daemon removed", zap.String("daemon", string(id)), zap.Error(err))
	}
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

// MarkAlive notes that a daemon showed itself.
func (m *Members) MarkAlive(id models.DaemonID, zone models.Zone, address netip.AddrPort) {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if id == m.self.ID {
		return
	}
	known := m.others[id]
	known.address = address
	known.zone = zone
	known.lastHeardAt = now
	m.others[id] = known
}

// Remove notes that a daemon has said that it stops.
func (m *Members) Remove(id models.DaemonID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.others, id)
}

// Others returns the other daemons.
func (m *Members) Others() map[models.DaemonID]models.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	peers := make(map[models.DaemonID]models.Peer, len(m.others))
	for id, other := range m.others {
		peers[id] = models.Peer{Address: other.address, Zone: other.zone}
	}
	return peers
}

func (m *Members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.others)
}

// LiveCount returns how many daemons were heard of late, this one included.
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

// Leave removes this daemon's registration at a planned stop.
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
