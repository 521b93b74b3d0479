// Package entry assembles the daemon that forwards requests unchanged from the
// platform's callers to backend servers.
package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"quincewinch/balance"
	"quincewinch/config"
	"quincewinch/control"
	"quincewinch/detour"
	"quincewinch/intake"
	"quincewinch/lib/drain"
	"quincewinch/lib/logfmt"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/platform"
	"quincewinch/quarantine"
	"quincewinch/ratelimit"
	"quincewinch/relay"
	"quincewinch/resume"
	"quincewinch/routing"
)

// bindInterval is the time between two tries to listen at an address that is in use.
const bindInterval = 100 * time.Millisecond

// Daemon is one entry process with its listeners and background tasks.
type Daemon struct {
	settings        atomic.Pointer[config.Entry]
	logger          *zap.Logger
	clock           peer.Clock
	wall            peer.Clock // wall-clock time, for billing windows
	droppedLines    func() int64
	transport       func(idle time.Duration) *http.Transport // to backend servers
	registry        *prometheus.Registry
	system          *control.System
	configuration   *routing.Configuration
	versions        *resume.Versions
	fleet           *routing.Fleet
	origins         *resume.Origins
	journal         *resume.Journal // of origins
	quarantine      *quarantine.Quarantine
	crashes         *quarantine.Journal
	balancer        *balance.Balancer
	limits          *ratelimit.Limits // of workspaces
	intake          *intake.Intake
	reach           *detour.Reach
	upstreams       *detour.Upstreams
	recorder        *relay.Recorder
	callers         *drain.Server
	sharing         sharing
	duties          duties
	internalServers []*http.Server // readiness and metrics
	stopping        atomic.Bool
}

// New returns a daemon that has not been started. The function droppedLines
// returns the number of log lines that were dropped.
func New(settings *config.Entry, logger *zap.Logger, clock, wall peer.Clock, droppedLines func() int64) *Daemon {
	d := &Daemon{
		logger:       logger,
		clock:        clock,
		wall:         wall,
		droppedLines: droppedLines,
		transport:    upstreamTransport,
		registry:     prometheus.NewRegistry(),
		system:       control.NewSystem(clock, logfmt.Standard(logger)),
	}
	d.settings.Store(settings)
	return d
}

// Start binds the listeners and starts following changes in the store. It waits for
// addresses that are in use, until ctx ends.
func (d *Daemon) Start(ctx context.Context) error {
	settings := d.settings.Load()
	store := platform.NewStore(settings.Store.Address, storeClient(), settings.Store.Timeout)
	store.SetRestoreListener(d.storeRestored)
	store.SetCallListener(d.storeCallCounter())
	d.gauge("store_era", "Era of the platform's store: rises each time that it returns from an older copy.", func() float64 { return float64(store.Era()) })
	wait := settings.Store.MaxWatchWait()
	d.prepareSharing(store)
	d.configuration = routing.NewConfiguration(platform.NewRouting(d.sharing.source), d.clock, d.logger, wait)
	d.versions = resume.NewVersions(platform.NewRegistrations(d.sharing.source), store, d.clock, d.logger)
	d.origins = resume.NewOrigins(d.versions, d.clock)
	d.journal = resume.NewJournal(d.origins, d.versions, store, d.sharing.originDuty, d.clock, d.logger)
	d.fleet = routing.NewFleet(d.versions, d.clock, d.logger, wait, settings.Store.RemovalTimeout)
	d.limits = ratelimit.New(limitView{d}, limitSettings(settings), d.registry, d.clock, d.logger)
	d.balancer = balance.New(d.fleet, d.clock, balance.Settings{
		Self:       models.DaemonID(settings.Name),
		Zone:       settings.Zone,
		Retries:    retrySettings(settings),
		FirstStart: settings.FirstStart,
		Uses:       d.limits,

		WorkListener:  d.workListener(),
		AdmitByDemand: platform.AdmitsByDemand(settings.Terms),
		KeepMemory:    settings.Engines.KeepMemory,
	}, xxhash.Sum64String(settings.Name))
	d.limitIntake(settings.VM)
	d.prepareUpstreams()
	if err := d.startSharing(ctx, store); err != nil {
		return err
	}
	d.startDuties(store)
	if err := d.listen(ctx, d.newHandler()); err != nil {
		return err
	}
	d.system.Spawn(d.balancer, pruneInterval)
	d.system.Spawn(d.limits, ratelimit.Interval)
	d.system.Spawn(d.intake, intake.SweepInterval)
	d.system.Spawn(d.reach, detour.CheckInterval)
	d.system.Spawn(slowWatch{d.balancer, d.logger}, slowInterval)
	d.system.Spawn(roomWatch{d.balancer, d.logger}, roomInterval)
	d.registry.MustRegister(newRoomCollector(d.balancer))
	d.system.Spawn(retriesWatch{d.balancer, d.logger}, retriesInterval)
	d.system.Spawn(d.origins, originInterval)
	d.system.Spawn(d.versions, originInterval)
	d.system.Spawn(originWriter{d.journal, d.clock}, journalIdleInterval)
	d.system.Spawn(d.crashes, crashInterval)
	d.system.Spawn(d.configuration, followInterval)
	d.system.Spawn(d.fleet, followInterval)
	d.logger.Info("daemon started", zap.String("vm", settings.Name), zap.String("zone", string(settings.Zone)), zap.Bool("first-start", settings.FirstStart))
	return nil
}

// storeRestored logs that the store has returned from an older copy.
func (d *Daemon) storeRestored(before, era uint64) {
	d.logger.Warn("store returned from an older copy", zap.Uint64("era", era), zap.Uint64("era-before", before))
}

// newHandler returns the chain of filters that handles each request.
func (d *Daemon) newHandler() relay.Handler {
	sender := relay.NewSender(d.upstreams, d.balancer, d.duties.counter, d.origins, d.quarantine, d.clock, d.logger)
	sender.LimitAnswers(d.intake.Answers())
	d.recorder = relay.NewRecorder(d.registry, d.clock, d.logger)
	return relay.Chain(
		sender,
		d.recorder.Filter(),
		relay.Locate(d.configuration, d.clock),
		d.limits.Filter(),
		relay.Resume(resume.NewFinder(d.origins, d.versions, d.journal)),
	)
}

func (d *Daemon) listen(ctx context.Context, handler relay.Handler) error {
	settings := d.settings.Load()
	frontend := platform.NewFrontend(handler, d.clock, platform.FrontendSettings{
		MaxBodyBytes: d.maxBodyBytes,
		Stopping:     d.stopping.Load,
		Intake:       d.intake,
		Authorize:    d.authorize,
		Refused:      d.recorder.Refused,
	})
	callers := &http.Server{
		Handler:           frontend,
		ReadHeaderTimeout: settings.Callers.HeaderTimeout,
		IdleTimeout:       settings.Callers.IdleTimeout,
		MaxHeaderBytes:    settings.Callers.HeaderBytes,
		ConnContext:       intake.WithConn,
	}
	listener, err := d.bind(ctx, settings.Callers.Address)
	if err != nil {
		return err
	}
	d.serveCallers(callers, d.intake.Listen(listener))
	readiness := &http.Server{Handler: platform.NewReadiness(d.Ready), ReadHeaderTimeout: settings.Callers.HeaderTimeout}
	if err := d.serveInternal(ctx, readiness, settings.ReadinessAddress); err != nil {
		return err
	}
	metricsServer := &http.Server{Handler: d.metrics(), ReadHeaderTimeout: settings.Callers.HeaderTimeout}
	return d.serveInternal(ctx, metricsServer, settings.MetricsAddress)
}

// serveInternal serves an address that callers do not use until the daemon has
// stopped serving them.
func (d *Daemon) serveInternal(ctx context.Context, server *http.Server, address netip.AddrPort) error {
	listener, err := d.bind(ctx, address)
	if err != nil {
		return err
	}
	d.internalServers = append(d.internalServers, server)
	d.serve(server, listener, func() error { return server.Serve(listener) })
	return nil
}

// bind listens at an address. While something else does, such as a process that is about
// to end or a connection with that local port, it waits.
func (d *Daemon) bind(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	for tries := 1; ; tries++ {
		listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
		if err == nil {
			if tries > 1 {
				d.logger.Info("address free again", zap.String("address", address.String()), zap.Int("tries", tries))
			}
			return listener, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, errors.Annotatef(err, "cannot listen at %s", address)
		}
		if tries == 1 {
			d.logger.Warn("address in use; waiting until it is free", zap.String("address", address.String()), zap.Error(err))
		}
		if d.clock.Sleep(ctx, bindInterval) != nil {
			return nil, errors.Annotatef(err, "stopped while waiting to listen at %s", address)
		}
	}
}

// serveCallers serves a listener for callers in the background until the stop.
func (d *Daemon) serveCallers(server *http.Server, listener net.Listener) {
	d.callers = drain.NewServer(server, listener, d.clock)
	d.serve(server, listener, d.callers.Serve)
}

// serve serves a listener in the background until the server is shut down or
// drained.
func (d *Daemon) serve(server *http.Server, listener net.Listener, serve func() error) {
	server.ErrorLog = zap.NewStdLog(d.logger)
	go func() {
		if err := serve(); !errors.Is(err, http.ErrServerClosed) {
			d.logger.Error("HTTP server failed", zap.String("address", listener.Addr().String()), zap.Error(err))
		}
	}()
}

// Spawn runs a task at an interval until the daemon stops.
func (d *Daemon) Spawn(task control.Task, interval time.Duration) {
	d.system.Spawn(task, interval)
}

// Ready reports whether the load balancer in front of the daemons should send
// requests here: the daemon is not stopping, has read the configuration and
// the registrations, and has tried to read the crashes of before its start.
func (d *Daemon) Ready() bool {
	return !d.stopping.Load() && d.configuration.Routing() != nil && d.fleet.Snapshot() != nil && d.crashes.Tried()
}

func (d *Daemon) maxBodyBytes() int {
	if routing := d.configuration.Routing(); routing != nil && routing.Limits.BodyBytes > 0 {
		return routing.Limits.BodyBytes
	}
	return d.settings.Load().Callers.BodyBytes
}
