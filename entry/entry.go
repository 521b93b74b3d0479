// Package entry puts a daemon together that passes requests on unchanged
// between the platform's callers and backend servers.
package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"quincewinch/balance"
	"quincewinch/config"
	"quincewinch/control"
	"quincewinch/lib/logfmt"
	"quincewinch/peer"
	"quincewinch/platform"
	"quincewinch/policy/retry"
	"quincewinch/relay"
	"quincewinch/routing"
)

// Daemon is one process.
type Daemon struct {
	settings      *config.Entry
	logger        *zap.Logger
	clock         peer.Clock
	registry      *prometheus.Registry
	system        *control.System
	configuration *routing.Configuration
	fleet         *routing.Fleet
	balancer      *balance.Balancer
	front         *http.Server
	sharing       sharing
	duties        duties
	servers       []*http.Server
	stopping      atomic.Bool
}

// New returns a daemon that has not started.
func New(settings *config.Entry, logger *zap.Logger, clock peer.Clock) *Daemon {
	return &Daemon{
		settings: settings,
		logger:   logger,
		clock:    clock,
		registry: prometheus.NewRegistry(),
		system:   control.NewSystem(clock, logfmt.Standard(logger)),
	}
}

// Start binds the listeners and starts following the store.
func (d *Daemon) Start() error {
	store := platform.NewStore(d.settings.Store.Address, storeClient(), d.settings.Store.Timeout)
	wait := d.settings.Store.Watch
	d.configuration = routing.NewConfiguration(platform.NewRouting(store), d.clock, d.logger, wait)
	d.fleet = routing.NewFleet(platform.NewRegistrations(store), d.clock, d.logger, wait)
	d.balancer = balance.New(d.fleet, d.clock, d.logger, balance.Settings{
		Zone: d.settings.Zone,
		Retries: retry.Settings{
			Ratio:   d.settings.Retries.Ratio,
			Reserve: float64(d.settings.Retries.Reserve),
			Window:  d.settings.Retries.Window,
		},
	}, xxhash.Sum64String(d.settings.Name))
	if err := d.startSharing(store); err != nil {
		return err
	}
	d.startDuties(store)
	if err := d.listen(d.line()); err != nil {
		return err
	}
	d.system.Spawn(d.balancer, forgetStep)
	d.system.Spawn(d.configuration, watchPause)
	d.system.Spawn(d.fleet, watchPause)
	d.logger.Info("daemon started", zap.String("vm", d.settings.Name), zap.String("zone", string(d.settings.Zone)))
	return nil
}

// line returns the filters in the order a request meets them.
func (d *Daemon) line() relay.Handler {
	upstreams := platform.NewUpstreams(upstreamTransport())
	return relay.Chain(
		relay.NewSender(upstreams, d.balancer, d.duties.counter, d.clock),
		relay.NewRecorder(d.registry, d.clock, d.logger).Filter(),
		relay.Locate(d.configuration, d.clock),
	)
}

func (d *Daemon) listen(line relay.Handler) error {
	front := platform.NewFront(line, d.clock, platform.FrontSettings{
		BodyBytes: d.bodyBytes,
		Stopping:  d.stopping.Load,
	})
	d.front = &http.Server{
		Handler:           front,
		ReadHeaderTimeout: d.settings.Callers.HeaderTimeout,
		IdleTimeout:       d.settings.Callers.IdleTimeout,
		MaxHeaderBytes:    d.settings.Callers.HeaderBytes,
	}
	if err := d.serve(d.front, d.settings.Callers.Address); err != nil {
		return err
	}
	readiness := &http.Server{Handler: platform.NewReadiness(d.ready), ReadHeaderTimeout: d.settings.Callers.HeaderTimeout}
	if err := d.serve(readiness, d.settings.Readiness); err != nil {
		return err
	}
	measures := &http.Server{Handler: d.metrics(), ReadHeaderTimeout: d.settings.Callers.HeaderTimeout}
	return d.serve(measures, d.settings.Metrics)
}

func (d *Daemon) serve(server *http.Server, address netip.AddrPort) error {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return errors.Annotatef(err, "cannot listen at %s", address)
	}
	server.ErrorLog = zap.NewStdLog(d.logger)
	d.servers = append(d.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.logger.Error("listener ended", zap.String("address", address.String()), zap.Error(err))
		}
	}()
	return nil
}

// ready reports whether the balancer should send requests here.
func (d *Daemon) ready() bool {
	return !d.stopping.Load() && d.configuration.Routing() != nil && d.fleet.Snapshot() != nil
}

func (d *Daemon) bodyBytes() int {
	if routing := d.configuration.Routing(); routing != nil && routing.Limits.BodyBytes > 0 {
		return routing.Limits.BodyBytes
	}
	return d.settings.Callers.BodyBytes
}

// Stop is a graceful shutdown. Callers may go on to use their connections
// until shortly before the process is to be gone; each answer tells them to
// take the next request elsewhere.
func (d *Daemon) Stop(ctx context.Context) {
	d.stopping.Store(true)
	d.logger.Info("daemon stops", zap.String("why", "it was told to"))
	d.duties.leases.Release(ctx)
	// The wait ends early only with ctx.
	_ = d.clock.Sleep(ctx, d.settings.Callers.Grace/leaveShare)
	ctx, cancel := context.WithTimeout(ctx, d.settings.Callers.Grace/leaveShare)
	defer cancel()
	for _, server := range d.servers {
		if err := server.Shutdown(ctx); err != nil {
			d.logger.Warn("connections were cut at the end of the grace time", zap.Error(err))
		}
	}
	d.duties.counter.Flush(ctx)
	d.system.Stop()
	d.stopSharing(ctx)
	d.logger.Info("daemon stopped")
}
