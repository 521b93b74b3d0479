package quarantine_test

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

const (
	daemonTick = 20 * time.Millisecond
	// lostShare is the share of the load shares that are lost while some are.
	lostShare = 0.3
)

// daemon is a daemon of a schedule. It implements balance.FleetView,
// balance.Members, balance.ShareClient, peer.Upstreams and relay.UsageMeter.
type daemon struct {
	schedule    *schedule
	index       int
	alive       bool
	disturbedAt time.Time // end of the latest disturbance

	// Of its latest process.
	process
	processes int
}

// process is a process of a daemon.
type process struct {
	ctx        context.Context
	cancel     context.CancelFunc
	balancer   *balance.Balancer
	origins    *resume.Origins
	quarantine *quarantine.Quarantine
	handler    relay.Handler
	snapshot   *routing.Snapshot
	step       func(ctx context.Context)
}

// newProcess returns a process that knows nothing.
func (d *daemon) newProcess() process {
	s := d.schedule
	logger := zap.NewNop()
	p := process{origins: resume.NewOrigins(noVersions{}, s.clock)}
	p.ctx, p.cancel = context.WithCancel(s.t.Context())
	retries := retry.Settings{Ratio: 0.2, Reserve: 50, Window: 10 * time.Second}
	p.balancer = balance.New(d, s.clock, balance.Settings{Zone: d.zone(), Retries: retries}, s.seed+uint64(d.index))
	p.quarantine = quarantine.New(d.id(), d, s.clock, logger)
	p.handler = relay.NewSender(d, p.balancer, d, p.origins, p.quarantine, s.clock, logger)
	self := models.LoadShare{From: d.id(), Zone: d.zone(), Address: d.address()}
	sharer := balance.NewSharer(self, p.balancer, d, d, noOrigins{}, p.quarantine, s.clock, logger)
	p.step = sharer.Step
	return p
}

// receive applies a load share of another daemon.
func (p process) receive(share models.LoadShare) models.ShareReceipt {
	p.quarantine.Learn(share.Evidence)
	p.balancer.ReceiveShare(share)
	return models.ShareReceipt{Instance: p.origins.Instance()}
}

func (d *daemon) start() {
	d.schedule.mu.Lock()
	defer d.schedule.mu.Unlock()
	d.startLocked()
}

// startLocked starts a process. The caller must hold schedule.mu.
func (d *daemon) startLocked() {
	s := d.schedule
	d.alive = true
	d.disturbedAt = s.clock.Now()
	d.processes++
	d.process = d.newProcess()
	p := d.process
	phase := between(s.draw(string("phase of "+d.id()), d.processes), 0, daemonTick)
	go func() {
		for wait := phase; s.clock.Sleep(p.ctx, wait) == nil; wait = daemonTick {
			s.mu.Lock()
			if p.ctx.Err() == nil {
				d.snapshot = s.snapshot
			}
			s.mu.Unlock()
			p.step(p.ctx)
		}
	}()
}

func (d *daemon) kill() {
	d.schedule.mu.Lock()
	defer d.schedule.mu.Unlock()
	d.killLocked()
}

// killLocked ends the process with its requests. The caller must hold schedule.mu.
func (d *daemon) killLocked() {
	d.alive = false
	d.cancel()
}

func (d *daemon) id() models.DaemonID {
	return models.DaemonID(fmt.Sprintf("d%02d", d.index))
}

func (d *daemon) zone() models.Zone {
	return models.Zone("z" + strconv.Itoa(d.index%d.schedule.zones))
}

func (d *daemon) address() netip.AddrPort {
	return netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(d.index+1))
}

// Snapshot implements balance.FleetView.
func (d *daemon) Snapshot() *routing.Snapshot {
	d.schedule.mu.Lock()
	defer d.schedule.mu.Unlock()
	return d.snapshot
}

// Listed implements balance.Members.
func (d *daemon) Listed() bool { return true }

// Others implements balance.Members.
func (d *daemon) Others() map[models.DaemonID]models.Peer {
	others := map[models.DaemonID]models.Peer{}
	for _, other := range d.schedule.daemons {
		if other != d {
			others[other.id()] = models.Peer{Address: other.address(), Zone: other.zone()}
		}
	}
	return others
}

// Share implements balance.ShareClient.
func (d *daemon) Share(ctx context.Context, to netip.AddrPort, share models.LoadShare) (models.ShareReceipt, error) {
	s := d.schedule
	unanswered := peer.NewFailure(peer.OutcomeUnknown, "no answer", nil)
	target := s.daemons[int(to.Port())-1]
	r := s.draw(fmt.Sprintf("share %d to %d", d.index, target.index), int(share.Sequence))
	if s.clock.Sleep(ctx, between(r, time.Millisecond, 4*time.Millisecond)) != nil {
		return models.ShareReceipt{}, unanswered
	}
	s.mu.Lock()
	arrives := target.alive && s.reaches(d.index, target.index) && !(s.lost && r.Float64() < lostShare)
	answered := !(s.lost && r.Float64() < lostShare)
	receiver := target.process
	s.mu.Unlock()
	if !arrives {
		return models.ShareReceipt{}, unanswered
	}
	receipt := receiver.receive(share)
	if !answered {
		return models.ShareReceipt{}, unanswered
	}
	return receipt, nil
}

// Drop implements balance.ShareClient.
func (d *daemon) Drop(netip.AddrPort) {}

// Count implements relay.UsageMeter.
func (d *daemon) Count(models.Workspace) {}

// noVersions implements resume.VersionSource. No version is asked for.
type noVersions struct{}

// Candidates implements resume.VersionSource.
func (noVersions) Candidates(models.ServiceName) ([]string, bool) { return nil, true }

// Began implements resume.VersionSource.
func (noVersions) Began(models.ServiceName, time.Duration) {}

// noOrigins implements balance.OriginLog. No caller resumes a stream.
type noOrigins struct{}

// Learned implements balance.OriginLog.
func (noOrigins) Learned(uint64, resume.Scope) bool { return false }

// Urgent implements balance.OriginLog.
func (noOrigins) Urgent(uint64, resume.Scope) bool { return false }

// Head implements balance.OriginLog.
func (noOrigins) Head() uint64 { return 0 }

// Since implements balance.OriginLog.
func (noOrigins) Since(uint64, resume.Scope, int) ([]models.StreamOrigin, uint64) {
	return nil, 0
}
