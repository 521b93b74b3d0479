// Package daemon puts one process together: adapters, the line of filters,
// the control tasks and the listeners.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
	"google.golang.org/grpc/credentials/insecure"

	"quincewinch/config"
	"quincewinch/control"
	"quincewinch/lib/logfmt"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/caller"
	"quincewinch/peer/engine"
	"quincewinch/peer/operator"
	"quincewinch/peer/service"
	"quincewinch/request"
	"quincewinch/timeline"
)

const (
	timelineCapacity = 4096
	claimCleaning    = 5 * time.Minute
	// closingTimeout is for closing connections once nothing runs any more.
	closingTimeout = 5 * time.Second
)

// Daemon is one process of the system.
type Daemon struct {
	settings      *config.Settings
	logger        *zap.Logger
	clock         peer.Clock
	id            models.DaemonID
	ring          *timeline.Ring
	registry      *prometheus.Registry
	system        *control.System
	platform      platformServices
	configuration *control.Configuration
	engines       *control.Engines
	exchange      exchange
	claims        *request.Claims
	gate          *request.Gate
	leases        *control.Leases
	orders        *control.Orders
	usage         usage
	servers       []*http.Server
	ready         readiness
	addresses     Addresses
}

// Addresses are where a started daemon listens.
type Addresses struct {
	Callers   netip.AddrPort
	Operators netip.AddrPort
	Metrics   netip.AddrPort
	Daemons   netip.AddrPort
}

// Addresses returns where the daemon listens.
func (d *Daemon) Addresses() Addresses {
	return d.addresses
}

// ID returns the daemon's identity.
func (d *Daemon) ID() models.DaemonID {
	return d.id
}

// New returns a daemon that has not started.
func New(settings *config.Settings, logger *zap.Logger, clock peer.Clock) *Daemon {
	d := &Daemon{
		settings: settings,
		logger:   logger,
		clock:    clock,
		id:       models.DaemonID(settings.Name + "-" + randomText()),
		registry: prometheus.NewRegistry(),
		gate:     request.NewGate(),
		system:   control.NewSystem(clock, logfmt.Standard(logger)),
	}
	d.ring = timeline.NewRing(clock, d.id, settings.Zone, timelineCapacity, d.log)
	return d
}

// Start binds the listeners and starts the control tasks.
func (d *Daemon) Start() error {
	client := &http.Client{}
	d.platform = d.platformServices(client)
	engines := engine.NewClients(client)
	d.configuration = control.NewConfiguration(d.platform.table, d.clock, d.ring)
	d.engines = control.NewEngines(engines, d.configuration, d.clock, d.settings.Engines.Timeout)
	if err := d.startExchange(insecure.NewCredentials()); err != nil {
		return err
	}
	d.newUsage()
	line := d.line(engines, service.NewClients(client))
	editor := control.NewEditor(d.id, d.platform.table, d.configuration, d.exchange.editing, d.exchange.gossip, d.ring)
	d.spawnExchange(editor)
	d.system.Spawn(d.configuration, d.settings.Platform.Poll)
	d.system.Spawn(d.engines, d.settings.Engines.Poll)
	d.system.Spawn(request.NewClaimCleaner(d.platform.table, d.platform.objects, d.clock, d.id), claimCleaning)
	d.startLeases()
	d.startOrders(engines)
	d.startUsage()
	if err := d.listen(line, editor); err != nil {
		return err
	}
	d.ring.Record(models.Event{Kind: models.EventProcess, What: "daemon started", Why: "its process was started"})
	return nil
}

// Stop is a graceful shutdown: no new request is taken, running ones finish.
func (d *Daemon) Stop(ctx context.Context) error {
	d.ring.Record(models.Event{Kind: models.EventProcess, What: "daemon stops", Why: "a planned stop"})
	d.ready.drain()
	d.leaveExchange(ctx)
	ctx, cancel := context.WithTimeout(ctx, d.settings.Callers.DrainTimeout)
	defer cancel()
	d.usage.closer.Stop()
	d.leases.Release(ctx)
	failed := errors.Annotate(d.gate.Drain(ctx), "requests were still running at the end of the drain timeout")
	ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), closingTimeout)
	defer cancel()
	for _, server := range d.servers {
		if err := server.Shutdown(ctx); err != nil {
			failed = errors.Annotate(err, "connections were still open at the end of the drain")
		}
	}
	if err := d.flushUsage(ctx); err != nil {
		failed = err
	}
	if err := d.claims.Flush(ctx); err != nil {
		failed = errors.Annotate(err, "outcomes of claimed requests were not stored")
	}
	d.system.Stop()
	d.stopExchange(context.WithoutCancel(ctx))
	return failed
}

func (d *Daemon) listen(line request.Handler, editor peer.Editor) error {
	callers := caller.NewHandler(line, d.configuration, d.clock, newRequestID, caller.Settings{
		MaxBodyBytes: d.settings.Callers.MaxBodyBytes,
		Timeout:      d.settings.Callers.Timeout,
	})
	operators := operator.NewHandler(editor, overview{d}, d.settings.Operators.Key)
	bindings := []struct {
		address netip.AddrPort
		handler http.Handler
		bound   *netip.AddrPort
	}{
		{d.settings.Callers.Address, callers, &d.addresses.Callers},
		{d.settings.Operators.Address, operators, &d.addresses.Operators},
		{d.settings.Metrics.Address, d.metrics(), &d.addresses.Metrics},
	}
	for _, binding := range bindings {
		bound, err := d.serve(binding.address, binding.handler)
		if err != nil {
			return err
		}
		*binding.bound = bound
	}
	return nil
}

// serve binds an address and returns the one bound, which differs for port 0.
func (d *Daemon) serve(address netip.AddrPort, handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return netip.AddrPort{}, errors.Annotate(err, "cannot listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: d.settings.Callers.HeaderTimeout}
	d.servers = append(d.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.logger.Error("listener ended", zap.Error(err))
		}
	}()
	return netip.ParseAddrPort(listener.Addr().String())
}

func (d *Daemon) metrics() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if d.ready.draining() || !d.engines.Polled() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

// log writes an event of the time line to the log.
func (d *Daemon) log(event models.Event) {
	d.logger.Info(string(event.Kind),
		zap.String("daemon", string(event.Daemon)),
		zap.String("request", string(event.Request)),
		zap.String("engine", string(event.Engine)),
		zap.String("workspace", string(event.Workspace)),
		zap.String("lease", string(event.Lease)),
		zap.String("what", event.What),
		zap.String("why", event.Why),
	)
}

func newRequestID() models.RequestID {
	return models.RequestID("req-" + randomText())
}

// randomText returns a random name; the system's source never fails.
func randomText() string {
	raw := make([]byte, 8)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}
