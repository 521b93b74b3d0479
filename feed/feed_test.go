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
	servers models.Partition = "servers"
	watch                    = 1500 * time.Millisecond
)

// store is a store with one partition. It answers a call at the next write, or
// when the call's wait is over.
type store struct {
	mu      sync.Mutex
	rows    []models.Row // one a revision
	forgot  models.Revision
	down    bool
	calls   int
	written chan struct{}
}

func newStore() *store {
	return &store{written: make(chan struct{})}
}

// write writes a row.
func (s *store) write(name string) {
	s.change(func() {
		revision := models.Revision(len(s.rows) + 1)
		s.rows = append(s.rows, models.Row{Key: models.RowKey{Partition: servers, Name: name}, Revision: revision})
	})
}

// fail makes the store refuse every call, also those that wait, until mend.
func (s *store) fail() { s.change(func() { s.down = true }) }

func (s *store) mend() { s.change(func() { s.down = false }) }

// forget drops the history up to now.
func (s *store) forget() { s.change(func() { s.forgot = models.Revision(len(s.rows)) }) }

func (s *store) change(apply func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	apply()
	close(s.written)
	s.written = make(chan struct{})
}

// Follow implements peer.ChangeSource.
func (s *store) Follow(ctx context.Context, _ models.Partition, after models.Revision, wait time.Duration) (models.Changes, bool, error) {
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
		case after < s.forgot || after == 0:
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

func (s *store) called() int {
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

// zone is daemons that follow the store, the first of which that is up reads
// it for all.
type zone struct {
	t         *testing.T
	is        *is.I
	store     *store
	followers []*follower
	mu        sync.Mutex
	silent    map[netip.AddrPort]bool // gets calls and never answers
	first     int                     // the reader
}

func newZone(t *testing.T, size int) *zone {
	z := &zone{t: t, is: is.New(t), store: newStore(), silent: map[netip.AddrPort]bool{}}
	for i := range size {
		f := &follower{
			address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1),
			reader:  feed.NewReader(z.store),
			seen:    map[string]bool{},
		}
		f.source = feed.NewSource(f.reader, z, member{z, i}, system.NewClock(), zap.NewNop())
		z.followers = append(z.followers, f)
	}
	return z
}

// start lets all daemons follow the store from now on.
func (z *zone) start() {
	for _, f := range z.followers {
		go z.follow(f)
	}
}

func (z *zone) follow(f *follower) {
	clock := system.NewClock()
	for z.t.Context().Err() == nil {
		z.mu.Lock()
		through := f.through
		z.mu.Unlock()
		changes, _, err := f.source.Follow(z.t.Context(), servers, through, watch)
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
func (z *zone) Changes(ctx context.Context, from netip.AddrPort, partition models.Partition, after models.Revision, wait time.Duration) (models.Changes, error) {
	for _, f := range z.followers {
		if f.address == from {
			return ask(ctx, f.reader, func() bool { return z.isSilent(from) }, partition, after, wait)
		}
	}
	return models.Changes{}, peer.NewFailure(peer.OutcomeNotDone, "nobody listens", nil)
}

// ask asks another daemon's reader, and waits half a second longer than that
// may wait. Of one that is silent there is no answer.
func ask(ctx context.Context, reader *feed.Reader, silent func() bool, partition models.Partition, after models.Revision, wait time.Duration) (models.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+500*time.Millisecond)
	defer cancel()
	changes, err := reader.Changes(ctx, partition, after, wait)
	if silent() {
		<-ctx.Done()
		return models.Changes{}, errors.Trace(ctx.Err())
	}
	return changes, err
}

func (z *zone) isSilent(address netip.AddrPort) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.silent[address]
}

// silence keeps the answers of a daemon back.
func (z *zone) silence(i int) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.silent[z.followers[i].address] = true
}

// pass lets virtual time pass.
func (z *zone) pass(d time.Duration) {
	z.t.Helper()
	z.is.NoErr(system.NewClock().Sleep(z.t.Context(), d))
}

// know checks that all daemons but some know of a row.
func (z *zone) know(name string, but ...int) {
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

// member is one daemon's view of the zone. It implements feed.Zone.
type member struct {
	zone *zone
	self int
}

// Reader implements feed.Zone.
func (m member) Reader() (netip.AddrPort, bool) {
	m.zone.mu.Lock()
	defer m.zone.mu.Unlock()
	return m.zone.followers[m.zone.first].address, m.zone.first != m.self
}

// Shared implements feed.Zone.
func (m member) Shared() bool {
	_, other := m.Reader()
	return !other
}

func TestFollowingThroughTheReader(t *testing.T) {
	const (
		bound = 3 * time.Second // in which a change has to be known
		soon  = 100 * time.Millisecond
	)
	tests := []struct {
		name string
		play func(z *zone)
	}{
		{"a change reaches all at once", func(z *zone) {
			z.store.write("b")
			z.pass(soon)
			z.know("b")
		}},
		{"the calls of the store are those of one", func(z *zone) {
			before := z.store.called()
			z.pass(time.Minute)
			if calls := z.store.called() - before; calls > 90 {
				z.t.Errorf("%d calls in a minute", calls)
			}
		}},
		{"no change is lost over many", func(z *zone) {
			names := []string{"b", "c", "d", "e", "f"}
			for _, name := range names {
				z.store.write(name)
				z.pass(time.Millisecond)
			}
			z.pass(soon)
			for _, name := range names {
				z.know(name)
			}
		}},
		{"more changes than are kept", func(z *zone) {
			for range 5000 {
				z.store.write("b")
			}
			z.store.write("c")
			z.pass(bound)
			z.know("c")
		}},
		{"the reader falls silent", func(z *zone) {
			z.silence(0)
			z.store.write("b")
			z.pass(bound)
			z.know("b")
		}},
		{"the reader falls silent just after an answer", func(z *zone) {
			z.pass(751 * time.Millisecond)
			z.silence(0)
			z.store.write("b")
			z.pass(bound)
			z.know("b")
		}},
		{"another reader", func(z *zone) {
			z.mu.Lock()
			z.first = 2
			z.mu.Unlock()
			z.store.write("b")
			z.pass(bound)
			z.know("b")
			z.pass(bound)
			z.store.write("c")
			z.pass(soon)
			z.know("c")
		}},
		{"an outage of the store is known to all", func(z *zone) {
			z.store.fail()
			z.pass(soon)
			z.mu.Lock()
			for i, f := range z.followers {
				if !f.failed {
					z.t.Errorf("daemon %d does not know", i)
				}
			}
			z.mu.Unlock()
			z.store.write("b")
			z.store.mend()
			z.pass(soon)
			z.know("b")
		}},
		{"a dropped history", func(z *zone) {
			z.store.write("b")
			z.store.forget()
			z.pass(bound)
			z.store.write("c")
			z.pass(soon)
			z.know("b")
			z.know("c")
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z := newZone(t, 5)
				z.store.write("a")
				z.start()
				z.pass(bound)
				z.know("a")
				test.play(z)
			})
		})
	}
}

// cut answers the calls of a store with failures while it is set.
type cut struct {
	*store
	mu  sync.Mutex
	set bool
}

// Follow implements peer.ChangeSource.
func (c *cut) Follow(ctx context.Context, partition models.Partition, after models.Revision, wait time.Duration) (models.Changes, bool, error) {
	changes, all, err := c.store.Follow(ctx, partition, after, wait)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.set {
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
			c := &cut{store: s}
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
			c.set = true
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
