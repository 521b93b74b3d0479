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
	"quincewinch/peer/system"
	"quincewinch/platform"
	"quincewinch/platform/emulator"
	"quincewinch/table"
)

// Guards against a daemon that takes the others of which it has heard for all.
func TestRegistrationsAreListedOnceTheyHaveBeenRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := system.NewClock()
		emulated := emulator.NewStore()
		connection := emulator.NewConnection(emulated)
		store := platform.NewStore(netip.MustParseAddrPort("10.0.0.9:1"), &http.Client{Transport: connection}, time.Second)
		m := membership.New(table.Member{ID: "a", Zone: "z", Address: netip.MustParseAddrPort("10.0.0.1:1")}, store, clock, zap.NewNop())
		connection.Set(emulator.FaultUnavailable, 0)
		m.Step(t.Context())
		m.MarkAlive("b", "z", netip.MustParseAddrPort("10.0.0.2:1"))
		is.Equal(len(m.Others()), 1)
		is.True(!m.Listed())
		connection.Set(emulator.FaultNone, 0)
		is.NoErr(clock.Sleep(t.Context(), 2*time.Second))
		m.Step(t.Context())
		is.True(m.Listed())
	})
}
