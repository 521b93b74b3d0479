package resume_test

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"go.uber.org/zap"

	"quincewinch/balance"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/policy/retry"
	"quincewinch/quarantine"
	"quincewinch/relay"
	"quincewinch/resume"
	"quincewinch/routing"
)

// scheduleDaemon is a daemon of a schedule.
type scheduleDaemon struct {
	schedule *schedule
	index    int
	alive    bool
	// registrations are what it still follows while it is out of step; nil: those of now.
	registrations []models.Upstream
	reachesStore  bool
	disturbedAt   time.Time // when it last started or came back in step

	// Of its latest process.
	ctx      context.Context
	cancel   context.CancelFunc
	balancer *balance.Balancer
	origins  *resume.Origins
	versions *resume.Versions
	snapshot *routing.Snapshot
	handler  relay.Handler
}

func (d *scheduleDaemon) start() {
	d.schedule.mu.Lock()
	defer d.schedule.mu.Unlock()
	d.startLocked()
}

// startLocked starts a process, which knows nothing. The caller must hold
// schedule.mu.
func (d *scheduleDaemon) startLocked() {
	s := d.schedule
	if d.alive {
		return
	}
	d.alive = true
	d.disturbedAt = s.clock.Now()
	d.ctx, d.cancel = context.WithCancel(s.t.Context())
	d.versions = resume.NewVersions(d, d, s.clock, zap.NewNop())
	d.origins = resume.NewOrigins(d.versions, s.clock)
	d.balancer = balance.New(d, s.clock, balance.Settings{Zone: d.zone(), Retries: retry.Settings{Ratio: 1, Reserve: 1000, Window: time.Second}}, s.seed)
	duty := func() (resume.Scope, bool) { return resume.ScopeOwn, true }
	journal := resume.NewJournal(d.origins, d.versions, d, duty, s.clock, zap.NewNop())
	d.snapshot = nil
	self := models.LoadShare{From: models.DaemonID(strconv.Itoa(d.index)), Zone: d.zone(), Address: d.address()}
	guard := quarantine.New(self.From, d, s.clock, zap.NewNop())
	sender := relay.NewSender(s, d.balancer, s, d.origins, guard, s.clock, zap.NewNop())
	d.handler = relay.Chain(sender, relay.Resume(resume.NewFinder(d.origins, d.versions, journal)))
	sharer := balance.NewSharer(self, d.balancer, d, s, d.origins, guard, s.clock, zap.NewNop())
	ctx, versions := d.ctx, d.versions
	writtenAt := s.clock.Now()
	go func() {
		for {
			changes, err := versions.Follow(ctx, 0, 0)
			s.is.NoErr(err)
			d.apply(ctx, changes)
			sharer.Step(ctx)
			versions.Step(ctx)
			if now := s.clock.Now(); now.Sub(writtenAt) >= scheduleWrites {
				writtenAt = now
				journal.Step(ctx)
			}
			if s.clock.Sleep(ctx, scheduleTick) != nil {
				return
			}
		}
	}()
}

func (d *scheduleDaemon) kill() {
	d.schedule.mu.Lock()
	defer d.schedule.mu.Unlock()
	d.killLocked()
}

// killLocked ends the process with its requests. The caller must hold schedule.mu.
func (d *scheduleDaemon) killLocked() {
	d.alive = false
	d.cancel()
}

func (d *scheduleDaemon) zone() models.Zone {
	return models.Zone(fmt.Sprintf("z%d", d.index%scheduleZones))
}

func (d *scheduleDaemon) address() netip.AddrPort {
	return netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(d.index+1))
}

// Follow implements peer.UpstreamSource.
func (d *scheduleDaemon) Follow(context.Context, models.Revision, time.Duration) (models.UpstreamChanges, error) {
	d.schedule.mu.Lock()
	defer d.schedule.mu.Unlock()
	if d.registrations != nil {
		return models.UpstreamChanges{All: true, Present: d.registrations}, nil
	}
	return models.UpstreamChanges{All: true, Present: d.schedule.registered()}, nil
}

// Changes implements resume.Table.
func (d *scheduleDaemon) Changes(ctx context.Context, partition models.Partition, after models.Revision) (models.Changes, error) {
	if !d.callStore(ctx) {
		return models.Changes{}, peer.NewFailure(peer.OutcomeUnknown, "no answer", nil)
	}
	return d.schedule.table.Changes(ctx, partition, after)
}

// Transact implements resume.Table.
func (d *scheduleDaemon) Transact(ctx context.Context, transaction models.Transaction) (models.Revision, error) {
	if !d.callStore(ctx) {
		return 0, peer.NewFailure(peer.OutcomeUnknown, "no answer", nil)
	}
	return d.schedule.table.Transact(ctx, transaction)
}

// Era implements resume.Table.
func (d *scheduleDaemon) Era() uint64 { return 1 }

// callStore takes the time of a call and reports whether it reaches the store.
func (d *scheduleDaemon) callStore(ctx context.Context) bool {
	if d.schedule.clock.Sleep(ctx, storeDelay) != nil {
		return false
	}
	d.schedule.mu.Lock()
	defer d.schedule.mu.Unlock()
	return d.reachesStore
}

// apply replaces the snapshot unless the process has ended.
func (d *scheduleDaemon) apply(ctx context.Context, changes models.UpstreamChanges) {
	snapshot := &routing.Snapshot{
		ByID:      map[models.EngineID]models.Upstream{},
		ByService: map[models.ServiceName][]models.Upstream{newService.Name: changes.Present},
	}
	for _, upstream := range changes.Present {
		snapshot.ByID[upstream.ID] = upstream
	}
	d.schedule.mu.Lock()
	defer d.schedule.mu.Unlock()
	if ctx.Err() == nil {
		d.snapshot = snapshot
	}
}

// Snapshot implements balance.FleetView.
func (d *scheduleDaemon) Snapshot() *routing.Snapshot {
	d.schedule.mu.Lock()
	defer d.schedule.mu.Unlock()
	return d.snapshot
}

// Listed implements balance.Members.
func (d *scheduleDaemon) Listed() bool { return true }

// Others implements balance.Members.
func (d *scheduleDaemon) Others() map[models.DaemonID]models.Peer {
	others := map[models.DaemonID]models.Peer{}
	for _, other := range d.schedule.daemons {
		if other != d {
			others[models.DaemonID(strconv.Itoa(other.index))] = models.Peer{Address: other.address(), Zone: other.zone()}
		}
	}
	return others
}
