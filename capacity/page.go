package capacity

import (
	_ "embed"
	"fmt"
	"math"
	"strings"

	"github.com/juju/errors"
)

//go:embed measured.txt
var recorded string

// Recorded returns the slopes of the benchmark run embedded in the program.
func Recorded() (Measured, error) {
	return Read(strings.NewReader(recorded))
}

// row is one row of the cost table: a cost of one role of a daemon at the
// design size.
type row struct {
	role      string
	quantity  string
	value     float64
	unit      string
	budget    float64 // 0 if the cost is not control work and has no budget
	mechanism string
	change    string // design change proposed if over budget
	source    string // slopes or design figures that the value is computed from
}

// Names of the slopes used by the page.
const (
	slopeEntry      = "Entry/cpu-us/op"
	slopeStreams    = "Streams/held-bytes"
	slopeChoose     = "Choose/placement/ns/op"
	slopeReads      = "Spread/reads/s/daemon"
	slopeWrites     = "Spread/writes/s/daemon"
	slopeMessages   = "Spread/messages/s/daemon"
	slopeSpread     = "Spread/bytes/s/daemon"
	slopeWorst      = "Spread/worst-ms"
	slopeEngines    = "ReportEngines/bytes/report"
	slopeEnginesNS  = "ReportEngines/ns/op"
	slopeWork       = "ReportWorkspaces/bytes/report"
	slopeWorkNS     = "ReportWorkspaces/ns/op"
	slopeConfig     = "Config/heap-bytes"
	slopeConfigNS   = "Config/ns/op"
	slopeScrape     = "Scrape/heap-bytes"
	slopeScrapeNS   = "Scrape/ns/op"
	slopeTimeline   = "Timeline/heap-bytes"
	slopeTimelineNS = "Timeline/ns/op"
	slopeRow        = "Meter/row-bytes"
	slopeFlushNS    = "Meter/ns/op"
	slopeLeaseRead  = "Leases/reads/s"
	slopeLeaseWrite = "Leases/writes/s"
	slopePlain      = "Exchange/plain/cpu-us/op"
	slopeTLS        = "Exchange/tls/cpu-us/op"
	slopeActors     = "Actors/cpu-us/op"
	slopePlan       = "PlanRoles/ns/op"
)

const (
	stepsPerSecond    = 95 // of all tasks of one daemon
	tokensPerRequest  = TokensPerSec / RequestsPerSec
	tokenGapSeconds   = 0.055
	relayedReports    = 16 // maximum number of reports relayed in one message
	flushSeconds      = 2
	windowSeconds     = 300
	scrapeSeconds     = 15
	timelineEvents    = 4096
	eventsPerRequest  = 2
	planSeconds       = 1
	leaseCount        = Zones + 2
	percent           = 100
	enginesPerDaemon  = float64(EngineCount) / Daemons
	requestsPerDaemon = float64(RequestsPerSec) / Daemons
)

// Page returns the tables of docs/CAPACITY.md: the slopes, and the costs at the
// design size computed from them.
func Page(m Measured) (string, error) {
	rows, err := pageRows(m)
	if err != nil {
		return "", err
	}
	var page strings.Builder
	page.WriteString("| slope | points (size: value) | intercept | per unit | residual |\n|---|---|--:|--:|--:|\n")
	for _, name := range m.Names() {
		s := m[name]
		_, _ = fmt.Fprintf(&page, "| %s | %s | %s | %s | %.0f%% |\n", name, formatPoints(s), formatFigure(s.Intercept), formatFigure(s.PerUnit), s.Residual*percent)
	}
	page.WriteString("\n| role | quantity | per daemon at design size | budget | verdict | mechanism | design change if over budget | source |\n|---|---|--:|--:|---|---|---|---|\n")
	for _, r := range rows {
		page.WriteString(r.line())
	}
	return page.String(), nil
}

func formatPoints(s Slope) string {
	texts := make([]string, 0, len(s.Points))
	for _, p := range s.Points {
		texts = append(texts, formatFigure(p.Size)+": "+formatFigure(p.Value))
	}
	return strings.Join(texts, ", ")
}

// formatFigure prints a number with three significant digits and no exponent.
func formatFigure(value float64) string {
	if value == 0 {
		return "0"
	}
	digits := 2 - int(math.Floor(math.Log10(math.Abs(value))))
	if digits <= 0 {
		step := math.Pow(10, float64(-digits))
		return fmt.Sprintf("%.0f", math.Round(value/step)*step)
	}
	return fmt.Sprintf("%.*f", digits, value)
}

func (r row) line() string {
	budget, verdict := "none for control", "cost of requests"
	if r.budget > 0 {
		budget, verdict = formatFigure(r.budget)+" "+r.unit, "under"
	}
	if r.budget > 0 && r.value > r.budget {
		verdict = fmt.Sprintf("**over**, %s times", formatFigure(r.value/r.budget))
	}
	change := r.change
	if verdict == "under" || change == "" {
		change = "none"
	}
	return fmt.Sprintf("| %s | %s | %s %s | %s | %s | %s | %s | %s |\n",
		r.role, r.quantity, formatFigure(r.value), r.unit, budget, verdict, r.mechanism, change, r.source)
}

// expectedDistinct returns the expected number of distinct workspaces among a
// number of requests, if every workspace is equally likely.
func expectedDistinct(requests float64) float64 {
	return Workspaces * (1 - math.Exp(-requests/Workspaces))
}

func pageRows(m Measured) ([]row, error) {
	missing := []string{}
	at := func(name string, size float64) float64 {
		s, ok := m[name]
		if !ok {
			missing = append(missing, name)
		}
		return s.At(size)
	}
	all := append(entryRows(at), exchangeRows(at)...)
	all = append(all, tableRows(at)...)
	all = append(all, usageRows(at)...)
	if len(missing) > 0 {
		return nil, errors.NotFoundf("slopes %s", strings.Join(missing, ", "))
	}
	return all, nil
}

// lookup returns the value of the named slope at a size.
type lookup func(name string, size float64) float64

func entryRows(at lookup) []row {
	streams := requestsPerDaemon * tokensPerRequest * tokenGapSeconds
	return []row{
		{role: "entry", quantity: "state: streams in flight", value: streams, unit: "streams", mechanism: "one goroutine per stream, back-pressure", source: "4,700 requests/s of 489 tokens at 55 ms per token over 410 daemons"},
		{role: "entry", quantity: "memory of streams", value: at(slopeStreams, streams) / bytesPerMegabyte, unit: "MB", mechanism: "bounded buffers", source: slopeStreams},
		{role: "entry", quantity: "messages: tokens relayed", value: TokensPerSec / Daemons, unit: "1/s", mechanism: "server-sent events", source: "2.3M tokens/s over 410 daemons"},
		{role: "entry", quantity: "CPU for tokens", value: at(slopeEntry, tokensPerRequest) * requestsPerDaemon / microsPerSecond * percent, unit: "% of a core", mechanism: "encoding and flushing each token", source: slopeEntry},
		{role: "entry", quantity: "bytes of KV cache transferred between engines", value: KVBytesPerSec / Daemons / bytesPerMegabyte, unit: "MB/s", mechanism: "engines transfer KV caches among themselves; daemons pass on handles only, none of these bytes", source: "900 GB/s over 410 daemons"},
		{role: "entry", quantity: "CPU for placement", value: at(slopeChoose, EngineCount) * requestsPerDaemon / nanosPerSecond * percent, unit: "% of a core", budget: CoreShare * percent, mechanism: "choice from a sample of a snapshot", source: slopeChoose},
		{role: "entry", quantity: "memory of metrics", value: at(slopeScrape, Workspaces) / bytesPerMegabyte, unit: "MB", budget: MemoryMegabytes, mechanism: "at most 100 workspaces have their own series", source: slopeScrape},
		{role: "entry", quantity: "CPU for scrapes", value: at(slopeScrapeNS, Workspaces) / nanosPerSecond / scrapeSeconds * percent, unit: "% of a core", budget: CoreShare * percent, mechanism: "the same, scraped every 15 s", source: slopeScrapeNS},
		{role: "time line", quantity: "state and memory: 4,096 events", value: at(slopeTimeline, timelineEvents) / bytesPerMegabyte, unit: "MB", budget: MemoryMegabytes, mechanism: "ring buffer in each daemon, merged on request", source: slopeTimeline},
		{role: "time line", quantity: "messages: events recorded", value: requestsPerDaemon * eventsPerRequest, unit: "1/s", mechanism: "two events per request", source: "4,700 requests/s over 410 daemons"},
		{role: "time line", quantity: "CPU for events", value: at(slopeTimelineNS, timelineEvents) * requestsPerDaemon * eventsPerRequest / nanosPerSecond * percent, unit: "% of a core", budget: CoreShare * percent, mechanism: "ring buffer in each daemon", source: slopeTimelineNS},
	}
}

func exchangeRows(at lookup) []row {
	messages := at(slopeMessages, Daemons)
	reports := messages * relayedReports
	engines := reports * at(slopeEngines, enginesPerDaemon)
	work := reports * at(slopeWork, Workspaces)
	active := reports * at(slopeWork, expectedDistinct(activeWorkspaces))
	enginesPerMessage := enginesPerDaemon * relayedReports
	return []row{
		{role: "fan-out", quantity: "CPU for gRPC without TLS, both ends", value: messages * at(slopePlain, enginesPerMessage) / microsPerSecond * percent, unit: "% of a core", budget: CoreShare * percent, mechanism: "one connection per peer; engine load relayed, no work per workspace", change: "exchange every 2 s with other zones", source: slopePlain},
		{role: "fan-out", quantity: "CPU for gRPC with mutual TLS, both ends", value: messages * at(slopeTLS, enginesPerMessage) / microsPerSecond * percent, unit: "% of a core", budget: CoreShare * percent, mechanism: "the same", change: "exchange every 2 s with other zones", source: slopeTLS},
		{role: "all", quantity: "CPU for protoactor steps and timers", value: at(slopeActors, stepsPerSecond) / microsPerSecond * percent, unit: "% of a core", budget: CoreShare * percent, mechanism: "one actor per task; 95 steps per second, 50 of them by the queue", change: "step the queue only when a request waits, not every 20 ms", source: slopeActors},
		{role: "fan-out", quantity: "messages", value: messages, unit: "1/s", mechanism: "exchange with a bounded number of peers, two hops between zones", source: slopeMessages},
		{role: "fan-out", quantity: "state: reports of the other daemons", value: Daemons * at(slopeWork, Workspaces) / bytesPerMegabyte, unit: "MB", budget: MemoryMegabytes, mechanism: "latest report of each daemon", change: "keep totals per workspace summed over the daemons of a zone, not per daemon", source: slopeWork},
		{role: "fan-out", quantity: "bytes of configuration and key evidence", value: at(slopeSpread, Daemons) / bytesPerKilobyte, unit: "KB/s", budget: KilobytesPerSec, mechanism: "deltas, 16 relayed reports per message", source: slopeSpread},
		{role: "fan-out", quantity: "bytes of engine load", value: engines / bytesPerKilobyte, unit: "KB/s", budget: KilobytesPerSec, mechanism: "each engine polled by one daemon of its zone", change: "relay an engine's state only when it changed by a tenth, and once a second", source: slopeEngines},
		{role: "fan-out", quantity: "bytes of work per workspace, all workspaces", value: work / bytesPerKilobyte, unit: "KB/s", budget: KilobytesPerSec, mechanism: "totals since start-up in each report", change: "only workspaces with work in the last 10 s (next row), summed per zone", source: slopeWork},
		{role: "fan-out", quantity: "bytes of work per active workspace", value: active / bytesPerKilobyte, unit: "KB/s", budget: KilobytesPerSec, mechanism: "not built: the change of the row above", change: "sum per workspace over a zone at one daemon, so that a message carries one entry per workspace, not one per daemon", source: slopeWork},
		{role: "fan-out", quantity: "CPU for reports, all workspaces", value: reports * (at(slopeWorkNS, Workspaces) + at(slopeEnginesNS, enginesPerDaemon)) / nanosPerSecond * percent, unit: "% of a core", budget: CoreShare * percent, mechanism: "protobuf with hand-written conversion", change: "as for the bytes", source: slopeWorkNS + ", " + slopeEnginesNS},
		{role: "fan-out", quantity: "time until a change reaches all daemons, worst case", value: at(slopeWorst, Daemons) / 1000, unit: "s", budget: ChangeSeconds, mechanism: "push of deltas, two hops", source: slopeWorst},
	}
}

func tableRows(at lookup) []row {
	leaseReads := at(slopeLeaseRead, leaseCount) * Daemons
	return []row{
		{role: "configuration reader", quantity: "state and memory: 11,000 workspaces", value: at(slopeConfig, Workspaces) / bytesPerMegabyte, unit: "MB", budget: MemoryMegabytes, mechanism: "copy-on-write maps that share unchanged entries", source: slopeConfig},
		{role: "configuration reader", quantity: "messages: reads of all daemons", value: at(slopeReads, Daemons) * Daemons, unit: "1/s", budget: TableReads, mechanism: "a few readers per zone", source: slopeReads},
		{role: "configuration reader", quantity: "messages: writes of all daemons", value: at(slopeWrites, Daemons) * Daemons, unit: "1/s", budget: TableWrites, mechanism: "registration, edits", source: slopeWrites},
		{role: "configuration reader", quantity: "CPU for changes, full rebuild each", value: at(slopeConfigNS, Workspaces) * ChangesPerDay / secondsPerDay / nanosPerSecond * percent, unit: "% of a core", budget: CoreShare * percent, mechanism: "copy of the affected map; the figure is that of a full rebuild", source: slopeConfigNS},
		{role: "configuration reader", quantity: "bytes of a day's changes", value: at(slopeRow, 8) * ChangesPerDay / secondsPerDay / bytesPerKilobyte, unit: "KB/s", budget: KilobytesPerSec, mechanism: "deltas; a row is assumed as large as a counter row of 8 workspaces", source: slopeRow},
		{role: "lease holder, all kinds", quantity: "messages: reads of all daemons", value: leaseReads, unit: "1/s", budget: TableReads, mechanism: "one read of the lease rows per second", source: slopeLeaseRead},
		{role: "lease holder, all kinds", quantity: "messages: writes of all holders", value: at(slopeLeaseWrite, leaseCount), unit: "1/s", budget: TableWrites, mechanism: "renewals of one holder in one transaction", source: slopeLeaseWrite},
		{role: "lease holder, all kinds", quantity: "state and memory: 8 leases", value: at(slopeTimeline, leaseCount) / bytesPerMegabyte, unit: "MB", budget: MemoryMegabytes, mechanism: "a few fields per lease; the figure is that of as many time line events", source: slopeTimeline},
		{role: "lease holder, engines of a zone", quantity: "CPU for planning", value: at(slopePlan, EngineCount) / nanosPerSecond / planSeconds * percent, unit: "% of a core", budget: CoreShare * percent, mechanism: "roles planned every second; the figure is for all zones at one holder", change: "plan every 5 s, and at a swing in load", source: slopePlan},
		{role: "lease holder, engines of a zone", quantity: "messages: polls of engines", value: enginesPerDaemon * 4, unit: "1/s", mechanism: "each engine polled by one daemon, four times a second", source: "600 engines over 410 daemons"},
		{role: "lease holder, servers", quantity: "messages: orders of servers", value: float64(RestartsPerDay+FailuresPerDay) / secondsPerDay, unit: "1/s", budget: TableWrites, mechanism: "one recorded order per replacement", source: "120 restarts and 15 failures a day"},
	}
}

func usageRows(at lookup) []row {
	counted := expectedDistinct(requestsPerDaemon * windowSeconds)
	rowBytes := at(slopeRow, counted)
	return []row{
		{role: "window closer", quantity: "state: counter rows of a window", value: rowBytes * Daemons / bytesPerMegabyte, unit: "MB", budget: MemoryMegabytes, mechanism: "one row per daemon and window", change: "one row per daemon, window and shard of the workspaces; one closer per shard", source: slopeRow},
		{role: "window closer", quantity: "messages: flushes of all daemons", value: float64(Daemons) / flushSeconds, unit: "1/s", budget: TableWrites, mechanism: "group commit every 2 s", source: "410 daemons, 2 s"},
		{role: "window closer", quantity: "bytes: flushes of a daemon", value: rowBytes / flushSeconds / bytesPerKilobyte, unit: "KB/s", budget: KilobytesPerSec, mechanism: "totals of the window, rewritten at each flush", change: "flush every 10 s, and only changed shards", source: slopeRow},
		{role: "window closer", quantity: "CPU for flushes", value: at(slopeFlushNS, counted) / flushSeconds / nanosPerSecond * percent, unit: "% of a core", budget: CoreShare * percent, mechanism: "group commit every 2 s", change: "flush every 10 s, and only changed shards", source: slopeFlushNS},
	}
}
