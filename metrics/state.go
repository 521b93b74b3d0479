package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"quincewinch/models"
	"quincewinch/peer"
)

// State provides the values that are read at each scrape.
type State interface {
	States() map[models.EngineID]models.EngineState
	Evidence() models.Evidence
	ConfigRevision() models.Revision
	LeaseNames() []models.LeaseName
	Authority(name models.LeaseName) models.Authority
	ExchangeBytes() (sent, received int64)
	LiveDaemons() int
	// Waiting returns the number of requests in this daemon's queues.
	Waiting() int
	// UsageBehind returns how long the oldest unreported billing window is
	// overdue. It is 0 unless this daemon holds the lease on billing windows.
	UsageBehind() time.Duration
}

// StateCollector exports a process's state, read at each scrape.
type StateCollector struct {
	state          State
	clock          peer.Clock
	running        *prometheus.Desc
	queued         *prometheus.Desc
	freePieces     *prometheus.Desc
	reportAge      *prometheus.Desc
	leaseHeld      *prometheus.Desc
	leaseFence     *prometheus.Desc
	configRevision *prometheus.Desc
	evidenceAge    *prometheus.Desc
	exchangeBytes  *prometheus.Desc
	liveDaemons    *prometheus.Desc
	usageBehind    *prometheus.Desc
	waiting        *prometheus.Desc
}

// NewStateCollector returns a collector of a state.
func NewStateCollector(state State, clock peer.Clock) *StateCollector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
	}
	return &StateCollector{
		state:          state,
		clock:          clock,
		running:        desc("engine_running_requests", "Requests in an engine's batch, as it last reported.", "engine"),
		queued:         desc("engine_queued_requests", "Requests that wait at an engine, as it last reported.", "engine"),
		freePieces:     desc("engine_free_pieces", "Free memory of an engine in fixed pieces.", "engine"),
		reportAge:      desc("engine_report_age_seconds", "Age of an engine's last report.", "engine"),
		leaseHeld:      desc("lease_held", "Whether this daemon holds a lease.", "lease"),
		leaseFence:     desc("lease_fence", "Fencing number of a lease that this daemon holds.", "lease"),
		configRevision: desc("config_revision", "Revision of the configuration in force."),
		evidenceAge:    desc("key_evidence_age_seconds", "Age of the evidence that no withdrawal of a key was missed.", "source"),
		exchangeBytes:  desc("exchange_bytes_total", "Bytes exchanged with other daemons.", "direction"),
		usageBehind:    desc("usage_behind_seconds", "How long the oldest billing window that ought to be reported has waited, as the holder of its lease knows."),
		waiting:        desc("requests_waiting", "Requests that wait in this daemon's queues for an engine."),
		liveDaemons:    desc("live_daemons", "Other daemons that this one hears of."),
	}
}

// Describe implements prometheus.Collector.
func (c *StateCollector) Describe(descriptions chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(c, descriptions)
}

// Collect implements prometheus.Collector.
func (c *StateCollector) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	now := c.clock.Now()
	c.collectEngines(now, gauge)
	for _, name := range c.state.LeaseNames() {
		authority := c.state.Authority(name)
		gauge(c.leaseHeld, boolValue(authority.Valid(now)), string(name))
		gauge(c.leaseFence, float64(authority.Fence), string(name))
	}
	gauge(c.configRevision, float64(c.state.ConfigRevision()))
	if evidence := c.state.Evidence(); evidence.Source != models.EvidenceNone {
		gauge(c.evidenceAge, now.Sub(evidence.At).Seconds(), string(evidence.Source))
	}
	gauge(c.liveDaemons, float64(c.state.LiveDaemons()))
	gauge(c.waiting, float64(c.state.Waiting()))
	gauge(c.usageBehind, c.state.UsageBehind().Seconds())
	sent, received := c.state.ExchangeBytes()
	metrics <- prometheus.MustNewConstMetric(c.exchangeBytes, prometheus.CounterValue, float64(sent), "sent")
	metrics <- prometheus.MustNewConstMetric(c.exchangeBytes, prometheus.CounterValue, float64(received), "received")
}

func (c *StateCollector) collectEngines(now time.Time, gauge func(*prometheus.Desc, float64, ...string)) {
	for id, state := range c.state.States() {
		engine := string(id)
		gauge(c.running, float64(state.Running), engine)
		gauge(c.queued, float64(state.Queued), engine)
		gauge(c.freePieces, float64(state.FreePieces), engine)
		gauge(c.reportAge, now.Sub(state.MeasuredAt).Seconds(), engine)
	}
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
