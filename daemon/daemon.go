// Package daemon assembles one process: the clients of its peers, the chain of
// request filters, the control tasks and the listeners.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"quincewinch/config"
	"quincewinch/control"
	"quincewinch/lib/certificates"
	"quincewinch/lib/logfmt"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/engine"
	"quincewinch/peer/service"
	"quincewinch/request"
	"quincewinch/timeline"
)

const (
	timelineCapacity     = 4096
	claimCleanupInterval = 5 * time.Minute
	claimEraInterval     = time.Second
	// connectionCloseTimeout bounds the shutdown after requests have drained:
	// closing connections, and flushing usage counts and claim outcomes.
	connectionCloseTimeout = 5 * time.Second
)

// Daemon is one process of the system.
type Daemon struct {
	settings      *config.Settings
	source        certificates.Source
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
	work          *request.WorkCounter
	fleet         *control.Fleet
	stopServers   []func(context.Context) error
	transports    []*http.Transport
	ready         readiness
	addresses     Addresses
}

// Addresses returns the addresses that the daemon listens on.
func (d *Daemon) Addresses() Addresses {
	return d.addresses
}

// ID returns the daemon's identity.
func (d *Daemon) ID() models.DaemonID {
	return d.id
}

// New returns a daemon that has not started. Its certificates come from the
// source, which may be nil if every section of the settings is plain.
func New(settings *config.Settings, logger *zap.Logger, clock peer.Clock, source certificates.Source) *Daemon {
	d := &Daemon{
		settings: settings,
		source:   source,
		logger:   logger,
		clock:    clock,
		id:       models.DaemonID(settings.Name + "-" + randomHex()),
		registry: prometheus.NewRegistry(),
		gate:     request.NewGate(),
		system:   control.NewSystem(clock, logfmt.Standard(logger)),
	}
	d.ring = timeline.NewRing(clock, d.id, settings.Zone, timelineCapacity, d.log)
	return d
}

// Start binds the listeners and starts the control tasks.
func (d *Daemon) Start() error {
	client := d.platformClient()
	d.platform = d.platformServices(client)
	engines := engine.NewClients(d.backendClient())
	d.configuration = control.NewConfiguration(d.platform.table, d.clock, d.ring)
	d.engines = control.NewEngines(engines, d.configuration, d.clock, d.settings.Engines.Timeout)
	if err := d.startExchange(d.exchangeCredentials()); err != nil {
		return err
	}
	d.newUsage()
	handler := d.requestHandler(engines, service.NewClients(d.backendClient()))
	editor := control.NewEditor(d.id, d.platform.table, d.configuration, d.exchange.editing, d.exchange.gossip, d.ring)
	d.spawnExchange(editor)
	d.system.Spawn(d.configuration, d.settings.Platform.Poll)
	d.system.Spawn(d.engines, d.settings.Engines.Poll)
	d.system.Spawn(d.claims, claimEraInterval)
	d.system.Spawn(request.NewClaimCleaner(d.platform.table, d.platform.objects, d.clock), claimCleanupInterval)
	d.startLeases()
	d.startOrders(engines)
	d.startUsage()
	d.startFleet(engines)
	d.registerCollectors()
	if err := d.listen(handler, editor); err != nil {
		return err
	}
	d.ring.Record(models.Event{Kind: models.EventProcess, What: "daemon started", Why: "its process was started"})
	return nil
}

// Stop shuts the daemon down gracefully: it accepts no new requests, and lets
// running ones finish within the drain timeout.
func (d *Daemon) Stop(ctx context.Context) error {
	d.ring.Record(models.Event{Kind: models.EventProcess, What: "daemon stops", Why: "a planned stop"})
	d.ready.drain()
	d.leaveExchange(ctx)
	ctx, cancel := context.WithTimeout(ctx, d.settings.Callers.DrainTimeout)
	defer cancel()
	d.usage.closer.Stop()
	d.leases.Release(ctx)
	failed := errors.Annotate(d.gate.Drain(ctx), "requests were still running at the end of the drain timeout")
	ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), connectionCloseTimeout)
	defer cancel()
	if err := d.shutDownServers(ctx); err != nil {
		failed = err
	}
	if err := d.flushUsage(ctx); err != nil {
		failed = err
	}
	if err := d.claims.Flush(ctx); err != nil {
		failed = errors.Annotate(err, "outcomes of claimed requests were not stored")
	}
	d.system.Stop()
	d.fleet.Wait()
	d.stopExchange(context.WithoutCancel(ctx))
	d.closeIdleConnections()
	return failed
}

// log writes a time line event to the log.
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
	return models.RequestID("req-" + randomHex())
}

// randomHex returns 64 random bits in hex. crypto/rand.Read never fails.
func randomHex() string {
	raw := make([]byte, 8)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}
