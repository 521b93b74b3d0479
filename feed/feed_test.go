package feed_test

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"quincewinch/feed"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/system"
)

const (
	servers    models.Partition = "servers"
	followWait                  = 1500 * time.Millisecond
)

// fakeStore is a store with one partition. It answers a call at the next write
// or at the end of the call's wait.
type fakeStore struct {
	mu               sync.Mutex
	rows             []models.Row // one per revision
	compactedThrough models.Revision
	down             bool
	calls            int
	written          chan struct{}
}

func newStore() *fakeStore {
	return &fakeStore{written: make(chan struct{})}
}

// write writes a row.
func (s *fakeStore) write(name string) {
	s.change(func() {
		revision := models.Revision(len(s.rows) + 1)
		s.rows = append(s.rows, models.Row{Key: models.RowKey{Partition: servers, Name: name}, Revision: revision})
	})
}

// fail makes the store refuse all calls, including waiting ones, until recover.
func (s *fakeStore) fail() { s.change(func() { s.down = true }) }

func (s *fakeStore) recover() { s.change(func() { s.down = false }) }

// compact drops the history up to the current revision.
func (s *fakeStore) compact() { s.change(func() { s.compactedThrough = models.Revision(len(s.rows)) }) }

func (s *fakeStore) change(apply func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	apply()
	close(s.written)
	s.written = make(chan struct{})
}

// Follow implements peer.ChangeSource.
func (s *fakeStore) Follow(ctx context.Context, _ models.Partition, after models.Revision, wait time.Duration) (models.Changes, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	waiting, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		through := models.Revision(len(s.rows))
		switch {
		case s.down:
			return models.Changes{}, false, peer.NewFailure(peer.OutcomeNotDone, "away", nil)
		case after < s.compactedThrough || after == 0:
			return models.Changes{Rows: append([]models.Row(nil), s.rows...), Through: through}, true, nil
		case through > after || waiting.Err() != nil:
			return models.Changes{Rows: append([]models.Row(nil), s.rows[after:]...), Through: through}, false, nil
		}
		written := s.written
		s.mu.Unlock()
		select {
		case <-written:
		case <-waiting.Done():
		}
		s.mu.Lock()
	}
}

func (s *fakeStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// follower is a daemon of the zone that follows the store.
type follower struct {
	address netip.AddrPort
	reader  *feed.Reader
	source  *feed.Source
	through models.Revision
	seen    map[string]bool
	failed  bool // the last call failed
}

// testZone is a set of daemons that follow the store, one of them as the reader
// for all.
type testZone struct {
	t           *testing.T
	is          *is.I
	store       *fakeStore
	followers   []*follower
	mu          sync.Mutex
	silent      map[netip.AddrPort]bool // daemons that receive calls and never answer
	readerIndex int                     // index of the reader in followers
	via         map[int]int             // daemons that follow through another one than the reader
}

func newZone(t *testing.T, size int) *testZone {
	z := &testZone{t: t, is: is.New(t), store: newStore(), silent: map[netip.AddrPort]bool{}}
	for i := range size {
		f := &follower{
			address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1),
			reader:  feed.NewReader(z.store),
			seen:    map[string]bool{},
		}
		f.source = feed.NewSource(f.reader, z, zoneView{z, i}, system.NewClock(), zap.NewNop())
		z.followers = append(z.followers, f)
	}
	return z
}

// start makes all daemons follow the store.
func (z *testZone) start() {
	for _, f := range z.followers {
		go z.follow(f)
	}
}

// follow is the loop of one daemon.
func (z *testZone) follow(f *follower) {
	clock := system.NewClock()
	for z.t.Context().Err() == nil {
		z.mu.Lock()
		through := f.through
		z.mu.Unlock()
		changes, _, err := f.source.Follow(z.t.Context(), servers, through, followWait)
		z.mu.Lock()
		f.failed = err != nil
		for _, row := range changes.Rows {
			f.seen[row.Key.Name] = true
		}
		f.through = max(f.through, changes.Through)
		z.mu.Unlock()
		// Sleep fails only when the test ends.
		_ = clock.Sleep(z.t.Context(), time.Millisecond)
	}
}

// Changes implements feed.Daemons.
func (z *testZone) Changes(ctx context.Context, from netip.AddrPort, partition models.Partition, after models.Revision, wait time.Duration) (models.Changes, error) {
	for _, f := range z.followers {
		if f.address == from {
			return queryReader(ctx, f.reader, func() bool { return z.isSilent(from) }, partition, after, wait)
		}
	}
	return models.Changes{}, peer.NewFailure(peer.OutcomeNotDone, "no daemon at this address", nil)
}

// queryReader queries the reader of another daemon, with a timeout of half a
// second beyond wait. A silent daemon does not answer.
func queryReader(ctx context.Context, reader *feed.Reader, silent func() bool, partition models.Partition, after models.Revision, wait time.Duration) (models.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+500*time.Millisecond)
	defer cancel()
	changes, err := reader.Changes(ctx, partition, after, wait)
	if silent() {
		<-ctx.Done()
		return models.Changes{}, errors.Trace(ctx.Err())
	}
	return changes, err
}

func (z *testZone) isSilent(address netip.AddrPort) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.silent[address]
}

// silence stops a daemon from answering.
func (z *testZone) silence(i int) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.silent[z.followers[i].address] = true
}

// advance advances virtual time.
func (z *testZone) advance(d time.Duration) {
	z.t.Helper()
	z.is.NoErr(system.NewClock().Sleep(z.t.Context(), d))
}

// expectKnown checks that all daemons, except those in but, know a row.
func (z *testZone) expectKnown(name string, but ...int) {
	z.t.Helper()
	z.mu.Lock()
	defer z.mu.Unlock()
	for i, f := range z.followers {
		if !f.seen[name] && !contains(but, i) {
			z.t.Errorf("daemon %d does not know %q", i, name)
		}
	}
}

func contains(list []int, i int) bool {
	for _, other := range list {
		if other == i {
			return true
		}
	}
	return false
}

// zoneView is one daemon's view of the zone. It implements feed.Zone.
type zoneView struct {
	zone *testZone
	self int
}

// Reader implements feed.Zone.
func (v zoneView) Reader() (netip.AddrPort, bool) {
	v.zone.mu.Lock()
	defer v.zone.mu.Unlock()
	reader, ok := v.zone.via[v.self]
	if !ok {
		reader = v.zone.readerIndex
	}
	return v.zone.followers[reader].address, reader != v.self
}

// HasFollowers implements feed.Zone.
func (v zoneView) HasFollowers() bool {
	v.zone.mu.Lock()
	defer v.zone.mu.Unlock()
	for _, reader := range v.zone.via {
		if reader == v.self {
			return true
		}
	}
	return v.zone.readerIndex == v.self
}

func TestFollowThroughReader(t *testing.T) {
	const (
		bound = 3 * time.Second // within which every daemon must know a change
		soon  = 100 * time.Millisecond
	)
	tests := []struct {
		name string
		run  func(z *testZone)
	}{
		{"change reaches all daemons at once", func(z *testZone) {
			z.store.write("b")
			z.advance(soon)
			z.expectKnown("b")
		}},
		{"calls to the store are those of one daemon", func(z *testZone) {
			before := z.store.callCount()
			z.advance(time.Minute)
			if calls := z.store.callCount() - before; calls > 90 {
				z.t.Errorf("%d calls to the store in one minute, want at most 90", calls)
			}
		}},
		{"no change is lost in a burst", func(z *testZone) {
			names := []string{"b", "c", "d", "e", "f"}
			for _, name := range names {
				z.store.write(name)
				z.advance(time.Millisecond)
			}
			z.advance(soon)
			for _, name := range names {
				z.expectKnown(name)
			}
		}},
		{"more changes than the history keeps", func(z *testZone) {
			for range 5000 {
				z.store.write("b")
			}
			z.store.write("c")
			z.advance(bound)
			z.expectKnown("c")
		}},
		{"reader stops answering", func(z *testZone) {
			z.silence(0)
			z.store.write("b")
			z.advance(bound)
			z.expectKnown("b")
		}},
		{"reader stops answering just after an answer", func(z *testZone) {
			z.advance(751 * time.Millisecond)
			z.silence(0)
			z.store.write("b")
			z.advance(bound)
			z.expectKnown("b")
		}},
		{"reader is replaced", func(z *testZone) {
			z.mu.Lock()
			z.readerIndex = 2
			z.mu.Unlock()
			z.store.write("b")
			z.advance(bound)
			z.expectKnown("b")
			z.advance(bound)
			z.store.write("c")
			z.advance(soon)
			z.expectKnown("c")
		}},
		{"all daemons notice an outage of the store", func(z *testZone) {
			z.store.fail()
			z.advance(soon)
			z.mu.Lock()
			for i, f := range z.followers {
				if !f.failed {
					z.t.Errorf("daemon %d does not notice the outage", i)
				}
			}
			z.mu.Unlock()
			z.store.write("b")
			z.store.recover()
			z.advance(soon)
			z.expectKnown("b")
		}},
		{"history of the store is compacted", func(z *testZone) {
			z.store.write("b")
			z.store.compact()
			z.advance(bound)
			z.store.write("c")
			z.advance(soon)
			z.expectKnown("b")
			z.expectKnown("c")
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z := newZone(t, 5)
				z.store.write("a")
				z.start()
				z.advance(bound)
				z.expectKnown("a")
				test.run(z)
			})
		})
	}
}

// failingStore is a store whose calls fail while failing is set.
type failingStore struct {
	*fakeStore
	mu      sync.Mutex
	failing bool
}

// Follow implements peer.ChangeSource.
func (c *failingStore) Follow(ctx context.Context, partition models.Partition, after models.Revision, wait time.Duration) (models.Changes, bool, error) {
	changes, all, err := c.fakeStore.Follow(ctx, partition, after, wait)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failing {
		return models.Changes{}, false, peer.NewFailure(peer.OutcomeUnknown, "cut off", nil)
	}
	return changes, all, err
}

func TestReader(t *testing.T) {
	follow := func(t *testing.T, r *feed.Reader, after models.Revision) {
		t.Helper()
		if _, _, err := r.Follow(t.Context(), servers, after, 0); err != nil {
			t.Fatal(err)
		}
	}
	t.Run("changes fail before the first read", func(t *testing.T) {
		_, err := feed.NewReader(newStore()).Changes(t.Context(), servers, 1, time.Second)
		is.New(t).Equal(peer.OutcomeOf(err), peer.OutcomeNotDone)
	})
	t.Run("changes fail if some are not kept", func(t *testing.T) {
		s := newStore()
		s.write("a")
		s.write("b")
		r := feed.NewReader(s)
		follow(t, r, 0)
		_, err := r.Changes(t.Context(), servers, 1, time.Second)
		is.New(t).Equal(peer.OutcomeOf(err), peer.OutcomeNotDone)
	})
	t.Run("a row that changed often is passed on once, as it is now", func(t *testing.T) {
		is := is.New(t)
		s := newStore()
		s.write("a")
		r := feed.NewReader(s)
		follow(t, r, 0)
		for i, name := range []string{"a", "b", "a", "a"} {
			s.write(name)
			follow(t, r, models.Revision(i+1))
		}
		changes, err := r.Changes(t.Context(), servers, 1, time.Second)
		is.NoErr(err)
		is.Equal(changes, models.Changes{Rows: []models.Row{s.rows[2], s.rows[4]}, Through: 5})
		changes, err = r.Changes(t.Context(), servers, 3, time.Second)
		is.NoErr(err)
		is.Equal(changes, models.Changes{Rows: []models.Row{s.rows[4]}, Through: 5})
	})
	t.Run("waiting calls fail at once when the store fails", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newStore()
			s.write("a")
			c := &failingStore{fakeStore: s}
			r := feed.NewReader(c)
			follow(t, r, 0)
			clock := system.NewClock()
			begun := clock.Now()
			failed := make(chan time.Duration, 1)
			go func() {
				if _, err := r.Changes(t.Context(), servers, 1, time.Hour); err != nil {
					failed <- clock.Now().Sub(begun)
				}
			}()
			is.NoErr(clock.Sleep(t.Context(), time.Second))
			c.mu.Lock()
			c.failing = true
			c.mu.Unlock()
			if _, _, err := r.Follow(t.Context(), servers, 1, 0); err == nil {
				t.Fatal("call to the failing store succeeded")
			}
			is.Equal(<-failed, time.Second)
		})
	})
	t.Run("changes fail after Close", func(t *testing.T) {
		s := newStore()
		s.write("a")
		r := feed.NewReader(s)
		follow(t, r, 0)
		r.Close(servers)
		_, err := r.Changes(t.Context(), servers, 1, time.Second)
		is.New(t).Equal(peer.OutcomeOf(err), peer.OutcomeNotDone)
	})
}
