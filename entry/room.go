package entry

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"quincewinch/balance"
	"quincewinch/policy/room"
)

// roomInterval is the time between two checks for services that are short of room.
const roomInterval = 500 * time.Millisecond

// roomWatch logs services that begin to be short of room at their engines and those
// that no longer are. It implements control.Task.
type roomWatch struct {
	balancer *balance.Balancer
	logger   *zap.Logger
}

// Step implements control.Task.
func (w roomWatch) Step(context.Context) {
	for _, change := range w.balancer.RoomChanges() {
		message := "service has room again"
		if change.Short {
			message = "service short of room"
		}
		fields := []zap.Field{zap.String("service", string(change.Service)), zap.Int("queued-tokens", change.Queued)}
		for _, s := range change.Stats {
			fields = append(fields,
				zap.Float64(s.Route+"-served", change.Served[s.Route]),
				zap.Float64(s.Route+"-required", s.Required),
				zap.Int(s.Route+"-refused", refusals(s)),
				zap.Int(s.Route+"-behind", s.Behind),
			)
		}
		w.logger.Info(message, fields...)
	}
}

func refusals(s room.Stats) int {
	total := 0
	for _, count := range s.Refusals {
		total += count
	}
	return total
}

// roomCollector exports how requests are admitted by demand. It implements
// prometheus.Collector.
type roomCollector struct {
	balancer *balance.Balancer
	refusals *prometheus.Desc
	behind   *prometheus.Desc
	forecast *prometheus.Desc
	inTime   *prometheus.Desc
	answered *prometheus.Desc
	required *prometheus.Desc
	served   *prometheus.Desc
	queued   *prometheus.Desc
}

func newRoomCollector(balancer *balance.Balancer) *roomCollector {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(namespace, "room", name), help, append([]string{"service"}, labels...), nil)
	}
	return &roomCollector{
		balancer: balancer,
		refusals: describe("refusals_total", "Requests refused because room at the engines is short, by reason.", "route", "reason"),
		behind:   describe("sent_behind_total", "Requests sent behind all that can be in time.", "route"),
		forecast: describe("forecast_in_time_total", "Answered requests that were expected in time: the sum of their chances.", "route"),
		inTime:   describe("in_time_total", "Answered requests whose first token was in time.", "route"),
		answered: describe("answered_total", "Requests that were answered.", "route"),
		required: describe("required_chance", "Chance of being in time that the last request which had to wait needed.", "route"),
		served:   describe("served_share", "Share of the requests that were answered lately, at all daemons.", "route"),
		queued:   describe("queued_tokens", "Prompt tokens that wait at engines, of all daemons."),
	}
}

// Describe implements prometheus.Collector.
func (c *roomCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.refusals, c.behind, c.forecast, c.inTime, c.answered, c.required, c.served, c.queued} {
		descriptions <- d
	}
}

// Collect implements prometheus.Collector.
func (c *roomCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, state := range c.balancer.RoomStates() {
		metrics <- prometheus.MustNewConstMetric(c.queued, prometheus.GaugeValue, float64(state.Queued), string(state.Service))
		for _, s := range state.Stats {
			labels := []string{string(state.Service), s.Route}
			counter := func(d *prometheus.Desc, value float64) {
				metrics <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, value, labels...)
			}
			for reason, count := range s.Refusals {
				metrics <- prometheus.MustNewConstMetric(c.refusals, prometheus.CounterValue, float64(count), append(labels, string(reason))...)
			}
			counter(c.behind, float64(s.Behind))
			counter(c.forecast, s.Forecast)
			counter(c.inTime, float64(s.InTime))
			counter(c.answered, float64(s.Answered))
			metrics <- prometheus.MustNewConstMetric(c.required, prometheus.GaugeValue, s.Required, labels...)
			metrics <- prometheus.MustNewConstMetric(c.served, prometheus.GaugeValue, state.Served[s.Route], labels...)
		}
	}
}
