// Package metrics exports the process's metrics to Prometheus. Only a limited
// number of workspaces get their own series; the rest share one, so that 11,000
// workspaces do not cause 11,000 series of each metric.
package metrics

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/request"
)

const (
	namespace = "quincewinch"
	// maxWorkspaceSeries is the number of workspaces with their own series.
	maxWorkspaceSeries = 100
	// otherWorkspaces labels the series shared by the remaining workspaces.
	otherWorkspaces = "(others)"
	// noWorkspace labels requests without a valid key.
	noWorkspace = "(none)"
	codeServed  = "served"
)

// Buckets in seconds, around the target latencies: 1.2 s to the first token and
// 55 ms between tokens.
var (
	firstTokenBuckets = []float64{0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.4, 4.8}
	gapBuckets        = []float64{0.01, 0.02, 0.04, 0.055, 0.08, 0.16, 0.5, 2}
)

// Requests holds the request metrics, which its filter updates.
type Requests struct {
	clock      peer.Clock
	ended      *prometheus.CounterVec
	firstToken *prometheus.HistogramVec
	gap        *prometheus.HistogramVec
	running    prometheus.Gauge

	mu         sync.Mutex
	workspaces map[models.Workspace]bool
}

// NewRequests returns request metrics that are registered with a registry.
func NewRequests(registry prometheus.Registerer, clock peer.Clock) *Requests {
	m := &Requests{
		clock:      clock,
		workspaces: map[models.Workspace]bool{},
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "requests_total",
			Help:      "Requests that ended, by workspace and by the code of their refusal, or served.",
		}, []string{"workspace", "code"}),
		firstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace,
			Name:      "first_token_seconds",
			Help:      "Time from a request's arrival to the first token of its answer.",
			Buckets:   firstTokenBuckets,
		}, []string{"workspace"}),
		gap: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace,
			Name:      "token_gap_seconds",
			Help:      "Time between two tokens of an answer.",
			Buckets:   gapBuckets,
		}, []string{"workspace"}),
		running: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace,
			Name:      "requests_running",
			Help:      "Requests between arrival and end.",
		}),
	}
	registry.MustRegister(m.ended, m.firstToken, m.gap, m.running)
	return m
}

// Filter returns the filter that updates the metrics.
func (m *Requests) Filter() request.Filter {
	return func(next request.Handler) request.Handler {
		return request.HandlerFunc(func(ctx context.Context, e *request.Exchange) error {
			m.running.Inc()
			defer m.running.Dec()
			timed := &timingSink{Sink: e.Sink, clock: m.clock, received: e.Received}
			e.Sink = timed
			err := next.Handle(ctx, e)
			label := m.label(e.Workspace.Name)
			m.ended.WithLabelValues(label, code(err)).Inc()
			timed.observe(m.firstToken.WithLabelValues(label), m.gap.WithLabelValues(label))
			return err
		})
	}
}

// label returns the label of the series that a workspace is counted in.
func (m *Requests) label(workspace models.Workspace) string {
	if workspace == "" {
		return noWorkspace
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.workspaces[workspace] {
		return string(workspace)
	}
	if len(m.workspaces) >= maxWorkspaceSeries {
		return otherWorkspaces
	}
	m.workspaces[workspace] = true
	return string(workspace)
}

func code(err error) string {
	var refusal *models.Refusal
	switch {
	case err == nil:
		return codeServed
	case errors.As(err, &refusal):
		return string(refusal.Code)
	}
	return string(models.RefusalInternal)
}

// timingSink records the times at which pieces pass to the caller.
type timingSink struct {
	request.Sink
	clock    peer.Clock
	received time.Time
	first    time.Time
	last     time.Time
	gaps     []float64
}

// Piece implements request.Sink.
func (s *timingSink) Piece(ctx context.Context, piece models.Piece) error {
	if !piece.Done {
		s.record(s.clock.Now())
	}
	return s.Sink.Piece(ctx, piece)
}

func (s *timingSink) record(now time.Time) {
	if s.first.IsZero() {
		s.first = now
	} else {
		s.gaps = append(s.gaps, now.Sub(s.last).Seconds())
	}
	s.last = now
}

// observe adds the recorded times to the histograms.
func (s *timingSink) observe(firstToken, gap prometheus.Observer) {
	if s.first.IsZero() {
		return
	}
	firstToken.Observe(s.first.Sub(s.received).Seconds())
	for _, seconds := range s.gaps {
		gap.Observe(seconds)
	}
}
