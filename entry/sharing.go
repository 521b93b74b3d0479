package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"google.golang.org/grpc/credentials/insecure"

	"quincewinch/balance"
	"quincewinch/feed"
	"quincewinch/membership"
	"quincewinch/models"
	"quincewinch/peer"
	peerdaemon "quincewinch/peer/daemon"
	"quincewinch/platform"
	"quincewinch/quarantine"
	"quincewinch/resume"
	"quincewinch/table"
)

const (
	// shareTimeout bounds sending one load share. Daemons are milliseconds
	// apart, and a newer share is worth more than a delayed one.
	shareTimeout = 500 * time.Millisecond
	// shareInterval is the time between two checks for load changes to send: a
	// fraction of the time in which an engine prefills a long prompt.
	shareInterval = 10 * time.Millisecond
	// memberInterval is the time between two checks whether this daemon has to
	// register itself or to read the other registrations.
	memberInterval = 250 * time.Millisecond
	// pruneInterval is the time between two removals of the state kept for
	// backend servers that no longer exist.
	pruneInterval = 5 * time.Second
	// originInterval is the time between two removals of the origins of streams
	// that callers can no longer resume.
	originInterval = time.Second
	// journalInterval is the shortest time between two writes of the origins of streams to
	// the store, while several versions serve. A stream that began later before the loss of
	// all daemons is not known.
	journalInterval = 50 * time.Millisecond
	// crashInterval is the time between two looks whether crashes are to be written to the
	// store.
	crashInterval = 250 * time.Millisecond
	// journalIdleInterval is the time between two looks whether any are to be written.
	journalIdleInterval = 250 * time.Millisecond
)

// sharing is the exchange of load and store changes with the other daemons.
type sharing struct {
	traffic peerdaemon.Traffic
	members *membership.Members
	client  *peerdaemon.Client
	// forwards has connections of its own: client closes those to a daemon that misses
	// load shares, which would break off calls that it makes for this daemon.
	forwards *peerdaemon.Client
	server   *peerdaemon.Server
	sharer   *balance.Sharer
	reader   *feed.Reader
	source   *feed.Source // of changes in the store
	writer   *feed.Writer // of rows of the store
}

// Reader returns the address of the daemon that reads the store for this zone.
// It implements feed.Zone.
func (s *sharing) Reader() (address netip.AddrPort, other bool) {
	return s.sharer.Reader()
}

// HasFollowers reports whether other daemons follow the store through this one. It
// implements feed.Zone.
func (s *sharing) HasFollowers() bool {
	return s.sharer.HasFollowers()
}

// originDuty returns the scope of the origins of streams that this daemon keeps in the
// store; ok is false if another daemon of the zone does so.
func (s *sharing) originDuty() (scope resume.Scope, ok bool) {
	return s.sharer.OriginDuty()
}

// standbyRank returns how many daemons in touch come before this one in writing what all
// know; ok is false if the leader of its zone writes.
func (s *sharing) standbyRank() (rank int, ok bool) {
	return s.sharer.StandbyRank()
}

// originWriter writes the origins of streams to the store.
type originWriter struct {
	journal *resume.Journal
	clock   peer.Clock
}

// Step implements control.Task. It goes on while only origins tell streams apart.
func (w originWriter) Step(ctx context.Context) {
	for {
		w.journal.Step(ctx)
		if !w.journal.Active() || w.clock.Sleep(ctx, journalInterval) != nil {
			return
		}
	}
}

// prepareSharing creates the source of store changes and the writer of rows. Neither
// must be used before startSharing has returned: they need the sharer.
func (d *Daemon) prepareSharing(store *platform.Store) {
	s := &d.sharing
	s.client = peerdaemon.NewClient(insecure.NewCredentials(), shareTimeout, &s.traffic)
	s.forwards = peerdaemon.NewClient(insecure.NewCredentials(), shareTimeout, &s.traffic)
	s.forwards.SetDial(dialReset(upstreamDialTimeout))
	s.forwards.LimitUnread()
	s.reader = feed.NewReader(store)
	s.source = feed.NewSource(s.reader, s.client, s, d.clock, d.logger)
	s.writer = feed.NewWriter(store, s.client, s, d.clock)
}

// startSharing listens for the other daemons, registers this daemon and starts
// sending load shares.
func (d *Daemon) startSharing(ctx context.Context, store *platform.Store) error {
	settings := d.settings.Load()
	listener, err := d.bind(ctx, settings.DaemonsAddress)
	if err != nil {
		return errors.Annotate(err, "cannot listen for the other daemons")
	}
	s := &d.sharing
	self := table.Member{ID: models.DaemonID(settings.Name), Zone: settings.Zone, Address: settings.DaemonsAddress}
	s.members = membership.New(self, store, d.clock, d.logger)
	s.server = peerdaemon.NewEntryServer(shareReceiver{d}, s.reader, s.writer, insecure.NewCredentials(), &s.traffic)
	s.server.SetForwarder(d.upstreams.NewForwarder(d.balancer, d.intake, d.stopping.Load), d.clock)
	sender := models.LoadShare{From: self.ID, Zone: self.Zone, Address: self.Address}
	d.quarantine = quarantine.New(self.ID, s.members, d.clock, d.logger)
	d.gauge("prompt_parts_blocked", "Prompt parts that are blocked because engines crash on them.", func() float64 {
		parts, _ := d.quarantine.Blocked()
		return float64(parts)
	})
	d.gauge("requests_blocked", "Requests that are blocked because backend servers crash each time that they come.", func() float64 {
		_, requests := d.quarantine.Blocked()
		return float64(requests)
	})
	d.crashes = quarantine.NewJournal(d.quarantine, store, s.standbyRank, d.clock, d.logger)
	s.sharer = balance.NewSharer(sender, d.balancer, s.members, s.client, d.origins, d.quarantine, d.clock, d.logger)
	go func() {
		if err := s.server.Serve(listener); err != nil {
			d.logger.Error("gRPC server for other daemons failed", zap.Error(err))
		}
	}()
	d.system.Spawn(s.members, memberInterval)
	d.system.Spawn(s.sharer, shareInterval)
	return nil
}

// stopSharing notifies the other daemons that this one is stopping, removes its
// registration and closes the connections.
func (d *Daemon) stopSharing(ctx context.Context) {
	d.sharing.sharer.Leave(ctx)
	d.sharing.members.Leave(ctx)
	d.sharing.server.Stop()
	d.sharing.client.Close()
	d.sharing.forwards.Close()
}

// shareReceiver passes the load shares of other daemons to the membership and
// the balancer. It implements peerdaemon.ShareReceiver.
type shareReceiver struct {
	daemon *Daemon
}

// ReceiveShare implements peerdaemon.ShareReceiver. A zone sum does not count
// as a heartbeat, because it does not come from a single daemon.
func (r shareReceiver) ReceiveShare(share models.LoadShare) models.ShareReceipt {
	members := r.daemon.sharing.members
	if balance.IsZoneSum(share.From) {
		members.MarkZone(share.Zone)
	} else {
		members.MarkAlive(share.From, share.Zone, share.Address)
	}
	for _, relayed := range share.Relayed {
		if balance.IsZoneSum(relayed.From) {
			members.MarkZone(relayed.Zone)
		} else {
			members.MarkRelayed(relayed.From, relayed.Zone, relayed.Address)
		}
	}
	if share.Leaving {
		members.Remove(share.From)
	}
	scope := resume.ScopeZone
	if share.Zone != r.daemon.settings.Load().Zone {
		scope = resume.ScopeRemote
	}
	r.daemon.origins.Learn(share.Origins, scope)
	share.Origins = nil
	r.daemon.quarantine.Learn(share.Evidence)
	share.Evidence = nil
	r.daemon.balancer.ReceiveShare(share)
	return models.ShareReceipt{Instance: r.daemon.origins.Instance()}
}
