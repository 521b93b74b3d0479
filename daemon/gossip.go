package daemon

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"google.golang.org/grpc/credentials"

	"quincewinch/control"
	"quincewinch/models"
	peerdaemon "quincewinch/peer/daemon"
	"quincewinch/table"
)

const (
	exchangeTimeout    = time.Second
	spreadInterval     = 100 * time.Millisecond
	membershipInterval = 250 * time.Millisecond
)

// exchange holds what this daemon uses to exchange state with other daemons.
type exchange struct {
	traffic    peerdaemon.Traffic
	client     *peerdaemon.Client
	server     *peerdaemon.Server
	editing    *control.Editing
	membership *control.Membership
	gossip     *control.Gossip
	spread     *control.Propagator
}

// startExchange builds the exchange and starts its gRPC server. Its tasks are
// started by spawnExchange.
func (d *Daemon) startExchange(credentials credentials.TransportCredentials) error {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(d.settings.Daemons.Address))
	if err != nil {
		return errors.Annotate(err, "cannot listen for the other daemons")
	}
	d.addresses.Daemons = listener.Addr().(*net.TCPAddr).AddrPort()
	self := table.Member{ID: d.id, Zone: d.settings.Zone, Address: d.addresses.Daemons}
	e := &d.exchange
	e.client = peerdaemon.NewClient(credentials, exchangeTimeout, &e.traffic)
	e.editing = control.NewEditing(d.id)
	e.membership = control.NewMembership(self, d.platform.table, d.platform.vms, d.clock, d.ring, d.configuration, e.editing)
	e.gossip = control.NewGossip(self, e.client, d.clock, d.ring, d.configuration, e.membership, e.editing)
	e.spread = control.NewPropagator(e.gossip)
	e.server = peerdaemon.NewServer(gossipReceiver{d}, credentials, &e.traffic)
	d.configuration.SetReaderFunc(e.membership.Reader)
	go func() {
		if err := e.server.Serve(listener); err != nil {
			d.logger.Error("gRPC server for other daemons failed", zap.Error(err))
		}
	}()
	return nil
}

// spawnExchange starts the tasks of the exchange.
func (d *Daemon) spawnExchange(editor *control.Editor) {
	d.system.Spawn(d.exchange.membership, membershipInterval)
	d.system.Spawn(d.exchange.gossip, d.settings.Daemons.Interval)
	d.system.Spawn(d.exchange.spread, spreadInterval)
	d.system.Spawn(editor, membershipInterval)
}

// leaveExchange closes this daemon to edits and announces to the others that
// it is leaving, so that they need not wait for its confirmations.
func (d *Daemon) leaveExchange(ctx context.Context) {
	d.exchange.membership.Leave()
	d.exchange.gossip.Drain()
	d.exchange.gossip.Push(ctx)
}

// stopExchange removes the registration, then stops the server and closes the
// connections to other daemons.
func (d *Daemon) stopExchange(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if err := d.exchange.membership.Deregister(ctx); err != nil {
		d.logger.Warn("registration not removed", zap.Error(err))
	}
	d.exchange.server.Stop()
	d.exchange.client.Close()
}

// AcceptsEdits reports whether this daemon currently accepts operators' edits.
func (d *Daemon) AcceptsEdits() bool {
	return d.exchange.editing.Open()
}

// gossipReceiver implements peerdaemon.Receiver.
type gossipReceiver struct {
	daemon *Daemon
}

// Receive merges a gossip message from another daemon and returns the answer.
func (r gossipReceiver) Receive(message models.Gossip) models.Gossip {
	return r.daemon.exchange.gossip.Receive(message)
}

// Events returns this daemon's own events.
func (r gossipReceiver) Events(filter models.EventFilter) []models.Event {
	return r.daemon.ring.Events(filter)
}
