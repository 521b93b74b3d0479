package entry

import (
	"context"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"quincewinch/detour"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/platform"
)

const (
	// checkDialTimeout bounds the connections by which it is checked whether backend
	// servers are reached.
	checkDialTimeout = 250 * time.Millisecond
	// forwardPoll is the time between two looks whether calls for other daemons still run.
	forwardPoll = 20 * time.Millisecond
)

// prepareUpstreams creates the client of the backend servers. It must not be used before
// startSharing has returned.
func (d *Daemon) prepareUpstreams() {
	dial := d.transport(0).DialContext
	check := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, checkDialTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
	d.reach = detour.NewReach(check, d.serversOf, d.clock, d.logger)
	direct := platform.NewUpstreams(platform.NewTransport(d.transport))
	by := func(address netip.AddrPort) peer.Upstreams { return d.sharing.forwards.Upstreams(address) }
	d.upstreams = detour.New(direct, d.reach, otherDaemons{d}, d.settings.Load().Zone, by, d.clock)
	d.gauge("services_not_reached", "Services whose backend servers this daemon does not reach directly.", func() float64 {
		return float64(d.reach.CutCount())
	})
	d.gauge("calls_by_other_daemons_total", "Calls at backend servers by way of other daemons.", func() float64 {
		made, _ := d.upstreams.Made()
		return float64(made)
	})
	d.gauge("calls_by_no_daemon_total", "Calls at backend servers that no other daemon could make.", func() float64 {
		_, none := d.upstreams.Made()
		return float64(none)
	})
	d.gauge("calls_for_other_daemons", "Calls at backend servers that this daemon makes for others now.", func() float64 {
		return float64(d.sharing.server.Forwarding())
	})
}

// serversOf returns the registered backend servers of a service.
func (d *Daemon) serversOf(service models.ServiceName) []models.Upstream {
	if snapshot := d.fleet.Snapshot(); snapshot != nil {
		return snapshot.ByService[service]
	}
	return nil
}

// otherDaemons are the daemons that may make calls for this one. It implements
// detour.Members.
type otherDaemons struct {
	daemon *Daemon
}

// Live implements detour.Members.
func (o otherDaemons) Live() map[models.DaemonID]models.Peer {
	return o.daemon.sharing.members.Live()
}

// finishForwarded waits until the calls for other daemons have ended, or ctx ends.
func (d *Daemon) finishForwarded(ctx context.Context) {
	for d.sharing.server.Forwarding() > 0 {
		if err := d.clock.Sleep(ctx, forwardPoll); err != nil {
			d.logger.Warn("calls for other daemons cut off", zap.Int("calls", d.sharing.server.Forwarding()), zap.Error(err))
			return
		}
	}
}
