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

// neighbours reports on all candidates but those that are gone.
type neighbours struct {
	all  []control.Candidate
	gone atomic.Pointer[map[models.DaemonID]bool]
}

// lose sets which candidates are gone.
func (n *neighbours) lose(ids ...models.DaemonID) {
	gone := map[models.DaemonID]bool{}
	for _, id := range ids {
		gone[id] = true
	}
	n.gone.Store(&gone)
}

func (n *neighbours) Reports() []models.PeerReport {
	var reports []models.PeerReport
	gone := *n.gone.Load()
	for _, c := range n.all {
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

// group is a daemon in each zone.
type group struct {
	store  *standin.Store
	view   *neighbours
	leases []*control.Leases
	ctx    context.Context
}

func newGroup(t *testing.T) *group {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	g := &group{store: standin.NewStore(clock), view: &neighbours{}, ctx: ctx}
	g.view.lose()
	for i, zone := range zones {
		g.view.all = append(g.view.all, control.Candidate{Daemon: models.DaemonID("d" + strconv.Itoa(i)), Zone: zone})
	}
	return g
}

// join starts the daemon of a zone.
func (g *group) join(i int) {
	table := platform.NewRetryTable(g.store, clock, platform.DefaultRetrySettings(time.Second, uint64(i)))
	leases := control.NewLeases(g.view.all[i], table, clock, silence{}, g.view, allLeases, control.DefaultLeaseSettings())
	g.leases = append(g.leases, leases)
	go func() {
		for g.ctx.Err() == nil {
			leases.Step(g.ctx)
			_ = clock.Sleep(g.ctx, 250*time.Millisecond)
		}
	}()
}

// holders returns who holds each lease with authority.
func (g *group) holders() map[models.LeaseName]int {
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

func wait(t *testing.T, d time.Duration) {
	t.Helper()
	is.New(t).NoErr(clock.Sleep(t.Context(), d))
}

// spread asserts that each zone's lease is held in the zone, and all are held.
func (g *group) spread(t *testing.T) {
	t.Helper()
	is := is.New(t)
	holders := g.holders()
	is.Equal(len(holders), len(allLeases())) // each lease is held
	for i, zone := range zones {
		is.Equal(holders[models.EngineLease(zone)], i)
	}
}

func TestLeases(t *testing.T) {
	run := func(name string, test func(t *testing.T, g *group)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, newGroup(t)) })
		})
	}
	run("each zone holds its own", func(t *testing.T, g *group) {
		for i := range zones {
			g.join(i)
		}
		wait(t, 5*time.Second)
		g.spread(t)
	})
	run("the first daemon gives up what others should hold", func(t *testing.T, g *group) {
		g.view.lose("d1", "d2")
		g.join(0)
		wait(t, 5*time.Second)
		is.New(t).Equal(len(g.holders()), len(allLeases()))
		g.view.lose()
		g.join(1)
		g.join(2)
		wait(t, time.Minute)
		g.spread(t)
	})
	run("a planned stop hands over at once", func(t *testing.T, g *group) {
		g.join(0)
		wait(t, 5*time.Second)
		g.join(1)
		wait(t, 3*time.Second)
		g.leases[0].Release(t.Context())
		for _, name := range allLeases() {
			is.New(t).Equal(g.leases[0].Authority(name).Fence, uint64(0))
		}
		g.view.lose("d0", "d2")
		wait(t, 1500*time.Millisecond)
		is.New(t).Equal(len(g.holders()), len(allLeases()))
		wait(t, time.Minute)
		is.New(t).Equal(g.leases[0].Authority(models.LeaseUsage).Fence, uint64(0)) // it takes none again
	})
	run("a table that is down for an hour", func(t *testing.T, g *group) {
		is := is.New(t)
		for i := range zones {
			g.join(i)
		}
		wait(t, 5*time.Second)
		before := g.leases[0].Authority(models.EngineLease("a"))
		g.store.SetFaults(standin.Faults{Down: true})
		wait(t, control.DefaultLeaseSettings().Duration)
		is.Equal(len(g.holders()), 0) // nobody believes to be in charge
		calls := g.store.Counts()
		wait(t, time.Hour)
		calls.Reads = g.store.Counts().Reads - calls.Reads
		calls.Writes = g.store.Counts().Writes - calls.Writes
		hour := int64(time.Hour / time.Second)
		t.Logf("an hour's outage, 3 daemons: %d reads, %d writes tried", calls.Reads, calls.Writes)
		is.True(calls.Reads+calls.Writes <= 5*hour*int64(len(zones))) // a table in trouble is left alone
		g.store.SetFaults(standin.Faults{})
		wait(t, 5*time.Second)
		g.spread(t)
		is.True(g.leases[0].Authority(models.EngineLease("a")).Fence >= before.Fence)
	})
	run("a slow table", func(t *testing.T, g *group) {
		for i := range zones {
			g.join(i)
		}
		wait(t, 5*time.Second)
		g.store.SetFaults(standin.Faults{Delay: 800 * time.Millisecond})
		for range 100 {
			wait(t, 700*time.Millisecond)
			g.spread(t)
		}
	})
	run("reads and writes a second", func(t *testing.T, g *group) {
		is := is.New(t)
		for i := range zones {
			g.join(i)
		}
		wait(t, 5*time.Second)
		before := g.store.Counts()
		wait(t, 100*time.Second)
		after := g.store.Counts()
		t.Logf("3 daemons, 5 leases, 100 s: %d reads, %d writes", after.Reads-before.Reads, after.Writes-before.Writes)
		most := int64(len(zones) * 101) // one a second for a daemon, both ends included
		is.True(after.Reads-before.Reads <= most)
		is.True(after.Writes-before.Writes <= most) // however many leases it holds
	})
}

// markers counts the markers that are not deleted.
func markers(t *testing.T, store *standin.Store) int {
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

func TestMarkersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGroup(t)
		g.join(0)
		settings := control.DefaultMarkerSettings()
		cleaner := control.NewMarkers(g.store, g.leases[0], clock, settings)
		table := platform.NewRetryTable(g.store, clock, platform.DefaultRetrySettings(time.Second, 0))
		put := func(id string) error {
			key := models.RowKey{Partition: models.PartitionFleet, Name: id}
			_, err := table.Transact(t.Context(), models.Transaction{ID: id, Writes: []models.Write{{Key: key}}})
			return err
		}
		most := int(settings.Keep/time.Second) + 31
		for i := range 3 * most {
			is.NoErr(put(strconv.Itoa(i)))
			wait(t, time.Second)
			if i%30 == 0 {
				cleaner.Step(t.Context())
			}
		}
		is.True(markers(t, g.store) <= most)
		is.Equal(peer.OutcomeOf(put("0")), peer.OutcomeUnknown) // a cleaned one stays shut
	})
}
