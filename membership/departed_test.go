package membership_test

import (
	"context"
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

// TestDaemonMissingFromOlderCopyIsForgotten guards against a daemon that others
// wait for without end, since it ended for good and the store lost its
// registration.
func TestDaemonMissingFromOlderCopyIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := system.NewClock()
		emulated := emulator.NewStore()
		start := func(ctx context.Context, name string, port uint16) *membership.Members {
			store := platform.NewStore(netip.MustParseAddrPort("10.0.0.9:1"), &http.Client{Transport: emulator.NewConnection(emulated)}, time.Second)
			address := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)
			m := membership.New(table.Member{ID: models.DaemonID(name), Zone: "z", Address: address}, store, clock, zap.NewNop())
			go func() {
				for clock.Sleep(ctx, 250*time.Millisecond) == nil {
					m.Step(ctx)
				}
			}()
			return m
		}
		first := start(t.Context(), "a", 1)
		is.NoErr(clock.Sleep(t.Context(), 5*time.Second))
		before := emulated.VersionAt(clock.Now())
		ctx, kill := context.WithCancel(t.Context())
		start(ctx, "b", 2)
		is.NoErr(clock.Sleep(t.Context(), 6*time.Second))
		is.Equal(len(first.Others()), 1)
		kill()
		emulated.Restore(before)
		is.NoErr(clock.Sleep(t.Context(), 5*time.Minute))
		is.Equal(len(first.Others()), 0)
	})
}
