package entry

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"google.golang.org/grpc/credentials/insecure"

	"quincewinch/balance"
	"quincewinch/feed"
	"quincewinch/membership"
	"quincewinch/models"
	peerdaemon "quincewinch/peer/daemon"
	"quincewinch/platform"
	"quincewinch/table"
)

const (
	// shareTimeout bounds one share: daemons are milliseconds apart, and a
	// later share says more than a late one.
	shareTimeout = 500 * time.Millisecond
	// shareInterval is how often it is looked whether there is news to share: a
	// fraction of the time in which an engine reads a long prompt.
	shareInterval = 10 * time.Millisecond
	// memberInterval is how often it is looked whether registrations are due.
	memberInterval = 250 * time.Millisecond
	// forgetStep is the time between two looks for backend servers that are
	// gone.
	forgetStep = 5 * time.Second
)

// sharing is this daemon's part in what the daemons tell each other.
type sharing struct {
	traffic peerdaemon.Traffic
	members *membership.Members
	client  *peerdaemon.Client
	server  *peerdaemon.Server
	sharer  *balance.Sharer
	reader  *feed.Reader
	source  *feed.Source // what this daemon follows the store by
}

// Reader implements feed.Zone.
func (s *sharing) Reader() (address netip.AddrPort, other bool) {
	return s.sharer.Reader()
}

// HasFollowers implements feed.Zone.
func (s *sharing) HasFollowers() bool {
	return s.sharer.HasFollowers()
}

// prepareSharing makes what the store is followed by, which is to be followed
// only once startSharing has run.
func (d *Daemon) prepareSharing(store *platform.Store) {
	s := &d.sharing
	s.client = peerdaemon.NewClient(insecure.NewCredentials(), shareTimeout, &s.traffic)
	s.reader = feed.NewReader(store)
	s.source = feed.NewSource(s.reader, s.client, s, d.clock, d.logger)
}

// startSharing listens for the other daemons and starts telling them.
func (d *Daemon) startSharing(store *platform.Store) error {
	settings := d.settings.Load()
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(settings.Daemons))
	if err != nil {
		return errors.Annotate(err, "cannot listen for the other daemons")
	}
	s := &d.sharing
	self := table.Member{ID: models.DaemonID(settings.Name), Zone: settings.Zone, Address: settings.Daemons}
	s.members = membership.New(self, store, d.clock, d.logger)
	s.server = peerdaemon.NewEntryServer(shareReceiver{d}, s.reader, insecure.NewCredentials(), &s.traffic)
	sender := models.LoadShare{From: self.ID, Zone: self.Zone, Address: self.Address}
	s.sharer = balance.NewSharer(sender, d.balancer, s.members, s.client, d.clock, d.logger)
	go func() {
		if err := s.server.Serve(listener); err != nil {
			d.logger.Error("listener for daemons ended", zap.Error(err))
		}
	}()
	d.system.Spawn(s.members, memberInterval)
	d.system.Spawn(s.sharer, shareInterval)
	return nil
}

// stopSharing ends the exchange with the other daemons.
func (d *Daemon) stopSharing(ctx context.Context) {
	d.sharing.sharer.Leave(ctx)
	d.sharing.members.Leave(ctx)
	d.sharing.server.Stop()
	d.sharing.client.Close()
}

// shareReceiver implements peerdaemon.ShareReceiver.
type shareReceiver struct {
	daemon *Daemon
}

// ReceiveShare takes in what another daemon tells.
func (r shareReceiver) ReceiveShare(share models.LoadShare) {
	members := r.daemon.sharing.members
	if !balance.IsSum(share.From) {
		members.Heard(share.From, share.Zone, share.Address)
	}
	if share.Leaving {
		members.Gone(share.From)
	}
	r.daemon.balancer.ReceiveShare(share)
}
