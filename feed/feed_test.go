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

// fakeStore is a store with one partition. It answers a call at the next write, or
// when the call's wait is over.
type fakeStore struct {
	mu               sync.Mutex
	rows             []models.Row // one a revision
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

// fail makes the store refuse every call, also those that wait, until mend.
func (s *fakeStore) fail() { s.change(func() { s.down = true }) }

func (s *fakeStore) recover() { s.change(func() { s.down = false }) }

// compact drops the history up to now.
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

// follower is a daemon that follows the store.
type follower struct {
	address netip.AddrPort
	reader  *feed.Reader
	source  *feed.Source
	through models.Revision
	seen    map[string]bool
	failed  bool // the last call
}

// testZone is daemons that follow the store, the first of which that is up reads
// it for all.
type testZone struct {
	t           *testing.T
	is          *is.I
	store       *fakeStore
	followers   []*follower
	mu          sync.Mutex
	silent      map[netip.AddrPort]bool // gets calls and never answers
	readerIndex int                     // the reader
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

// start lets all daemons follow the store from now on.
func (z *testZone) start() {
	for _, f := range z.followers {
		go z.follow(f)
	}
}

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
		// Ends early only with the test.
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
	return models.Changes{}, peer.NewFailure(peer.OutcomeNotDone, "nobody listens", nil)
}

// queryReader asks another daemon's reader, and waits half a second longer than that
// may wait. Of one that is silent there is no answer.
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

// silence keeps the answers of a daemon back.
func (z *testZone) silence(i int) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.silent[z.followers[i].address] = true
}

// advance lets virtual time pass.
func (z *testZone) advance(d time.Duration) {
	z.t.Helper()
	z.is.NoErr(system.NewClock().Sleep(z.t.Context(), d))
}

// expectKnown checks that all daemons but some know of a row.
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
func (m zoneView) Reader() (netip.AddrPort, bool) {
	m.zone.mu.Lock()
	defer m.zone.mu.Unlock()
	return m.zone.followers[m.zone.readerIndex].address, m.zone.readerIndex != m.self
}

// HasFollowers implements feed.Zone.
func (m zoneView) HasFollowers() bool {
	_, other := m.Reader()
	return !other
}

func TestFollowThroughReader(t *testing.T) {
	const (
		bound = 3 * time.Second // in which a change has to be known
		soon  = 100 * time.Millisecond
	)
	tests := []struct {
		name string
		play func(z *testZone)
	}{
		{"a change reaches all at once", func(z *testZone) {
			z.store.write("b")
			z.advance(soon)
			z.expectKnown("b")
		}},
		{"the calls of the store are those of one", func(z *testZone) {
			before := z.store.callCount()
			z.advance(time.Minute)
			if calls := z.store.callCount() - before; calls > 90 {
				z.t.Errorf("%d calls in a minute", calls)
			}
		}},
		{"no change is lost over many", func(z *testZone) {
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
		{"more changes than are kept", func(z *testZone) {
			for range 5000 {
				z.store.write("b")
			}
			z.store.write("c")
			z.advance(bound)
			z.expectKnown("c")
		}},
		{"the reader falls silent", func(z *testZone) {
			z.silence(0)
			z.store.write("b")
			z.advance(bound)
			z.expectKnown("b")
		}},
		{"the reader falls silent just after an answer", func(z *testZone) {
			z.advance(751 * time.Millisecond)
			z.silence(0)
			z.store.write("b")
			z.advance(bound)
			z.expectKnown("b")
		}},
		{"another reader", func(z *testZone) {
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
		{"an outage of the store is known to all", func(z *testZone) {
			z.store.fail()
			z.advance(soon)
			z.mu.Lock()
			for i, f := range z.followers {
				if !f.failed {
					z.t.Errorf("daemon %d does not know", i)
				}
			}
			z.mu.Unlock()
			z.store.write("b")
			z.store.recover()
			z.advance(soon)
			z.expectKnown("b")
		}},
		{"a dropped history", func(z *testZone) {
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
				test.play(z)
			})
		})
	}
}

// failingStore answers the calls of a store with failures while it is set.
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
	t.Run("it passes nothing on before it has read", func(t *testing.T) {
		_, err := feed.NewReader(newStore()).Changes(t.Context(), servers, 1, time.Second)
		is.New(t).Equal(peer.OutcomeOf(err), peer.OutcomeNotDone)
	})
	t.Run("nor what it does not know whole", func(t *testing.T) {
		s := newStore()
		s.write("a")
		s.write("b")
		r := feed.NewReader(s)
		follow(t, r, 0)
		_, err := r.Changes(t.Context(), servers, 1, time.Second)
		is.New(t).Equal(peer.OutcomeOf(err), peer.OutcomeNotDone)
	})
	t.Run("those that wait learn at once that it lost the store", func(t *testing.T) {
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
				t.Fatal("not cut off")
			}
			is.Equal(<-failed, time.Second)
		})
	})
	t.Run("and that it left the store to another", func(t *testing.T) {
		s := newStore()
		s.write("a")
		r := feed.NewReader(s)
		follow(t, r, 0)
		r.Close(servers)
		_, err := r.Changes(t.Context(), servers, 1, time.Second)
		is.New(t).Equal(peer.OutcomeOf(err), peer.OutcomeNotDone)
	})
}
