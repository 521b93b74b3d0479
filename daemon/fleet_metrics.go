package daemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"quincewinch/control"
	"quincewinch/models"
)

// fleetMetrics exports the latest plan of the fleet.
type fleetMetrics struct {
	fleet   *control.Fleet
	engines *prometheus.Desc
	busy    *prometheus.Desc
	served  *prometheus.Desc
}

func newFleetMetrics(fleet *control.Fleet) fleetMetrics {
	return fleetMetrics{
		fleet: fleet,
		engines: prometheus.NewDesc("quincewinch_fleet_engines",
			"Engines in reach by the role that they have or are changing to.", []string{"group", "role"}, nil),
		busy: prometheus.NewDesc("quincewinch_fleet_expected_busy_engines",
			"Engines that the expected work keeps busy.", []string{"group", "phase"}, nil),
		served: prometheus.NewDesc("quincewinch_fleet_expected_served_ratio",
			"Share of the expected work that the engines serve, 0 to 1.", []string{"group"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (m fleetMetrics) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- m.engines
	descriptions <- m.busy
	descriptions <- m.served
}

// Collect implements prometheus.Collector.
func (m fleetMetrics) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(description *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, labels...)
	}
	for _, g := range m.fleet.Groups() {
		gauge(m.engines, float64(g.Split.Prefill), g.Group, string(models.RolePrefill))
		gauge(m.engines, float64(g.Split.Decode), g.Group, string(models.RoleDecode))
		gauge(m.engines, float64(g.Split.Both), g.Group, string(models.RoleBoth))
		gauge(m.busy, g.Expected.Prefill, g.Group, string(models.RolePrefill))
		gauge(m.busy, g.Expected.Decode, g.Group, string(models.RoleDecode))
		gauge(m.served, g.ServedShare, g.Group)
	}
}
