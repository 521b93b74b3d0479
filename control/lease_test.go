package control_test

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/control"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/platform"
	standin "quincewinch/standin/platform"
)

// peerReports returns reports of all candidates except those marked as gone.
type peerReports struct {
	all  []control.Candidate
	gone atomic.Pointer[map[models.DaemonID]bool]
}

// setGone replaces the set of candidates that send no reports.
func (p *peerReports) setGone(ids ...models.DaemonID) {
	gone := map[models.DaemonID]bool{}
	for _, id := range ids {
		gone[id] = true
	}
	p.gone.Store(&gone)
}

func (p *peerReports) Reports() []models.PeerReport {
	var reports []models.PeerReport
	gone := *p.gone.Load()
	for _, c := range p.all {
		if !gone[c.Daemon] {
			report := models.DaemonReport{Daemon: c.Daemon, Zone: c.Zone}
			reports = append(reports, models.PeerReport{Report: report, ReceivedAt: clock.Now()})
		}
	}
	return reports
}

var zones = []models.Zone{"a", "b", "c"}

func allLeases() []models.LeaseName {
	names := []models.LeaseName{models.LeaseServers, models.LeaseUsage}
	for _, zone := range zones {
		names = append(names, models.EngineLease(zone))
	}
	return names
}

// leaseGroup runs one daemon per zone against a shared store.
type leaseGroup struct {
	store   *standin.Store
	reports *peerReports
	leases  []*control.Leases
	ctx     context.Context
}

func newLeaseGroup(t *testing.T) *leaseGroup {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	g := &leaseGroup{store: standin.NewStore(clock), reports: &peerReports{}, ctx: ctx}
	g.reports.setGone()
	for i, zone := range zones {
		g.reports.all = append(g.reports.all, control.Candidate{Daemon: models.DaemonID("d" + strconv.Itoa(i)), Zone: zone})
	}
	return g
}

// start starts the daemon of zone i.
func (g *leaseGroup) start(i int) {
	table := platform.NewRetryTable(g.store, clock, platform.DefaultRetrySettings(time.Second, uint64(i)))
	leases := control.NewLeases(g.reports.all[i], table, clock, discardTimeline{}, g.reports, allLeases, control.DefaultLeaseSettings())
	g.leases = append(g.leases, leases)
	go func() {
		for g.ctx.Err() == nil {
			leases.Step(g.ctx)
			_ = clock.Sleep(g.ctx, 250*time.Millisecond)
		}
	}()
}

// holders returns, for each lease held with valid authority, the index of its
// holder.
func (g *leaseGroup) holders() map[models.LeaseName]int {
	holders := map[models.LeaseName]int{}
	for _, name := range allLeases() {
		for i, l := range g.leases {
			if l.Authority(name).Fence > 0 {
				holders[name] = i
			}
		}
	}
	return holders
}

func sleep(t *testing.T, d time.Duration) {
	t.Helper()
	is.New(t).NoErr(clock.Sleep(t.Context(), d))
}

// checkPlacement asserts that all leases are held, each zone's within the zone.
func (g *leaseGroup) checkPlacement(t *testing.T) {
	t.Helper()
	is := is.New(t)
	holders := g.holders()
	is.Equal(len(holders), len(allLeases()))
	for i, zone := range zones {
		is.Equal(holders[models.EngineLease(zone)], i)
	}
}

func TestLeases(t *testing.T) {
	run := func(name string, test func(t *testing.T, g *leaseGroup)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, newLeaseGroup(t)) })
		})
	}
	run("each zone's lease is held in the zone", func(t *testing.T, g *leaseGroup) {
		for i := range zones {
			g.start(i)
		}
		sleep(t, 5*time.Second)
		g.checkPlacement(t)
	})
	run("leases move to daemons that join later", func(t *testing.T, g *leaseGroup) {
		g.reports.setGone("d1", "d2")
		g.start(0)
		sleep(t, 5*time.Second)
		is.New(t).Equal(len(g.holders()), len(allLeases()))
		g.reports.setGone()
		g.start(1)
		g.start(2)
		sleep(t, time.Minute)
		g.checkPlacement(t)
	})
	run("leases released at a planned stop are taken over at once", func(t *testing.T, g *leaseGroup) {
		g.start(0)
		sleep(t, 5*time.Second)
		g.start(1)
		sleep(t, 3*time.Second)
		g.leases[0].Release(t.Context())
		for _, name := range allLeases() {
			is.New(t).Equal(g.leases[0].Authority(name).Fence, uint64(0))
		}
		g.reports.setGone("d0", "d2")
		sleep(t, 1500*time.Millisecond)
		is.New(t).Equal(len(g.holders()), len(allLeases()))
		sleep(t, time.Minute)
		is.New(t).Equal(g.leases[0].Authority(models.LeaseUsage).Fence, uint64(0)) // a leaving daemon acquires no lease again
	})
	run("table down for an hour", func(t *testing.T, g *leaseGroup) {
		is := is.New(t)
		for i := range zones {
			g.start(i)
		}
		sleep(t, 5*time.Second)
		before := g.leases[0].Authority(models.EngineLease("a"))
		g.store.SetFaults(standin.Faults{Down: true})
		sleep(t, control.DefaultLeaseSettings().Duration)
		is.Equal(len(g.holders()), 0) // all authorities have expired
		calls := g.store.Counts()
		sleep(t, time.Hour)
		calls.Reads = g.store.Counts().Reads - calls.Reads
		calls.Writes = g.store.Counts().Writes - calls.Writes
		hour := int64(time.Hour / time.Second)
		t.Logf("1 h outage, 3 daemons: %d reads, %d writes attempted", calls.Reads, calls.Writes)
		is.True(calls.Reads+calls.Writes <= 5*hour*int64(len(zones))) // retries do not overload a failing table
		g.store.SetFaults(standin.Faults{})
		sleep(t, 5*time.Second)
		g.checkPlacement(t)
		is.True(g.leases[0].Authority(models.EngineLease("a")).Fence >= before.Fence)
	})
	run("slow table", func(t *testing.T, g *leaseGroup) {
		for i := range zones {
			g.start(i)
		}
		sleep(t, 5*time.Second)
		g.store.SetFaults(standin.Faults{Delay: 800 * time.Millisecond})
		for range 100 {
			sleep(t, 700*time.Millisecond)
			g.checkPlacement(t)
		}
	})
	run("reads and writes per second", func(t *testing.T, g *leaseGroup) {
		is := is.New(t)
		for i := range zones {
			g.start(i)
		}
		sleep(t, 5*time.Second)
		before := g.store.Counts()
		sleep(t, 100*time.Second)
		after := g.store.Counts()
		t.Logf("3 daemons, 5 leases, 100 s: %d reads, %d writes", after.Reads-before.Reads, after.Writes-before.Writes)
		limit := int64(len(zones) * 101) // one per second and daemon, both ends included
		is.True(after.Reads-before.Reads <= limit)
		is.True(after.Writes-before.Writes <= limit) // regardless of the number of leases held
	})
}

// countMarkers returns the number of markers that are not deleted.
func countMarkers(t *testing.T, store *standin.Store) int {
	t.Helper()
	changes, err := store.Changes(t.Context(), models.PartitionMarkers, 0)
	is.New(t).NoErr(err)
	count := 0
	for _, row := range changes.Rows {
		if !row.Deleted {
			count++
		}
	}
	return count
}

// TestMarkerCountIsBounded checks that markers are deleted after the retention
// period and that a later retry under the same ID is not executed.
func TestMarkerCountIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newLeaseGroup(t)
		g.start(0)
		settings := control.DefaultMarkerSettings()
		cleaner := control.NewMarkerCleaner(g.store, g.leases[0], clock, settings)
		table := platform.NewRetryTable(g.store, clock, platform.DefaultRetrySettings(time.Second, 0))
		put := func(id string) error {
			key := models.RowKey{Partition: models.PartitionFleet, Name: id}
			_, err := table.Transact(t.Context(), models.Transaction{ID: id, Writes: []models.Write{{Key: key}}})
			return err
		}
		limit := int(settings.Retention/time.Second) + 31
		for i := range 3 * limit {
			is.NoErr(put(strconv.Itoa(i)))
			sleep(t, time.Second)
			if i%30 == 0 {
				cleaner.Step(t.Context())
			}
		}
		is.True(countMarkers(t, g.store) <= limit)
		is.Equal(peer.OutcomeOf(put("0")), peer.OutcomeUnknown) // a retry after its marker was deleted is not executed
	})
}
