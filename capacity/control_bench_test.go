package capacity_test

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/control"
	"quincewinch/models"
	"quincewinch/peer/system"
	"quincewinch/request"
	"quincewinch/standin/platform"
	"quincewinch/timeline"
)

const (
	leaseSteps = 400
	leaseStep  = 250 * time.Millisecond
)

var (
	leaseSizes  = []int{2, 8, 32}
	streamSizes = []int{64, 256, 1024}
)

// manualClock is a clock that the benchmark advances.
type manualClock struct {
	system.Clock
	now time.Time
}

func (c *manualClock) Now() time.Time { return c.now }

// noPeers returns no reports of other daemons.
type noPeers struct{}

func (noPeers) Reports() []models.PeerReport { return nil }

// BenchmarkLeases measures the reads and writes of the table by a daemon that
// holds a number of leases, in simulated time.
func BenchmarkLeases(b *testing.B) {
	for _, n := range leaseSizes {
		b.Run("leases="+strconv.Itoa(n), func(b *testing.B) {
			names := make([]models.LeaseName, 0, n)
			for i := range n {
				names = append(names, models.LeaseName("lease-"+strconv.Itoa(i)))
			}
			var reads, writes, seconds float64
			for b.Loop() {
				clock := &manualClock{now: time.Unix(1_800_000_000, 0)}
				store := platform.NewStore(clock)
				ring := timeline.NewRing(clock, "entry-1", "a", 16, nil)
				self := control.Candidate{Daemon: "entry-1", Zone: "a"}
				leases := control.NewLeases(self, store, clock, ring, noPeers{}, func() []models.LeaseName { return names }, control.DefaultLeaseSettings())
				for range leaseSteps {
					leases.Step(b.Context())
					clock.now = clock.now.Add(leaseStep)
				}
				counts := store.Counts()
				reads, writes = float64(counts.Reads), float64(counts.Writes)
				seconds = (leaseSteps * leaseStep).Seconds()
				is.New(b).True(leases.Authority(names[0]).Valid(clock.now)) // the leases are held
			}
			b.ReportMetric(reads/seconds, "reads/s")
			b.ReportMetric(writes/seconds, "writes/s")
		})
	}
}

// BenchmarkStreams measures the memory of open streams over loopback. It
// includes the memory of the client, which is about that of the connection from
// the daemon to the engine.
func BenchmarkStreams(b *testing.B) {
	for _, n := range streamSizes {
		b.Run("streams="+strconv.Itoa(n), func(b *testing.B) {
			is := is.New(b)
			end := make(chan struct{})
			url := serveHandler(b, heldStreams(end))
			var bytes float64
			for b.Loop() {
				before := memoryInUse()
				bodies := make([]io.Closer, 0, n)
				for range n {
					response, err := http.Post(url, "application/json", strings.NewReader(streamQuestion)) //nolint:bodyclose // closed below
					is.NoErr(err)
					bodies = append(bodies, response.Body)
				}
				bytes = max(memoryInUse()-before, 0)
				for _, body := range bodies {
					is.NoErr(body.Close())
				}
			}
			close(end)
			b.ReportMetric(bytes, "held-bytes")
		})
	}
}

// heldStreams returns a handler that sends one token and then waits until the
// caller disconnects or end is closed.
func heldStreams(end <-chan struct{}) request.Handler {
	return request.HandlerFunc(func(ctx context.Context, e *request.Exchange) error {
		if err := e.Sink.Piece(ctx, models.Piece{Request: e.ID, Text: " oak"}); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-end:
		}
		return nil
	})
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
