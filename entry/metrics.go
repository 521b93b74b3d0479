package entry

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"quincewinch/balance"
	"quincewinch/models"
)

const (
	namespace = "quincewinch"
	subsystem = "entry"
)

// metrics registers the gauges of this process and returns the handler that
// serves all its metrics.
func (d *Daemon) metrics() http.Handler {
	d.gauge("config_version", "Version of the configuration in force; 0 before the first.", func() float64 {
		if routing := d.configuration.Routing(); routing != nil {
			return float64(routing.Version)
		}
		return 0
	})
	d.gauge("backend_servers", "Backend servers that are registered.", func() float64 {
		if snapshot := d.fleet.Snapshot(); snapshot != nil {
			return float64(len(snapshot.ByID))
		}
		return 0
	})
	d.gauge("backend_servers_limited", "Backend servers that state a limit.", func() float64 {
		return float64(d.balancer.Limited())
	})
	d.gauge("backend_servers_slow", "Backend servers that count as slow.", func() float64 {
		return float64(d.balancer.Slow())
	})
	d.gauge("live_daemons", "Daemons heard of late, this one included.", func() float64 {
		return float64(d.sharing.members.LiveCount())
	})
	d.gauge("lease_usage_held", "Whether this daemon reports billing windows.", d.leaseHeld(models.LeaseUsage))
	d.gauge("lease_servers_held", "Whether this daemon orders backend servers.", d.leaseHeld(models.LeaseServers))
	d.gauge("log_lines_dropped_total", "Lines of the log for which there was no room.", func() float64 {
		return float64(d.droppedLines())
	})
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	return mux
}

// storeCallCounter returns a function that counts the calls of the platform's store,
// all of which are paid for.
func (d *Daemon) storeCallCounter() func(kind, table string) {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Subsystem: subsystem, Name: "store_calls_total", Help: "Calls of the platform's store, by kind and table.",
	}, []string{"kind", "table"})
	d.registry.MustRegister(calls)
	return func(kind, table string) { calls.WithLabelValues(kind, table).Inc() }
}

// workListener returns a function that records how far off the work of requests was
// estimated.
func (d *Daemon) workListener() balance.WorkListener {
	ratios := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Subsystem: subsystem, Name: "work_ratio",
		Help:    "Time for which requests occupied a backend server, over the time estimated, by service; only of services whose backend servers state a pace.",
		Buckets: prometheus.ExponentialBuckets(0.125, 2, 7),
	}, []string{"service"})
	d.registry.MustRegister(ratios)
	return func(service models.ServiceName, estimated, taken time.Duration) {
		ratios.WithLabelValues(string(service)).Observe(taken.Seconds() / max(estimated, time.Microsecond).Seconds())
	}
}

func (d *Daemon) gauge(name, help string, value func() float64) {
	d.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Subsystem: subsystem, Name: name, Help: help,
	}, value))
}

func (d *Daemon) leaseHeld(lease models.LeaseName) func() float64 {
	return func() float64 {
		if d.duties.leases.Authority(lease).Valid(d.clock.Now()) {
			return 1
		}
		return 0
	}
}
