package membership_test

import (
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"quincewinch/membership"
	"quincewinch/models"
	"quincewinch/peer/system"
	"quincewinch/platform"
	"quincewinch/platform/emulator"
	"quincewinch/table"
)

func TestLiveDaemons(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.2:1")
	for name, test := range map[string]struct {
		zone  models.Zone // of the other daemon
		heard func(m *membership.Members)
		live  bool
	}{
		"heard":                           {"z", func(m *membership.Members) { m.MarkAlive("b", "z", address) }, true},
		"silent":                          {"z", func(*membership.Members) {}, false},
		"of another zone, silent":         {"y", func(m *membership.Members) { m.MarkAlive("c", "y", address) }, false},
		"of another zone, which is heard": {"y", func(m *membership.Members) { m.MarkZone("y") }, true},
		"of this zone, which is heard":    {"z", func(m *membership.Members) { m.MarkZone("z") }, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				clock := system.NewClock()
				store := platform.NewStore(netip.MustParseAddrPort("10.0.0.9:1"), &http.Client{Transport: emulator.NewConnection(emulator.NewStore())}, time.Second)
				m := membership.New(table.Member{ID: "a", Zone: "z", Address: netip.MustParseAddrPort("10.0.0.1:1")}, store, clock, zap.NewNop())
				m.MarkAlive("b", test.zone, address)
				is.NoErr(clock.Sleep(t.Context(), 5*time.Second))
				test.heard(m)
				_, live := m.Live()["b"]
				is.Equal(live, test.live)
			})
		})
	}
}
