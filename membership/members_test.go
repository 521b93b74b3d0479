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

// daemons are members before one store, stepped four times a second.
type daemons struct {
	t     *testing.T
	is    *is.I
	clock peer.Clock
	store *platform.Store
}

func newDaemons(t *testing.T) *daemons {
	clock := system.NewClock()
	return &daemons{t: t, is: is.New(t), clock: clock, store: platform.NewStore(clock)}
}

func (d *daemons) start(name string, port uint16) *membership.Members {
	address := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)
	m := membership.New(table.Member{ID: models.DaemonID(name), Zone: "z", Address: address}, d.store, d.clock, zap.NewNop())
	go func() {
		for d.clock.Sleep(d.t.Context(), 250*time.Millisecond) == nil {
			m.Step(d.t.Context())
		}
	}()
	return m
}

func (d *daemons) pass(t time.Duration) {
	d.t.Helper()
	d.is.NoErr(d.clock.Sleep(d.t.Context(), t))
}

// knows checks which others a daemon knows.
func (d *daemons) knows(m *membership.Members, want ...models.DaemonID) {
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
		play func(d *daemons)
	}{
		{"all find each other", func(d *daemons) {
			a, b := d.start("a", 1), d.start("b", 2)
			d.pass(3 * time.Second)
			d.knows(a, "b")
			d.knows(b, "a")
		}},
		{"one that starts while the store is down registers after it", func(d *daemons) {
			a := d.start("a", 1)
			d.pass(2 * time.Second)
			d.store.SetFaults(platform.Faults{Down: true})
			b := d.start("b", 2)
			d.pass(5 * time.Second)
			d.knows(a)
			d.store.SetFaults(platform.Faults{})
			d.pass(8 * time.Second)
			d.knows(a, "b")
			d.knows(b, "a")
		}},
		{"one that is heard is known at once", func(d *daemons) {
			a := d.start("a", 1)
			a.Heard("c", "z", netip.MustParseAddrPort("10.0.0.1:3"))
			d.knows(a, "c")
			d.is.Equal(a.Live(), 2)
			d.pass(4 * time.Second)
			d.is.Equal(a.Live(), 1) // no longer heard
		}},
		{"one that stops as planned is gone", func(d *daemons) {
			a, b := d.start("a", 1), d.start("b", 2)
			d.pass(3 * time.Second)
			b.Leave(context.Background())
			d.pass(6 * time.Second)
			d.knows(a)
		}},
		{"one that was long silent is removed", func(d *daemons) {
			a := d.start("a", 1)
			key := table.MemberKey("old")
			value, err := table.EncodeMember(table.Member{Zone: "z", Address: netip.MustParseAddrPort("10.0.0.1:9")})
			d.is.NoErr(err)
			_, err = d.store.Transact(d.t.Context(), models.Transaction{Writes: []models.Write{{Key: key, Value: value}}})
			d.is.NoErr(err)
			d.pass(10 * time.Second)
			d.knows(a, "old")
			d.pass(70 * time.Second)
			d.knows(a)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test.play(newDaemons(t)) })
		})
	}
}
