package balance

import (
	"context"
	"net/netip"
	"runtime"
	"strconv"
	"testing"
	"time"

	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/resume"
	"quincewinch/routing"
)

// steppedClock is moved on by a benchmark.
type steppedClock struct {
	peer.Clock
	now time.Time
}

func (c *steppedClock) Now() time.Time { return c.now }

// benchmarkPeers are the other daemons of a benchmark, which confirm each share. It
// implements Members and ShareClient.
type benchmarkPeers map[models.DaemonID]models.Peer

// Listed implements balance.Members.
func (p benchmarkPeers) Listed() bool { return true }

func (p benchmarkPeers) Others() map[models.DaemonID]models.Peer { return p }

func (p benchmarkPeers) Share(context.Context, netip.AddrPort, models.LoadShare) (models.ShareReceipt, error) {
	return models.ShareReceipt{Instance: 1}, nil
}

func (p benchmarkPeers) Drop(netip.AddrPort) {}

// benchmarkEvidence implements EvidenceLog.
type benchmarkEvidence struct{ revision uint64 }

func (e *benchmarkEvidence) Revision() (latest, own uint64) { return e.revision, e.revision }

func (e *benchmarkEvidence) Evidence(uint64) *models.CrashEvidence { return &models.CrashEvidence{} }

// emptyHistory implements resume.VersionSource.
type emptyHistory struct{}

func (emptyHistory) Candidates(models.ServiceName) ([]string, bool) { return nil, true }

func (emptyHistory) Began(models.ServiceName, time.Duration) {}

// emptyFleet implements FleetView.
type emptyFleet struct{}

func (emptyFleet) Snapshot() *routing.Snapshot { return &routing.Snapshot{} }

// BenchmarkStep measures load shares to 12 daemons, without the codec.
func BenchmarkStep(b *testing.B) {
	const others = 12
	for _, test := range []struct {
		name    string
		known   uint64 // revision of the evidence
		changes uint64 // before each step
	}{
		{name: "no evidence"},
		{name: "confirmed evidence", known: 1},
		{name: "new evidence", changes: 1},
	} {
		b.Run(test.name, func(b *testing.B) {
			clock := &steppedClock{now: time.Unix(1, 0)}
			peers := benchmarkPeers{}
			for i := range others {
				peers[models.DaemonID(strconv.Itoa(i))] = models.Peer{}
			}
			evidence := &benchmarkEvidence{revision: test.known}
			balancer := New(emptyFleet{}, clock, Settings{}, 1)
			sharer := NewSharer(models.LoadShare{From: "self"}, balancer, peers, peers, resume.NewOrigins(emptyHistory{}, clock), evidence, clock, zap.NewNop())
			b.ReportAllocs()
			for b.Loop() {
				evidence.revision += test.changes
				clock.now = clock.now.Add(time.Second)
				sharer.Step(b.Context())
				for sharer.sending(peers) {
					runtime.Gosched()
				}
			}
		})
	}
}
