package feed_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"quincewinch/feed"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/system"
	"quincewinch/platform"
	"quincewinch/platform/emulator"
	"quincewinch/routing"
)

var large = flag.Bool("large", false, "also run TestConfigurationAfterRefusals with 300 daemons")

const (
	// linkBytesPerSecond is the bandwidth of a small VM, 10 Mbit/s.
	linkBytesPerSecond = 10_000_000 / 8
	// configurationBytes is the size of a configuration with some 70 routes and 170 keys.
	configurationBytes = 32_000
	fleetZones         = 4
	// directReaders is the most daemons of a fleet in which each follows the store itself.
	directReaders = 13
)

// refusedFleet is a fleet in several zones that follows an emulated store, which refuses
// some daemons.
type refusedFleet struct {
	t       *testing.T
	clock   peer.Clock
	store   *emulator.Store
	daemons []*fleetDaemon

	mu   sync.Mutex
	gone map[int]bool // daemons that have ended

	version uint64
	padding []byte
}

// fleetDaemon is a daemon of a refusedFleet.
type fleetDaemon struct {
	address       netip.AddrPort
	connection    *emulator.Connection
	reader        *feed.Reader
	configuration *routing.Configuration
	stop          context.CancelFunc
}

func newRefusedFleet(t *testing.T, size int) *refusedFleet {
	f := &refusedFleet{
		t: t, clock: system.NewClock(), store: emulator.NewStore(), gone: map[int]bool{},
		padding: bytes.Repeat([]byte("k"), configurationBytes),
	}
	f.configure()
	for i := range size {
		d := &fleetDaemon{
			address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 256), byte(i)}), 1),
			connection: emulator.NewConnection(f.store),
		}
		d.connection.SetBandwidth(linkBytesPerSecond)
		d.reader = feed.NewReader(platform.NewStore(d.address, &http.Client{Transport: d.connection}, callTimeout))
		source := feed.NewSource(d.reader, f, fleetZone{f, i}, f.clock, zap.NewNop())
		d.configuration = routing.NewConfiguration(platform.NewRouting(source), f.clock, zap.NewNop(), followWait)
		f.daemons = append(f.daemons, d)
	}
	return f
}

// start makes all daemons follow the store.
func (f *refusedFleet) start() (stop func()) {
	var running sync.WaitGroup
	for i, d := range f.daemons {
		var ctx context.Context
		ctx, d.stop = context.WithCancel(f.t.Context())
		running.Go(func() {
			for f.clock.Sleep(ctx, time.Millisecond+time.Duration(i)*followerSpacing) == nil {
				d.configuration.Step(ctx)
			}
		})
	}
	return func() {
		for _, d := range f.daemons {
			d.stop()
		}
		running.Wait()
	}
}

func (f *refusedFleet) configure() {
	f.version++
	raw, err := json.Marshal(map[string]any{"version": f.version, "padding": string(f.padding)})
	if err != nil {
		f.t.Fatal(err)
	}
	f.store.Put(string(platform.PartitionOperators), "config", raw)
}

// kill ends a daemon.
func (f *refusedFleet) kill(i int) {
	f.daemons[i].stop()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gone[i] = true
}

// behind returns the daemons that have not the newest configuration.
func (f *refusedFleet) behind() (indices []int) {
	for i, d := range f.daemons {
		current := d.configuration.Routing()
		if !f.isGone(i) && (current == nil || current.Version < f.version) {
			indices = append(indices, i)
		}
	}
	return indices
}

func (f *refusedFleet) isGone(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gone[i]
}

func (f *refusedFleet) advance(d time.Duration) {
	f.t.Helper()
	if err := f.clock.Sleep(f.t.Context(), d); err != nil {
		f.t.Fatal(err)
	}
}

// Changes implements feed.Daemons. Rows take time on the link of the daemon that asks.
func (f *refusedFleet) Changes(ctx context.Context, from netip.AddrPort, partition models.Partition, after models.Revision, wait time.Duration) (models.Changes, error) {
	for i, d := range f.daemons {
		if d.address != from || f.isGone(i) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, wait+500*time.Millisecond)
		defer cancel()
		changes, err := d.reader.Changes(ctx, partition, after, wait)
		size := 0
		for _, row := range changes.Rows {
			size += len(row.Value)
		}
		if f.clock.Sleep(ctx, time.Duration(size)*time.Second/linkBytesPerSecond) != nil {
			return models.Changes{}, errors.Trace(ctx.Err())
		}
		return changes, err
	}
	return models.Changes{}, peer.NewFailure(peer.OutcomeNotDone, "no daemon at this address", nil)
}

// fleetZone is one daemon's view of its zone. It implements feed.Zone.
type fleetZone struct {
	fleet *refusedFleet
	self  int
}

// leader returns the first daemon of a zone.
func (z fleetZone) leader(zone int) int {
	for i := zone; ; i += fleetZones {
		if !z.fleet.isGone(i) {
			return i
		}
	}
}

// Reader implements feed.Zone.
func (z fleetZone) Reader() (netip.AddrPort, bool) {
	if len(z.fleet.daemons) <= directReaders {
		return netip.AddrPort{}, false
	}
	via := z.leader(z.self % fleetZones)
	if via == z.self {
		via = z.leader(0)
	}
	return z.fleet.daemons[via].address, via != z.self
}

// HasFollowers implements feed.Zone.
func (z fleetZone) HasFollowers() bool {
	return len(z.fleet.daemons) > directReaders && z.leader(z.self%fleetZones) == z.self
}

// TestConfigurationAfterRefusals guards against daemons that go by an old configuration
// after the store has refused them, as all versions since do not fit into one call.
func TestConfigurationAfterRefusals(t *testing.T) {
	const (
		refusal = 8 * time.Second
		storm   = 40 // configurations, the last ones of the refusal
		gap     = 60 * time.Millisecond
		// applyBound is the time in which a configuration has to be in force.
		applyBound = 3 * time.Second
		// readsPerSecond is what the platform allows to the smallest deployment.
		readsPerSecond = 2000
	)
	tests := []struct {
		name    string
		refused func(i int) bool
		storm   int
		back    func(f *refusedFleet) // as the store serves all again
	}{
		{"a third, without the leaders", func(i int) bool { return i >= fleetZones && i%3 == 0 }, storm, nil},
		{"a third, with the leaders", func(i int) bool { return i < fleetZones || i%3 == 0 }, storm, nil},
		{"all", func(int) bool { return true }, storm, nil},
		{"all, for more versions than any history keeps", func(int) bool { return true }, 130, nil},
		{"a third, and the history is gone", func(i int) bool { return i%3 == 0 }, storm, func(f *refusedFleet) { f.store.Compact() }},
		{"a third, and the first leader is killed", func(i int) bool { return i%3 == 0 }, storm, func(f *refusedFleet) { f.kill(0) }},
		{"a third, and a leader goes on to be refused", func(i int) bool { return i%3 == 0 }, storm, func(f *refusedFleet) {
			f.daemons[1].connection.Set(emulator.FaultUnavailable, 0)
		}},
	}
	sizes := []int{7, 83}
	if *large {
		sizes = append(sizes, 300)
	}
	for _, size := range sizes {
		for _, test := range tests {
			t.Run(fmt.Sprintf("%d daemons/%s", size, test.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newRefusedFleet(t, size)
					defer f.start()()
					f.advance(4 * time.Second)
					for i, d := range f.daemons {
						if test.refused(i) {
							d.connection.Set(emulator.FaultUnavailable, 0)
						}
					}
					f.advance(refusal - time.Duration(test.storm)*gap)
					for range test.storm {
						f.configure()
						f.advance(gap)
					}
					for _, d := range f.daemons {
						d.connection.Set(emulator.FaultNone, 0)
					}
					if test.back != nil {
						test.back(f)
					}
					begun, calls := f.clock.Now(), f.store.Calls()
					for len(f.behind()) > 0 && f.clock.Now().Sub(begun) < 2*applyBound {
						f.advance(10 * time.Millisecond)
					}
					took := f.clock.Now().Sub(begun)
					t.Logf("the last of %d daemons has the configuration after %s, %d calls to the store", size, took, f.store.Calls()-calls)
					if took > applyBound {
						t.Errorf("daemons %v have no new configuration %s after the store serves all again", f.behind(), took)
					}
					if most := int(applyBound.Seconds() * readsPerSecond); f.store.Calls()-calls > most {
						t.Errorf("%d calls to the store, want at most %d", f.store.Calls()-calls, most)
					}
				})
			})
		}
	}
}
