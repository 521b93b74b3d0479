package membership_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"quincewinch/membership"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/system"
	"quincewinch/standin/platform"
	"quincewinch/table"
)

// cluster are members before one store, stepped four times a second.
type cluster struct {
	t     *testing.T
	is    *is.I
	clock peer.Clock
	store *platform.Store
}

func newCluster(t *testing.T) *cluster {
	clock := system.NewClock()
	return &cluster{t: t, is: is.New(t), clock: clock, store: platform.NewStore(clock)}
}

func (d *cluster) start(name string, port uint16) *membership.Members {
	address := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)
	m := membership.New(table.Member{ID: models.DaemonID(name), Zone: "z", Address: address}, d.store, d.clock, zap.NewNop())
	go func() {
		for d.clock.Sleep(d.t.Context(), 250*time.Millisecond) == nil {
			m.Step(d.t.Context())
		}
	}()
	return m
}

func (d *cluster) sleep(t time.Duration) {
	d.t.Helper()
	d.is.NoErr(d.clock.Sleep(d.t.Context(), t))
}

// expectOthers checks which others a daemon knows.
func (d *cluster) expectOthers(m *membership.Members, want ...models.DaemonID) {
	d.t.Helper()
	got := m.Others()
	d.is.Equal(len(got), len(want))
	for _, id := range want {
		_, ok := got[id]
		d.is.True(ok) // is known
	}
}

func TestMembers(t *testing.T) {
	tests := []struct {
		name string
		play func(d *cluster)
	}{
		{"all find each other", func(d *cluster) {
			a, b := d.start("a", 1), d.start("b", 2)
			d.sleep(3 * time.Second)
			d.expectOthers(a, "b")
			d.expectOthers(b, "a")
		}},
		{"one that starts while the store is down registers after it", func(d *cluster) {
			a := d.start("a", 1)
			d.sleep(2 * time.Second)
			d.store.SetFaults(platform.Faults{Down: true})
			b := d.start("b", 2)
			d.sleep(5 * time.Second)
			d.expectOthers(a)
			d.store.SetFaults(platform.Faults{})
			d.sleep(8 * time.Second)
			d.expectOthers(a, "b")
			d.expectOthers(b, "a")
		}},
		{"one that is heard is known at once", func(d *cluster) {
			a := d.start("a", 1)
			a.MarkAlive("c", "z", netip.MustParseAddrPort("10.0.0.1:3"))
			d.expectOthers(a, "c")
			d.is.Equal(a.LiveCount(), 2)
			d.sleep(4 * time.Second)
			d.is.Equal(a.LiveCount(), 1) // no longer heard
		}},
		{"one that stops as planned is gone", func(d *cluster) {
			a, b := d.start("a", 1), d.start("b", 2)
			d.sleep(3 * time.Second)
			b.Leave(context.Background())
			d.sleep(6 * time.Second)
			d.expectOthers(a)
		}},
		{"one that was long silent is removed", func(d *cluster) {
			a := d.start("a", 1)
			key := table.MemberKey("old")
			value, err := table.EncodeMember(table.Member{Zone: "z", Address: netip.MustParseAddrPort("10.0.0.1:9")})
			d.is.NoErr(err)
			_, err = d.store.Transact(d.t.Context(), models.Transaction{Writes: []models.Write{{Key: key, Value: value}}})
			d.is.NoErr(err)
			d.sleep(10 * time.Second)
			d.expectOthers(a, "old")
			d.sleep(70 * time.Second)
			d.expectOthers(a)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test.play(newCluster(t)) })
		})
	}
}
