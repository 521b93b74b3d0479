package capacity_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"google.golang.org/protobuf/proto"

	"quincewinch/control"
	"quincewinch/metrics"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/caller"
	"quincewinch/peer/daemon"
	"quincewinch/peer/system"
	"quincewinch/request"
	"quincewinch/standin/platform"
	"quincewinch/table"
	"quincewinch/timeline"
)

var (
	engineSizes    = []int{16, 100, 600}
	workspaceSizes = []int{8, 1000, 11000}
	tokenSizes     = []int{50, 200, 800}
	eventSizes     = []int{1000, 4000, 16000}
)

// cpuTime returns the user and system CPU time of this process so far.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	is.New(b).NoErr(syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapInUse returns the bytes of heap in use after a garbage collection.
func heapInUse() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// instantStream returns the tokens of an answer without delay.
type instantStream struct {
	id     models.RequestID
	next   int
	tokens int
}

func (s *instantStream) Next(context.Context) (models.Piece, error) {
	piece := models.Piece{Request: s.id, Index: s.next, Text: " oak"}
	if s.next == s.tokens {
		piece = models.Piece{Request: s.id, Index: s.next, Done: true, Finish: models.Finish{Reason: models.FinishStop}}
	}
	s.next++
	return piece, nil
}

func (s *instantStream) Close() error { return nil }

// streamHandler is the last handler of the chain. It generates tokens without
// an engine, so that only the cost of the entry is measured.
func streamHandler(tokens int) request.Handler {
	return request.HandlerFunc(func(ctx context.Context, e *request.Exchange) error {
		source := &instantStream{id: e.ID, tokens: tokens}
		for {
			piece, err := source.Next(ctx)
			if err != nil {
				return err
			}
			if err := e.Sink.Piece(ctx, piece); err != nil || piece.Done {
				return err
			}
		}
	})
}

// stubConfiguration implements peer.Configuration. Its methods must not be
// called.
type stubConfiguration struct {
	peer.Configuration
}

const streamQuestion = `{"model": "m", "stream": true, "messages": [{"role": "user", "content": "q"}]}`

// serveHandler serves callers over loopback and returns the URL to post to.
func serveHandler(b *testing.B, chain request.Handler) string {
	b.Helper()
	id := func() models.RequestID { return "req" }
	settings := caller.Settings{MaxBodyBytes: 1 << 20, Timeout: time.Minute}
	handler := caller.NewHandler(chain, stubConfiguration{}, system.NewClock(), id, settings)
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.New(b).NoErr(err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return "http://" + listener.Addr().String() + "/v1/chat/completions"
}

// BenchmarkEntry measures the CPU time of one streamed answer over loopback,
// without TLS, client included.
func BenchmarkEntry(b *testing.B) {
	for _, tokens := range tokenSizes {
		b.Run("tokens="+strconv.Itoa(tokens), func(b *testing.B) {
			is := is.New(b)
			handler := metrics.NewRequests(prometheus.NewRegistry(), system.NewClock()).Filter()(streamHandler(tokens))
			url := serveHandler(b, handler)
			before := cpuTime(b)
			for b.Loop() {
				response, err := http.Post(url, "application/json", strings.NewReader(streamQuestion))
				is.NoErr(err)
				_, err = io.Copy(io.Discard, response.Body)
				is.NoErr(err)
				is.NoErr(response.Body.Close())
			}
			spent := cpuTime(b) - before
			b.ReportMetric(float64(spent.Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

// measureReport measures the size of a report and the time to encode and decode
// it.
func measureReport(b *testing.B, report models.DaemonReport) {
	b.Helper()
	gossip := models.Gossip{Reports: []models.DaemonReport{report}}
	var bytes int
	for b.Loop() {
		encoded := daemon.EncodeGossip(gossip)
		raw, err := proto.Marshal(encoded)
		is.New(b).NoErr(err)
		bytes = len(raw)
		daemon.DecodeGossip(encoded)
	}
	b.ReportMetric(float64(bytes), "bytes/report")
}

// BenchmarkReportEngines measures a report by the number of engines in it.
func BenchmarkReportEngines(b *testing.B) {
	for _, n := range engineSizes {
		b.Run("engines="+strconv.Itoa(n), func(b *testing.B) {
			measureReport(b, engineReport(n))
		})
	}
}

// BenchmarkReportWorkspaces measures a report by the number of workspaces with
// work.
func BenchmarkReportWorkspaces(b *testing.B) {
	for _, n := range workspaceSizes {
		b.Run("workspaces="+strconv.Itoa(n), func(b *testing.B) {
			report := models.DaemonReport{Work: map[models.Workspace]models.WorkDone{}}
			for i := range n {
				report.Work[models.Workspace("workspace-"+strconv.Itoa(i))] = models.WorkDone{Requests: 1000, PromptTokens: 1e6, OutputTokens: 1e5}
			}
			measureReport(b, report)
		})
	}
}

// BenchmarkConfig measures the memory of a configuration and the time to build
// it.
func BenchmarkConfig(b *testing.B) {
	for _, n := range workspaceSizes {
		b.Run("workspaces="+strconv.Itoa(n), func(b *testing.B) {
			rows := make([]models.Row, 0, n)
			for i := range n {
				rows = append(rows, models.Row{
					Key:      table.Key(table.KindWorkspace, "workspace-"+strconv.Itoa(i)),
					Revision: models.Revision(i + 1),
					Value:    []byte(`{"weight": 1}`),
				})
			}
			before := heapInUse()
			var config *models.Config
			for b.Loop() {
				config, _ = table.Build(rows, models.Revision(n))
			}
			b.ReportMetric(max(heapInUse()-before, 0), "heap-bytes")
			runtime.KeepAlive(config)
			runtime.KeepAlive(rows)
		})
	}
}

// BenchmarkScrape measures the memory and the scrape size of the Prometheus
// series by the number of workspaces.
func BenchmarkScrape(b *testing.B) {
	for _, n := range workspaceSizes {
		b.Run("workspaces="+strconv.Itoa(n), func(b *testing.B) {
			is := is.New(b)
			before := heapInUse()
			registry := prometheus.NewRegistry()
			filter := metrics.NewRequests(registry, system.NewClock()).Filter()
			handler := filter(request.HandlerFunc(func(ctx context.Context, e *request.Exchange) error {
				return e.Sink.Piece(ctx, models.Piece{Text: "oak"})
			}))
			for i := range n {
				e := &request.Exchange{Sink: discardSink{}}
				e.Workspace.Name = models.Workspace("workspace-" + strconv.Itoa(i))
				is.NoErr(handler.Handle(b.Context(), e))
			}
			held := max(heapInUse()-before, 0)
			scrape := promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
			var size int
			for b.Loop() {
				w := &countingWriter{header: http.Header{}}
				scrape.ServeHTTP(w, &http.Request{Method: http.MethodGet, Header: http.Header{}})
				size = w.bytes
			}
			b.ReportMetric(held, "heap-bytes")
			b.ReportMetric(float64(size), "bytes/scrape")
			runtime.KeepAlive(handler)
		})
	}
}

type discardSink struct{}

func (discardSink) Piece(context.Context, models.Piece) error            { return nil }
func (discardSink) Answer(context.Context, models.ServiceResponse) error { return nil }

// countingWriter is a response writer that only counts bytes.
type countingWriter struct {
	header http.Header
	bytes  int
}

func (c *countingWriter) Header() http.Header { return c.header }
func (c *countingWriter) WriteHeader(int)     {}
func (c *countingWriter) Write(raw []byte) (int, error) {
	c.bytes += len(raw)
	return len(raw), nil
}

// BenchmarkTimeline measures the memory of a ring by its capacity, and the time
// to record one event.
func BenchmarkTimeline(b *testing.B) {
	for _, n := range eventSizes {
		b.Run("events="+strconv.Itoa(n), func(b *testing.B) {
			before := heapInUse()
			ring := timeline.NewRing(system.NewClock(), "entry-1", "a", n, nil)
			i := 0
			for b.Loop() {
				i++
				ring.Record(models.Event{Kind: models.EventPlacement, Request: models.RequestID(strconv.Itoa(i)), What: "placed on engine catalogue-" + strconv.Itoa(i%600), Why: "least time expected of engines compared: " + strconv.Itoa(i)})
			}
			for range n {
				ring.Record(models.Event{Kind: models.EventPlacement, What: "placed on engine " + strconv.Itoa(i), Why: strings.Repeat("w", 100)})
			}
			b.ReportMetric(max(heapInUse()-before, 0), "heap-bytes")
			runtime.KeepAlive(ring)
		})
	}
}

// BenchmarkMeter measures a flush of usage counters by the number of
// workspaces.
func BenchmarkMeter(b *testing.B) {
	for _, n := range workspaceSizes {
		b.Run("workspaces="+strconv.Itoa(n), func(b *testing.B) {
			is := is.New(b)
			clock := system.NewClock()
			store := platform.NewStore(clock)
			platformClock := control.NewPlatformClock()
			platformClock.Observe(clock.Now(), clock.Now(), clock.Now())
			ring := timeline.NewRing(clock, "entry-1", "a", 16, nil)
			meter := control.NewMeter("entry-1", store, clock, platformClock, ring, control.DefaultUsageSettings())
			for b.Loop() {
				for i := range n {
					meter.Count(models.Workspace("workspace-"+strconv.Itoa(i)), clock.Now(), models.Usage{Requests: 1, Prompt: 500, Output: 50})
				}
				is.NoErr(meter.Flush(b.Context()))
			}
			b.ReportMetric(float64(storedBytes(b, store)), "row-bytes")
		})
	}
}

// storedBytes returns the size of the rows that hold the counters.
func storedBytes(b *testing.B, store *platform.Store) int {
	b.Helper()
	changes, err := store.Changes(b.Context(), models.PartitionUsage, 0)
	is.New(b).NoErr(err)
	total := 0
	for _, row := range changes.Rows {
		total += len(row.Value)
	}
	return total
}
