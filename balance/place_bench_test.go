package balance_test

import (
	"fmt"
	"testing"
	"time"

	"quincewinch/models"
	"quincewinch/relay"
)

// benchSizes are deployments: VMs of one zone, other zones, and engines.
var benchSizes = []struct{ zoneVMs, otherZones, engines int }{{7, 0, 8}, {33, 5, 117}, {69, 5, 600}}

// loadedBalancer returns a balancer that has received the load shares of its zone and
// the sums of the others.
func loadedBalancer(zoneVMs, otherZones, engineCount int) (b interface {
	Place(e *relay.Exchange, tried map[models.EngineID]bool) (relay.Placement, error)
	ReceiveShare(share models.LoadShare)
}, share models.LoadShare) {
	f := newFleet(engines(engineCount, models.RoleDecode)...)
	balancer := newBalancer(f)
	for i := range zoneVMs {
		share = models.LoadShare{From: daemonID(i), Zone: "z", Sequence: 1, Loads: map[models.EngineID]models.ServerLoad{}}
		for j := range 4 {
			share.Loads[models.EngineID(fmt.Sprintf("decode%d", (i*7+j)%engineCount))] = models.ServerLoad{Running: 1, PrefillTokens: 1000}
		}
		balancer.ReceiveShare(share)
	}
	for i := range otherZones {
		sum := models.LoadShare{From: models.DaemonID(fmt.Sprintf("zone/z%d", i)), Zone: models.Zone(fmt.Sprintf("z%d", i)), Sequence: 1, Loads: map[models.EngineID]models.ServerLoad{}}
		for j := range engineCount {
			sum.Loads[models.EngineID(fmt.Sprintf("decode%d", j))] = models.ServerLoad{Running: 1, PrefillTokens: 500}
		}
		balancer.ReceiveShare(sum)
	}
	return balancer, share
}

// BenchmarkPlace measures the placement of a prompt.
func BenchmarkPlace(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("zone=%d/engines=%d", size.zoneVMs, size.engines), func(b *testing.B) {
			balancer, _ := loadedBalancer(size.zoneVMs, size.otherZones, size.engines)
			e := promptExchange("catalogue", 100)
			b.ReportAllocs()
			for b.Loop() {
				p, err := balancer.Place(e, nil)
				if err != nil {
					b.Fatal(err)
				}
				p.End(relay.ResultCancelled)
			}
		})
	}
}

// BenchmarkReceiveShare measures the receipt of the load share of one VM.
func BenchmarkReceiveShare(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("zone=%d/engines=%d", size.zoneVMs, size.engines), func(b *testing.B) {
			balancer, share := loadedBalancer(size.zoneVMs, size.otherZones, size.engines)
			b.ReportAllocs()
			for b.Loop() {
				share.Sequence++
				balancer.ReceiveShare(share)
			}
		})
	}
}

// BenchmarkPlaceByWork measures the same where the engines state a pace, with loads that
// are 200 ms old.
func BenchmarkPlaceByWork(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("zone=%d/engines=%d", size.zoneVMs, size.engines), func(b *testing.B) {
			balancer, _ := loadedBalancer(size.zoneVMs, size.otherZones, size.engines)
			report := models.LoadShare{From: "other", Zone: "z", Sequence: 1}
			for j := range size.engines {
				report.Speeds = append(report.Speeds, models.SpeedReport{
					Server: models.EngineID(fmt.Sprintf("decode%d", j)), Observations: 10,
					Load: models.UpstreamLoad{Running: 3, Slots: 64, Pace: 1}, LoadAge: 200 * time.Millisecond,
				})
			}
			e := promptExchange("catalogue", 100)
			b.ReportAllocs()
			for b.Loop() {
				if report.Sequence++; report.Sequence%100 == 0 {
					balancer.ReceiveShare(report)
				}
				p, err := balancer.Place(e, nil)
				if err != nil {
					b.Fatal(err)
				}
				p.End(relay.ResultCancelled)
			}
		})
	}
}
