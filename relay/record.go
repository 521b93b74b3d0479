package relay

import (
	"context"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/peer"
)

const (
	namespace  = "quincewinch"
	subsystem  = "relay"
	codeServed = "served"
)

// latencyBuckets are in seconds, around the latency objectives of 150 ms to
// 800 ms.
var latencyBuckets = []float64{0.01, 0.02, 0.05, 0.1, 0.15, 0.3, 0.5, 0.8, 1.2, 2.5, 5}

// Recorder writes one log line per request and updates the request metrics.
type Recorder struct {
	clock         peer.Clock
	logger        *zap.Logger
	requests      *prometheus.CounterVec
	firstResponse *prometheus.HistogramVec
	sends         *prometheus.CounterVec
	inFlight      prometheus.Gauge
}

// NewRecorder returns a recorder and registers its metrics.
func NewRecorder(registry prometheus.Registerer, clock peer.Clock, logger *zap.Logger) *Recorder {
	r := &Recorder{
		clock:  clock,
		logger: logger,
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "requests_total",
			Help: "Requests that ended, by route and by the code of their refusal, or served.",
		}, []string{"route", "code"}),
		firstResponse: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "first_answer_seconds",
			Help:    "Time from a request's arrival to its answer, of a stream to the first event.",
			Buckets: latencyBuckets,
		}, []string{"route"}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "sends_total",
			Help: "Requests sent to backend servers, by service; more than requests where some were sent again.",
		}, []string{"service"}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "requests_running",
			Help: "Requests between arrival and end.",
		}),
	}
	registry.MustRegister(r.requests, r.firstResponse, r.sends, r.inFlight)
	return r
}

// Filter returns a filter that records each request when it ends.
func (r *Recorder) Filter() Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, e *Exchange) error {
			r.inFlight.Inc()
			defer r.inFlight.Dec()
			err := next.Handle(ctx, e)
			r.record(e, err)
			return err
		})
	}
}

// Refused records a request that was refused before it was handled.
func (r *Recorder) Refused(e *Exchange, err error) {
	r.record(e, err)
}

func (r *Recorder) record(e *Exchange, err error) {
	code := codeServed
	fields := r.logFields(e)
	if err != nil {
		refusal := RefusalOf(err)
		code = string(refusal.Code)
		fields = append(fields,
			zap.String("why", refusal.Message),
			zap.Bool("not-run", refusal.NotRun),
			zap.Duration("retry-after", refusal.RetryAfter),
		)
	}
	r.requests.WithLabelValues(e.Route.Name, code).Inc()
	if e.Trace.FirstResponseAfter > 0 {
		r.firstResponse.WithLabelValues(e.Route.Name).Observe(e.Trace.FirstResponseAfter.Seconds())
	}
	if e.Sends > 0 {
		r.sends.WithLabelValues(string(e.Service.Name)).Add(float64(e.Sends))
	}
	r.logger.Info("request ended", append(fields, zap.String("outcome", code))...)
}

// logFields returns the inputs of the decisions on a request, and its outcome.
func (r *Recorder) logFields(e *Exchange) []zap.Field {
	version := uint64(0)
	if e.Routing != nil {
		version = e.Routing.Version
	}
	return []zap.Field{
		zap.String("request", string(e.ID)),
		zap.String("route", e.Route.Name),
		zap.String("workspace", string(e.Workspace)),
		zap.String("resumes", string(e.Resumes)),
		zap.String("after-event", e.Call.ResumeAfter),
		zap.Uint64("config", version),
		zap.Int("rank", e.Rank),
		zap.Int("tokens", e.Prompt.Tokens),
		zap.String("engine", string(e.Trace.Engine)),
		zap.String("version", e.Trace.EngineVersion),
		zap.String("prefiller", string(e.Trace.Prefiller)),
		zap.String("copied-from", string(e.Trace.CopiedFrom)),
		zap.String("via", string(e.Trace.Via)),
		zap.Int("sends", e.Sends),
		zap.Int("rejections", e.Trace.Rejections),
		zap.Int("status", e.Trace.Status),
		zap.Int("events", e.Trace.Events),
		zap.Int("reading", e.Trace.PrefillTokens),
		milliseconds("filled-ms", e.Trace.PrefillDuration),
		milliseconds("predicted-ms", e.Trace.Predicted),
		milliseconds("first-ms", e.Trace.FirstResponseAfter),
		milliseconds("target-ms", e.Route.LatencyTarget),
		milliseconds("took-ms", r.clock.Now().Sub(e.Received)),
		milliseconds("patience-ms", e.CallerTimeout),
		zap.String("limit", limitText(e.Trace.Statement.Limit)),
		zap.String("prefiller-limit", limitText(e.Trace.PrefillerStatement.Limit)),
		zap.String("prefill-result", string(e.Trace.PrefillResult)),
		zap.Bool("leaving", e.Trace.Statement.Leaving),
		zap.Bool("prefiller-leaving", e.Trace.PrefillerStatement.Leaving),
		milliseconds("rest-ms", max(e.Trace.Statement.RetryAfter, e.Trace.PrefillerStatement.RetryAfter)),
		zap.String("last-failure", e.Trace.LastFailure),
	}
}

// limitText returns the requests a second that a backend server takes, an empty text
// if it states no limit.
func limitText(limit models.StatedLimit) string {
	switch {
	case limit.Unreadable:
		return "unreadable"
	case limit.Named:
		return strconv.FormatFloat(limit.PerSecond, 'g', -1, 64)
	}
	return ""
}

func milliseconds(key string, d time.Duration) zap.Field {
	return zap.Int64(key, d.Milliseconds())
}
