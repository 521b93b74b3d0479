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

// cluster starts daemons that share one store. Each calls Step every 250 ms.
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

func (c *cluster) start(name string, port uint16) *membership.Members {
	address := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)
	m := membership.New(table.Member{ID: models.DaemonID(name), Zone: "z", Address: address}, c.store, c.clock, zap.NewNop())
	go func() {
		for c.clock.Sleep(c.t.Context(), 250*time.Millisecond) == nil {
			m.Step(c.t.Context())
		}
	}()
	return m
}

func (c *cluster) sleep(t time.Duration) {
	c.t.Helper()
	c.is.NoErr(c.clock.Sleep(c.t.Context(), t))
}

// expectOthers checks which other daemons a daemon knows.
func (c *cluster) expectOthers(m *membership.Members, want ...models.DaemonID) {
	c.t.Helper()
	got := m.Others()
	c.is.Equal(len(got), len(want))
	for _, id := range want {
		_, ok := got[id]
		c.is.True(ok) // the daemon is known
	}
}

func TestMembers(t *testing.T) {
	tests := []struct {
		name string
		run  func(c *cluster)
	}{
		{"daemons discover each other", func(c *cluster) {
			a, b := c.start("a", 1), c.start("b", 2)
			c.sleep(3 * time.Second)
			c.expectOthers(a, "b")
			c.expectOthers(b, "a")
		}},
		{"daemon started during a store outage registers afterwards", func(c *cluster) {
			a := c.start("a", 1)
			c.sleep(2 * time.Second)
			c.store.SetFaults(platform.Faults{Down: true})
			b := c.start("b", 2)
			c.sleep(5 * time.Second)
			c.expectOthers(a)
			c.store.SetFaults(platform.Faults{})
			c.sleep(8 * time.Second)
			c.expectOthers(a, "b")
			c.expectOthers(b, "a")
		}},
		{"sender of a message is known at once", func(c *cluster) {
			a := c.start("a", 1)
			a.MarkAlive("c", "z", netip.MustParseAddrPort("10.0.0.1:3"))
			c.expectOthers(a, "c")
			c.is.Equal(a.LiveCount(), 2)
			c.sleep(4 * time.Second)
			c.is.Equal(a.LiveCount(), 1) // no message within the timeout
		}},
		{"planned stop removes the registration", func(c *cluster) {
			a, b := c.start("a", 1), c.start("b", 2)
			c.sleep(3 * time.Second)
			b.Leave(context.Background())
			c.sleep(6 * time.Second)
			c.expectOthers(a)
		}},
		{"registration of a silent daemon is removed", func(c *cluster) {
			a := c.start("a", 1)
			key := table.MemberKey("old")
			value, err := table.EncodeMember(table.Member{Zone: "z", Address: netip.MustParseAddrPort("10.0.0.1:9")})
			c.is.NoErr(err)
			_, err = c.store.Transact(c.t.Context(), models.Transaction{Writes: []models.Write{{Key: key, Value: value}}})
			c.is.NoErr(err)
			c.sleep(10 * time.Second)
			c.expectOthers(a, "old")
			c.sleep(70 * time.Second)
			c.expectOthers(a)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test.run(newCluster(t)) })
		})
	}
}
