package daemon

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"quincewinch/metrics"
	"quincewinch/models"
)

// registerCollectors registers the collectors that are read at each scrape.
func (d *Daemon) registerCollectors() {
	d.registry.MustRegister(
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		collectors.NewGoCollector(),
		metrics.NewStateCollector(stateSource{d}, d.clock),
	)
}

func (d *Daemon) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", d.readyz)
	return mux
}

// readyz answers the load balancer's readiness probe. The daemon is ready once
// each engine has been polled, until it drains.
func (d *Daemon) readyz(w http.ResponseWriter, _ *http.Request) {
	if d.ready.draining() || !d.engines.Polled() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// stateSource implements metrics.State.
type stateSource struct {
	daemon *Daemon
}

// States returns the engines' latest states.
func (m stateSource) States() map[models.EngineID]models.EngineState {
	return m.daemon.engines.States()
}

// Evidence returns the evidence that no withdrawal of a key was missed.
func (m stateSource) Evidence() models.Evidence {
	return m.daemon.configuration.Evidence()
}

// ConfigRevision returns the revision of the active configuration.
func (m stateSource) ConfigRevision() models.Revision {
	return m.daemon.configuration.Config().Through
}

// LeaseNames returns the names of all leases.
func (m stateSource) LeaseNames() []models.LeaseName {
	return m.daemon.leaseNames()
}

// Authority returns this daemon's authority under a lease.
func (m stateSource) Authority(name models.LeaseName) models.Authority {
	return m.daemon.leases.Authority(name)
}

// ExchangeBytes returns the bytes exchanged with other daemons.
func (m stateSource) ExchangeBytes() (sent, received int64) {
	return m.daemon.exchange.traffic.Bytes()
}

// UsageBehind returns how long the oldest unreported billing window is overdue.
func (m stateSource) UsageBehind() time.Duration {
	return m.daemon.usage.closer.Lag()
}

// LiveDaemons returns the number of other daemons with a current report.
func (m stateSource) LiveDaemons() int {
	return len(m.daemon.exchange.gossip.Reports())
}

// Waiting returns the number of requests in this daemon's queues.
func (m stateSource) Waiting() int {
	total := 0
	for _, work := range m.daemon.work.Done() {
		total += work.Waiting
	}
	return total
}
