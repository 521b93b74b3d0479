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

// TestRegistrationLostWithOlderCopy guards against daemons that a daemon which
// starts later never learns of.
func TestRegistrationLostWithOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := system.NewClock()
		emulated := emulator.NewStore()
		start := func(name string, port uint16) *membership.Members {
			store := platform.NewStore(netip.MustParseAddrPort("10.0.0.9:1"), &http.Client{Transport: emulator.NewConnection(emulated)}, time.Second)
			address := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)
			m := membership.New(table.Member{ID: models.DaemonID(name), Zone: "z", Address: address}, store, clock, zap.NewNop())
			go func() {
				for clock.Sleep(t.Context(), 250*time.Millisecond) == nil {
					m.Step(t.Context())
				}
			}()
			return m
		}
		first := start("a", 1)
		is.NoErr(clock.Sleep(t.Context(), 5*time.Second))
		emulated.Restore(0)
		is.NoErr(clock.Sleep(t.Context(), 12*time.Second))
		second := start("b", 2)
		is.NoErr(clock.Sleep(t.Context(), 12*time.Second))
		is.Equal(len(second.Others()), 1)
		is.Equal(len(first.Others()), 1)
	})
}
