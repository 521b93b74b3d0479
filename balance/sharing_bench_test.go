package balance_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"google.golang.org/grpc/credentials/insecure"

	"quincewinch/balance"
	"quincewinch/models"
	"quincewinch/peer/daemon"
	"quincewinch/peer/system"
	"quincewinch/relay"
	"quincewinch/resume"
)

const (
	benchZones   = 5
	benchEngines = 40
	benchTick    = 10 * time.Millisecond
)

// benchMembers implements balance.Members.
type benchMembers map[models.DaemonID]models.Peer

// Listed implements balance.Members.
func (m benchMembers) Listed() bool { return true }

// Others implements balance.Members.
func (m benchMembers) Others() map[models.DaemonID]models.Peer { return m }

// benchHistory implements resume.VersionSource.
type benchHistory []string

// Candidates implements resume.VersionSource.
// Began implements resume.VersionSource.
func (benchHistory) Began(models.ServiceName, time.Duration) {}

// Candidates implements resume.VersionSource.
func (h benchHistory) Candidates(models.ServiceName) (versions []string, current bool) {
	return append([]string(nil), h...), true
}

// benchReceiver is a daemon that receives load shares.
type benchReceiver struct {
	balancer *balance.Balancer
	origins  *resume.Origins
}

// ReceiveShare implements daemon.ShareReceiver.
func (r benchReceiver) ReceiveShare(share models.LoadShare) models.ShareReceipt {
	r.origins.Learn(share.Origins, resume.ScopeZone)
	share.Origins = nil
	r.balancer.ReceiveShare(share)
	return models.ShareReceipt{Instance: r.origins.Instance()}
}

// benchDaemon is the daemon whose load shares are measured.
type benchDaemon struct {
	b        *testing.B
	balancer *balance.Balancer
	origins  *resume.Origins
	sharer   *balance.Sharer
	traffic  daemon.Traffic
	streams  int
}

// newBenchDaemon starts a daemon, and those that it sends load shares to, in a fleet
// of a size. The others of the fleet are registered only.
func newBenchDaemon(b *testing.B, daemons int, history benchHistory) *benchDaemon {
	b.Helper()
	clock := system.NewClock()
	f := newFleet(engines(benchEngines, models.RoleDecode)...)
	d := &benchDaemon{b: b, balancer: newBalancer(f), origins: resume.NewOrigins(history, clock)}
	self := models.LoadShare{From: daemonID(daemons), Zone: "z0", Address: netip.MustParseAddrPort("127.0.0.1:1")}
	members := benchMembers{}
	for i := range daemons - 1 {
		zone := models.Zone("z" + strconv.Itoa((i+1)%benchZones))
		address := self.Address
		if daemons <= benchZones*2 || zone == self.Zone {
			receiver := benchReceiver{newBalancer(f), resume.NewOrigins(history, clock)}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.New(b).NoErr(err)
			server := daemon.NewEntryServer(receiver, nil, nil, insecure.NewCredentials(), &daemon.Traffic{})
			go func() { _ = server.Serve(listener) }() // ends with the benchmark
			b.Cleanup(server.Stop)
			address = netip.MustParseAddrPort(listener.Addr().String())
		}
		members[daemonID(i)] = models.Peer{Address: address, Zone: zone}
	}
	client := daemon.NewClient(insecure.NewCredentials(), time.Second, &d.traffic)
	b.Cleanup(client.Close)
	d.sharer = balance.NewSharer(self, d.balancer, members, client, d.origins, newEvidenceLog(), clock, zap.NewNop())
	return d
}

// run begins streams at a rate and steps the sharer for some time.
func (d *benchDaemon) run(ctx context.Context, perSecond float64, duration time.Duration) {
	clock := system.NewClock()
	start := clock.Now()
	due := 0.0
	for clock.Now().Sub(start) < duration {
		for due += perSecond * benchTick.Seconds(); due >= 1; due-- {
			e := promptExchange("none", 0)
			e.Prompt = models.Prompt{Tokens: 10}
			placement, err := d.balancer.Place(e, nil)
			is.New(d.b).NoErr(err)
			placement.End(relay.ResultServed)
			d.streams++
			id := models.RequestID(strconv.Itoa(d.streams))
			d.origins.Record(id, streamOrigin, 1, false, clock.Now().Add(10*time.Second))
		}
		d.sharer.Step(ctx)
		is.New(d.b).NoErr(clock.Sleep(ctx, benchTick))
	}
}

// usedCPU returns the CPU time of this process so far.
func usedCPU(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	is.New(b).NoErr(syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkSharing measures the load shares of one daemon: what it spends on sending
// them, and the receivers together on merging them, which is what a daemon of such a
// fleet spends on those that it receives. An operation is a second. Streams are
// those that begin in the fleet each second.
func BenchmarkSharing(b *testing.B) {
	for _, daemons := range []int{7, 83, 300} {
		for _, streams := range []int{0, 100, 1000} {
			for _, history := range []benchHistory{{"v1"}, {"v1", "v2"}} {
				b.Run(fmt.Sprintf("daemons=%d/streams=%d/versions=%d", daemons, streams, len(history)), func(b *testing.B) {
					d := newBenchDaemon(b, daemons, history)
					rate := float64(streams) / float64(daemons)
					d.run(b.Context(), rate, time.Second) // connects
					cpu := usedCPU(b)
					before, _ := d.traffic.Bytes()
					b.ResetTimer()
					d.run(b.Context(), rate, time.Duration(b.N)*time.Second)
					sent, _ := d.traffic.Bytes()
					b.ReportMetric(float64((usedCPU(b)-cpu).Microseconds())/float64(b.N), "cpu-us/s")
					b.ReportMetric(float64(sent-before)/float64(b.N), "bytes/s")
				})
			}
		}
	}
}
