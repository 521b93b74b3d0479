package intake

import "github.com/prometheus/client_golang/prometheus"

const (
	namespace = "quincewinch"
	subsystem = "intake"
)

// metrics are the metrics of an intake.
type metrics struct {
	refusals *prometheus.CounterVec
	closed   *prometheus.CounterVec
	gauges   []prometheus.Collector
}

func newMetrics(i *Intake) *metrics {
	m := &metrics{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "refusals_total",
			Help: "Requests refused because a limit of the VM was reached, by reason.",
		}, []string{"reason"}),
		closed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "connections_closed_total",
			Help: "Connections of callers closed because a limit of the VM was reached, by reason.",
		}, []string{"reason"}),
	}
	for kind, account := range map[Kind]*Account{KindHead: i.bytes, KindBody: i.bytes, KindAnswer: i.answers} {
		m.gauge("held_bytes", "Bytes held for others, by kind.", prometheus.Labels{"kind": string(kind)}, func() float64 { return float64(account.Held(kind)) })
	}
	m.gauge("held_bytes_peak", "Most bytes of heads and bodies held at one time.", nil, func() float64 { return float64(i.bytes.Peak()) })
	m.gauge("limit_bytes", "Bytes of heads and bodies that may be held; 0: not limited.", nil, func() float64 { return float64(i.limits.Bytes) })
	m.gauge("limit_answer_bytes", "Bytes of answers that may be held; 0: not limited.", nil, func() float64 { return float64(i.limits.AnswerBytes) })
	m.gauge("requests", "Requests between their head and their answer.", nil, func() float64 { return float64(i.requests.Held(KindRequest)) })
	m.gauge("connections", "Open connections of callers.", nil, func() float64 { return float64(i.Connections()) })
	return m
}

func (m *metrics) gauge(name, help string, labels prometheus.Labels, value func() float64) {
	m.gauges = append(m.gauges, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Subsystem: subsystem, Name: name, Help: help, ConstLabels: labels,
	}, value))
}

// Register registers the metrics.
func (i *Intake) Register(registry prometheus.Registerer) {
	registry.MustRegister(i.metrics.refusals, i.metrics.closed)
	registry.MustRegister(i.metrics.gauges...)
}
