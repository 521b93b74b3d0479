package request_test

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/system"
	"quincewinch/request"
	"quincewinch/standin/platform"
)

// noop is a time line that drops all events and a source of no reports.
type noop struct{}

func (noop) Record(models.Event) {}

func (noop) Reports() []models.PeerReport { return nil }

// peerCount is a source of empty reports of that many other daemons.
type peerCount int

func (n peerCount) Reports() []models.PeerReport { return make([]models.PeerReport, n) }

// answerSink records the answer that a caller received.
type answerSink struct {
	mu           sync.Mutex
	pieces       []models.Piece
	answer       *models.ServiceResponse
	disconnected bool
	blocked      bool // accepts no piece until the context ends
}

func (s *answerSink) Piece(ctx context.Context, piece models.Piece) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.blocked {
		<-ctx.Done()
		return ctx.Err()
	}
	if s.disconnected {
		return errors.New("connection reset")
	}
	s.pieces = append(s.pieces, piece)
	return nil
}

func (s *answerSink) Answer(_ context.Context, answer models.ServiceResponse) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.disconnected {
		return errors.New("connection reset")
	}
	s.answer = &answer
	return nil
}

// text returns the answer's text, and whether it was complete and in order.
func (s *answerSink) text() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answer != nil {
		return string(s.answer.Body), true
	}
	var text strings.Builder
	for i, piece := range s.pieces {
		text.WriteString(piece.Text)
		if piece.Index != i || piece.Done != (i == len(s.pieces)-1) {
			return text.String(), false
		}
	}
	return text.String(), len(s.pieces) > 0
}

// bookingBackend is a backend that records each call and answers it after
// latency.
type bookingBackend struct {
	mu      sync.Mutex
	latency time.Duration
	refusal *models.Refusal
	padding int
	calls   []models.RequestID
}

func (b *bookingBackend) Handle(ctx context.Context, e *request.Exchange) error {
	b.mu.Lock()
	refusal := b.refusal
	if refusal == nil || !refusal.NotRun {
		b.calls = append(b.calls, e.ID)
	}
	b.mu.Unlock()
	if err := system.NewClock().Sleep(ctx, b.latency); err != nil {
		return &models.Refusal{Code: models.RefusalOutcomeUnknown}
	}
	if refusal != nil {
		return refusal
	}
	body := append([]byte("booked for "+string(e.ID)), make([]byte, b.padding)...)
	return e.Sink.Answer(ctx, models.ServiceResponse{Status: 201, Body: body})
}

func (b *bookingBackend) callCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.calls)
}

// storeLink is one daemon's connection to the store.
type storeLink struct {
	*platform.Store
	unreachable atomic.Bool
	hidesEra    atomic.Bool   // the daemon has seen no answer of a later era
	seen        atomic.Uint64 // latest era that the daemon has seen
	committed   func()        // called before the answer to a transaction, if set
}

func (l *storeLink) Era() uint64 {
	if l.unreachable.Load() || l.hidesEra.Load() {
		return l.seen.Load()
	}
	l.seen.Store(l.Store.Era())
	return l.seen.Load()
}

func (l *storeLink) Transact(ctx context.Context, transaction models.Transaction) (models.Revision, error) {
	if l.unreachable.Load() {
		return 0, peer.NewFailure(peer.OutcomeNotDone, "cut off", nil)
	}
	revision, err := l.Store.Transact(ctx, transaction)
	if l.committed != nil {
		l.committed()
	}
	return revision, err
}

func (l *storeLink) Read(ctx context.Context, keys ...models.RowKey) ([]models.Row, error) {
	if l.unreachable.Load() {
		return nil, peer.NewFailure(peer.OutcomeNotDone, "cut off", nil)
	}
	return l.Store.Read(ctx, keys...)
}

// claimFixture is a number of daemons that share one store and one backend.
type claimFixture struct {
	store    *platform.Store
	backend  *bookingBackend
	handlers []request.Handler
	claims   []*request.Claims
	links    []*storeLink
}

func newClaimFixture(daemons int) *claimFixture {
	clock := system.NewClock()
	c := &claimFixture{store: platform.NewStore(clock), backend: &bookingBackend{}}
	for i := range daemons {
		id := models.DaemonID(string(rune('a' + i)))
		link := &storeLink{Store: c.store}
		claims := request.NewClaims(link, c.store, clock, noop{}, id, time.Second, peerCount(daemons-1))
		c.links = append(c.links, link)
		c.claims = append(c.claims, claims)
		c.handlers = append(c.handlers, request.Chain(c.backend, claims.Filter()))
	}
	return c
}

// book sends a reservation to a daemon and returns the answer or the refusal.
func (c *claimFixture) book(ctx context.Context, daemon int, id, key, body string) (string, *models.Refusal) {
	now := system.NewClock().Now()
	sink := &answerSink{}
	e := &request.Exchange{
		ID:             models.RequestID(id),
		Received:       now,
		Deadline:       now.Add(30 * time.Second),
		RouteName:      "reservations",
		Route:          models.Route{Name: "reservations", Kind: models.RouteService},
		Workspace:      models.WorkspaceSettings{Name: "sales"},
		IdempotencyKey: key,
		BodyHash:       [32]byte([]byte(body + strings.Repeat(".", 32))[:32]),
		Call:           &models.ServiceCall{Method: "POST", Path: "/"},
		Sink:           sink,
	}
	ctx, cancel := context.WithDeadline(ctx, e.Deadline)
	defer cancel()
	err := c.handlers[daemon].Handle(ctx, e)
	var refusal *models.Refusal
	if errors.As(err, &refusal) {
		return "", refusal
	}
	text, _ := sink.text()
	return text, nil
}

// bubble runs a test in a synctest bubble, then sleeps for an hour of virtual
// time so that background work of the test ends.
func bubble(t *testing.T, test func(t *testing.T, is *is.I)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		test(t, is.New(t))
		_ = system.NewClock().Sleep(t.Context(), time.Hour)
	})
}

func TestClaims(t *testing.T) {
	t.Run("concurrent and later retries get the first answer", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			c := newClaimFixture(2)
			c.backend.latency = time.Second
			answers := make([]string, 6)
			var group sync.WaitGroup
			for i := range answers {
				group.Go(func() {
					answers[i], _ = c.book(t.Context(), i%2, "r"+string(rune('0'+i)), "k", "flitch 7")
				})
			}
			group.Wait()
			is.Equal(c.backend.callCount(), 1)                // the request ran once
			is.Equal(len(slices.Compact(answers)), 1)         // all callers got the same answer
			is.True(strings.HasPrefix(answers[0], "booked ")) // the backend's answer
			later, refusal := c.book(t.Context(), 1, "r9", "k", "flitch 7")
			is.Equal(refusal, nil)
			is.Equal(later, answers[0]) // also after the first attempt has ended
		})
	})
	t.Run("a different body under the same key is refused", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			c := newClaimFixture(2)
			_, refusal := c.book(t.Context(), 0, "r1", "k", "flitch 7")
			is.Equal(refusal, nil)
			_, refusal = c.book(t.Context(), 1, "r2", "k", "flitch 8")
			is.Equal(refusal.Code, models.RefusalClaimMismatch)
			is.True(refusal.NotRun)
			is.Equal(c.backend.callCount(), 1)
		})
	})
	t.Run("a conflicting claim does not fail the other claims of its batch", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			c := newClaimFixture(2)
			_, refusal := c.book(t.Context(), 0, "r0", "k0", "x")
			is.Equal(refusal, nil)
			synctest.Wait()
			before := c.store.Counts().Writes
			c.store.SetFaults(platform.Faults{Delay: 5 * time.Millisecond})
			var group sync.WaitGroup
			for i := range 40 {
				group.Go(func() {
					name := string(rune('0' + i))
					_, refusal := c.book(t.Context(), 1, "s"+name, "k"+name, "x")
					is.Equal(refusal, nil) // every request is answered
				})
			}
			group.Wait()
			is.NoErr(c.claims[1].Flush(t.Context()))
			is.Equal(c.backend.callCount(), 40)          // the first request and 39 new ones
			is.True(c.store.Counts().Writes-before < 10) // writes are grouped into transactions
		})
	})
	t.Run("a refusal with NotRun releases the claim", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			c := newClaimFixture(2)
			c.backend.refusal = &models.Refusal{Code: models.RefusalNoBackend, NotRun: true}
			_, refusal := c.book(t.Context(), 0, "r1", "k", "x")
			is.True(refusal.NotRun)
			c.backend.refusal = nil
			text, refusal := c.book(t.Context(), 1, "r2", "k", "x")
			is.Equal(refusal, nil)
			is.Equal(text, "booked for r2")
		})
	})
	t.Run("a request with an unknown outcome is not run again", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			c := newClaimFixture(2)
			c.backend.refusal = &models.Refusal{Code: models.RefusalOutcomeUnknown, Message: "answer lost"}
			_, refusal := c.book(t.Context(), 0, "r1", "k", "x")
			is.True(!refusal.NotRun)
			c.backend.refusal = nil
			_, refusal = c.book(t.Context(), 1, "r2", "k", "x")
			is.Equal(refusal.Code, models.RefusalOutcomeUnknown)
			is.True(strings.Contains(refusal.Evidence, "answer lost")) // the evidence of the first attempt is passed on
			is.Equal(c.backend.callCount(), 1)
		})
	})
	t.Run("a caller who disconnects gets the answer on a retry", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			c := newClaimFixture(2)
			c.backend.latency = time.Second
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			_, _ = c.book(ctx, 0, "r1", "k", "x")
			text, refusal := c.book(t.Context(), 1, "r2", "k", "x")
			is.Equal(refusal, nil)
			is.Equal(text, "booked for r1")
		})
	})
	t.Run("large answers are stored in the object store, oversized ones are dropped", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			c := newClaimFixture(2)
			c.backend.padding = 100 << 10
			first, _ := c.book(t.Context(), 0, "r1", "k1", "x")
			is.NoErr(c.claims[0].Flush(t.Context()))
			again, refusal := c.book(t.Context(), 1, "r2", "k1", "x")
			is.Equal(refusal, nil)
			is.Equal(len(again), len(first))
			c.backend.padding = 2 << 20
			_, _ = c.book(t.Context(), 0, "r3", "k2", "x")
			_, refusal = c.book(t.Context(), 1, "r4", "k2", "x")
			is.Equal(refusal.Code, models.RefusalAnswerNotKept)
			is.Equal(c.backend.callCount(), 2)
		})
	})
}

func TestClaimsWithoutStore(t *testing.T) {
	t.Run("requests are refused while the store is down", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			c := newClaimFixture(1)
			c.store.SetFaults(platform.Faults{Down: true})
			begin := system.NewClock().Now()
			_, refusal := c.book(t.Context(), 0, "r1", "", "x")
			is.Equal(refusal.Code, models.RefusalStoreUnreachable)
			is.True(refusal.NotRun)
			is.True(refusal.RetryAfter > 0)
			is.True(system.NewClock().Now().Sub(begin) < time.Second) // without waiting for a timeout
			is.Equal(c.backend.callCount(), 0)
		})
	})
	t.Run("a claim whose write was not acknowledged is confirmed by a read", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			c := newClaimFixture(2)
			c.store.SetFaults(platform.Faults{LoseAnswer: func(models.Transaction) bool { return true }})
			text, refusal := c.book(t.Context(), 0, "r1", "k", "x")
			is.Equal(refusal, nil)
			again, refusal := c.book(t.Context(), 1, "r2", "k", "x")
			is.Equal(refusal, nil)
			is.Equal(again, text)
			is.Equal(c.backend.callCount(), 1)
		})
	})
	t.Run("an unconfirmed claim is not run, and is released once the store is back", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			c := newClaimFixture(2)
			c.store.SetFaults(platform.Faults{LoseAnswer: func(models.Transaction) bool {
				c.links[0].unreachable.Store(true)
				return true
			}})
			_, refusal := c.book(t.Context(), 0, "r1", "k", "x")
			is.Equal(refusal.Code, models.RefusalStoreUnreachable)
			is.True(!refusal.NotRun) // an earlier attempt with this key may have run
			is.True(refusal.RetryAfter > 0)
			is.Equal(c.backend.callCount(), 0)
			c.store.SetFaults(platform.Faults{})
			c.links[0].unreachable.Store(false)
			text, refusal := c.book(t.Context(), 1, "r2", "k", "x")
			is.Equal(refusal, nil)
			is.Equal(text, "booked for r2")
			is.Equal(c.backend.callCount(), 1)
		})
	})
	t.Run("the outcome is stored after an outage", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			c := newClaimFixture(2)
			c.backend.latency = time.Second
			go func() {
				_ = system.NewClock().Sleep(context.Background(), 500*time.Millisecond)
				c.store.SetFaults(platform.Faults{Down: true})
			}()
			first, refusal := c.book(t.Context(), 0, "r1", "k", "x")
			is.Equal(refusal, nil)
			_ = system.NewClock().Sleep(t.Context(), time.Minute)
			c.store.SetFaults(platform.Faults{})
			_ = system.NewClock().Sleep(t.Context(), 2*time.Second)
			again, refusal := c.book(t.Context(), 1, "r2", "k", "x")
			is.Equal(refusal, nil)
			is.Equal(again, first)
		})
	})
}

// TestCommitRate checks that the claims of 350 requests a second, spread over
// seven daemons for 10 s, are batched into at most 300 writes a second.
func TestCommitRate(t *testing.T) {
	const rate, duration = 350, 10 // requests per second; seconds
	bubble(t, func(t *testing.T, is *is.I) {
		c := newClaimFixture(7)
		c.store.SetFaults(platform.Faults{Delay: 3 * time.Millisecond})
		var group sync.WaitGroup
		for i := range rate * duration {
			group.Go(func() {
				_ = system.NewClock().Sleep(t.Context(), time.Duration(i)*time.Second/rate)
				_, refusal := c.book(t.Context(), i%7, "r"+strconv.Itoa(i), "", "x")
				is.Equal(refusal, nil)
			})
		}
		group.Wait()
		writes := float64(c.store.Counts().Writes) / duration
		t.Logf("%d claims/s took %.0f writes/s", rate, writes)
		is.True(writes <= 300) // the platform takes several hundred writes a second
		is.Equal(c.backend.callCount(), rate*duration)
	})
}

// TestClaimOfDeadHolder checks that a claimed request is not run by another
// daemon when its holder loses contact with the store while the request runs.
// The store's answer to the claim was lost as well.
func TestClaimOfDeadHolder(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I) {
		c := newClaimFixture(2)
		c.backend.latency = time.Hour // past the deadline: the call never completes
		c.store.SetFaults(platform.Faults{LoseAnswer: func(models.Transaction) bool { return true }})
		dead := make(chan struct{})
		go func() {
			_, _ = c.book(context.Background(), 0, "r1", "k", "x")
			close(dead)
		}()
		_ = system.NewClock().Sleep(t.Context(), time.Second)
		c.links[0].unreachable.Store(true)
		_, refusal := c.book(t.Context(), 1, "r2", "k", "x")
		is.Equal(refusal.Code, models.RefusalOutcomeUnknown)
		is.True(!refusal.NotRun)
		_ = system.NewClock().Sleep(t.Context(), time.Minute)
		begin := system.NewClock().Now()
		_, refusal = c.book(t.Context(), 1, "r3", "k", "x")
		is.Equal(refusal.Code, models.RefusalOutcomeUnknown)
		is.True(strings.Contains(refusal.Evidence, "daemon a claimed it"))
		is.True(system.NewClock().Now().Sub(begin) < time.Second) // answered without polling the claim
		is.Equal(c.backend.callCount(), 1)
		<-dead
	})
}

func TestExpiredClaimsAreDeleted(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I) {
		c := newClaimFixture(1)
		for i := range 150 {
			_, refusal := c.book(t.Context(), 0, "r", "k"+string(rune('0'+i)), "x")
			is.Equal(refusal, nil)
		}
		is.NoErr(c.claims[0].Flush(t.Context()))
		cleaner := request.NewClaimCleaner(c.store, c.store, system.NewClock())
		live := func() int {
			changes, err := c.store.Changes(t.Context(), models.PartitionClaims, 0)
			is.NoErr(err)
			return len(slices.DeleteFunc(changes.Rows, func(row models.Row) bool { return row.Deleted }))
		}
		cleaner.Step(t.Context())
		is.Equal(live(), 150) // none has expired
		_ = system.NewClock().Sleep(t.Context(), 25*time.Hour)
		cleaner.Step(t.Context())
		is.Equal(live(), 50) // one batch of 100 deleted
		cleaner.Step(t.Context())
		is.Equal(live(), 0)
	})
}
