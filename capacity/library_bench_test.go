package capacity_test

import (
	"context"
	"log/slog"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"quincewinch/control"
	"quincewinch/lib/certificates"
	"quincewinch/models"
	"quincewinch/peer/daemon"
	"quincewinch/peer/system"
)

// echoReceiver answers each exchange with the message that it received.
type echoReceiver struct{}

func (echoReceiver) Receive(message models.Gossip) models.Gossip { return message }
func (echoReceiver) Events(models.EventFilter) []models.Event    { return nil }

// BenchmarkExchange measures the CPU time of one gRPC exchange over loopback,
// both ends together, by the number of engines reported, with and without TLS.
func BenchmarkExchange(b *testing.B) {
	source, err := certificates.NewMemory(system.NewClock())
	is.New(b).NoErr(err)
	b.Run("plain", func(b *testing.B) {
		measureExchange(b, insecure.NewCredentials(), insecure.NewCredentials())
	})
	b.Run("tls", func(b *testing.B) {
		measureExchange(b, credentials.NewTLS(certificates.Server(source, true)), credentials.NewTLS(certificates.Client(source)))
	})
}

func measureExchange(b *testing.B, server, client credentials.TransportCredentials) {
	for _, n := range engineSizes {
		b.Run("engines="+strconv.Itoa(n), func(b *testing.B) {
			is := is.New(b)
			listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
			is.NoErr(err)
			s := daemon.NewServer(echoReceiver{}, server, &daemon.Traffic{})
			go func() { _ = s.Serve(listener) }()
			defer s.Stop()
			traffic := &daemon.Traffic{}
			c := daemon.NewClient(client, time.Minute, traffic)
			defer c.Close()
			to := models.VM{Address: listener.Addr().(*net.TCPAddr).AddrPort()}
			message := models.Gossip{Reports: []models.DaemonReport{engineReport(n)}}
			_, err = c.Exchange(b.Context(), to, message)
			is.NoErr(err)
			before := cpuTime(b)
			for b.Loop() {
				_, err := c.Exchange(b.Context(), to, message)
				is.NoErr(err)
			}
			spent := cpuTime(b) - before
			b.ReportMetric(float64(spent.Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

// engineReport returns a report with the states of n engines.
func engineReport(n int) models.DaemonReport {
	report := models.DaemonReport{States: map[models.EngineID]models.EngineState{}}
	for i := range n {
		id := models.EngineID("engine-" + strconv.Itoa(i))
		report.States[id] = models.EngineState{
			Engine:      id,
			Role:        models.RoleDecode,
			Models:      []models.Model{"catalogue"},
			Running:     30,
			FreePieces:  900,
			TotalPieces: 2048,
			PieceTokens: 64,
		}
	}
	return report
}

// signalTask is a task that sends on a channel at each step.
type signalTask struct {
	steps chan struct{}
}

// Step implements control.Task.
func (t signalTask) Step(context.Context) { t.steps <- struct{}{} }

// BenchmarkActors measures the CPU time of one step of each of n tasks run by
// protoactor, timers included.
func BenchmarkActors(b *testing.B) {
	for _, n := range []int{4, 16, 64} {
		b.Run("tasks="+strconv.Itoa(n), func(b *testing.B) {
			tasks := control.NewSystem(system.NewClock(), slog.New(slog.DiscardHandler))
			steps := make(chan struct{})
			for range n {
				tasks.Spawn(signalTask{steps}, time.Millisecond)
			}
			before := cpuTime(b)
			for b.Loop() {
				for range n {
					<-steps
				}
			}
			spent := cpuTime(b) - before
			b.ReportMetric(float64(spent.Microseconds())/float64(b.N), "cpu-us/op")
			go func() {
				for range steps {
				}
			}()
			tasks.Stop()
			close(steps)
		})
	}
}
