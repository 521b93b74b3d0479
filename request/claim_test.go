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

// quiet is a time line that keeps nothing, and daemons that report nothing.
type quiet struct{}

func (quiet) Record(models.Event) {}

func (quiet) Reports() []models.PeerReport { return nil }

// sharers is the reports of so many other daemons.
type sharers int

func (s sharers) Reports() []models.PeerReport { return make([]models.PeerReport, s) }

// answerSink keeps what a caller got.
type answerSink struct {
	mu     sync.Mutex
	pieces []models.Piece
	answer *models.ServiceResponse
	gone   bool
	slow   bool // takes nothing until its time is up
}

func (s *answerSink) Piece(ctx context.Context, piece models.Piece) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slow {
		<-ctx.Done()
		return ctx.Err()
	}
	if s.gone {
		return errors.New("connection reset")
	}
	s.pieces = append(s.pieces, piece)
	return nil
}

func (s *answerSink) Answer(_ context.Context, answer models.ServiceResponse) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone {
		return errors.New("connection reset")
	}
	s.answer = &answer
	return nil
}

// text returns the answer's text, and whether it was whole and in order.
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

// ledger is a backend that books each call once it has taken its time.
type ledger struct {
	mu    sync.Mutex
	takes time.Duration
	fail  *models.Refusal
	size  int
	calls []models.RequestID
}

func (l *ledger) Handle(ctx context.Context, e *request.Exchange) error {
	l.mu.Lock()
	fail := l.fail
	if fail == nil || !fail.NotRun {
		l.calls = append(l.calls, e.ID)
	}
	l.mu.Unlock()
	if err := system.NewClock().Sleep(ctx, l.takes); err != nil {
		return &models.Refusal{Code: models.RefusalOutcomeUnknown}
	}
	if fail != nil {
		return fail
	}
	body := append([]byte("booked for "+string(e.ID)), make([]byte, l.size)...)
	return e.Sink.Answer(ctx, models.ServiceResponse{Status: 201, Body: body})
}

func (l *ledger) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.calls)
}

// link is one daemon's way to the store.
type link struct {
	*platform.Store
	cut atomic.Bool
}

func (l *link) Transact(ctx context.Context, transaction models.Transaction) (models.Revision, error) {
	if l.cut.Load() {
		return 0, peer.NewFailure(peer.OutcomeNotDone, "cut off", nil)
	}
	return l.Store.Transact(ctx, transaction)
}

func (l *link) Read(ctx context.Context, keys ...models.RowKey) ([]models.Row, error) {
	if l.cut.Load() {
		return nil, peer.NewFailure(peer.OutcomeNotDone, "cut off", nil)
	}
	return l.Store.Read(ctx, keys...)
}

// claims is some daemons before one store and one ledger.
type claims struct {
	store  *platform.Store
	ledger *ledger
	lines  []request.Handler
	parts  []*request.Claims
	links  []*link
}

func newClaims(daemons int) *claims {
	clock := system.NewClock()
	c := &claims{store: platform.NewStore(clock), ledger: &ledger{}}
	for i := range daemons {
		id := models.DaemonID(string(rune('a' + i)))
		way := &link{Store: c.store}
		part := request.NewClaims(way, c.store, clock, quiet{}, id, time.Second, sharers(daemons-1))
		c.links = append(c.links, way)
		c.parts = append(c.parts, part)
		c.lines = append(c.lines, request.Chain(c.ledger, part.Filter()))
	}
	return c
}

// book sends a reservation to a daemon.
func (c *claims) book(ctx context.Context, daemon int, id, key, body string) (string, *models.Refusal) {
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
	err := c.lines[daemon].Handle(ctx, e)
	var refusal *models.Refusal
	if errors.As(err, &refusal) {
		return "", refusal
	}
	text, _ := sink.text()
	return text, nil
}

// bubble runs a test with virtual time and waits for what it left running.
func bubble(t *testing.T, test func(t *testing.T, is *is.I)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		test(t, is.New(t))
		_ = system.NewClock().Sleep(t.Context(), time.Hour)
	})
}

func TestClaims(t *testing.T) {
	t.Run("a second arrival gets the first answer", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			c := newClaims(2)
			c.ledger.takes = time.Second
			answers := make([]string, 6)
			var group sync.WaitGroup
			for i := range answers {
				group.Go(func() {
					answers[i], _ = c.book(t.Context(), i%2, "r"+string(rune('0'+i)), "k", "flitch 7")
				})
			}
			group.Wait()
			is.Equal(c.ledger.count(), 1)                     // ran once
			is.Equal(len(slices.Compact(answers)), 1)         // one answer
			is.True(strings.HasPrefix(answers[0], "booked ")) // the ledger's
			later, refusal := c.book(t.Context(), 1, "r9", "k", "flitch 7")
			is.Equal(refusal, nil)
			is.Equal(later, answers[0]) // and later still
		})
	})
	t.Run("another body is a mismatch", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			c := newClaims(2)
			_, refusal := c.book(t.Context(), 0, "r1", "k", "flitch 7")
			is.Equal(refusal, nil)
			_, refusal = c.book(t.Context(), 1, "r2", "k", "flitch 8")
			is.Equal(refusal.Code, models.RefusalClaimMismatch)
			is.True(refusal.NotRun)
			is.Equal(c.ledger.count(), 1)
		})
	})
	t.Run("a conflicting claim does not fail the others of its batch", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			c := newClaims(2)
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
					is.Equal(refusal, nil) // answered
				})
			}
			group.Wait()
			is.NoErr(c.parts[1].Flush(t.Context()))
			is.Equal(c.ledger.count(), 40)               // the first and 39 new ones
			is.True(c.store.Counts().Writes-before < 10) // grouped
		})
	})
	t.Run("a refusal that says not run frees the claim", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			c := newClaims(2)
			c.ledger.fail = &models.Refusal{Code: models.RefusalNoBackend, NotRun: true}
			_, refusal := c.book(t.Context(), 0, "r1", "k", "x")
			is.True(refusal.NotRun)
			c.ledger.fail = nil
			text, refusal := c.book(t.Context(), 1, "r2", "k", "x")
			is.Equal(refusal, nil)
			is.Equal(text, "booked for r2")
		})
	})
	t.Run("an unknown outcome stays unknown", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			c := newClaims(2)
			c.ledger.fail = &models.Refusal{Code: models.RefusalOutcomeUnknown, Message: "answer lost"}
			_, refusal := c.book(t.Context(), 0, "r1", "k", "x")
			is.True(!refusal.NotRun)
			c.ledger.fail = nil
			_, refusal = c.book(t.Context(), 1, "r2", "k", "x")
			is.Equal(refusal.Code, models.RefusalOutcomeUnknown)
			is.True(strings.Contains(refusal.Evidence, "answer lost")) // what is known
			is.Equal(c.ledger.count(), 1)
		})
	})
	t.Run("a caller who leaves can come back for the answer", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			c := newClaims(2)
			c.ledger.takes = time.Second
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			_, _ = c.book(ctx, 0, "r1", "k", "x")
			text, refusal := c.book(t.Context(), 1, "r2", "k", "x")
			is.Equal(refusal, nil)
			is.Equal(text, "booked for r1")
		})
	})
	t.Run("large answers are kept in the object store, the largest not", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			c := newClaims(2)
			c.ledger.size = 100 << 10
			first, _ := c.book(t.Context(), 0, "r1", "k1", "x")
			is.NoErr(c.parts[0].Flush(t.Context()))
			again, refusal := c.book(t.Context(), 1, "r2", "k1", "x")
			is.Equal(refusal, nil)
			is.Equal(len(again), len(first))
			c.ledger.size = 2 << 20
			_, _ = c.book(t.Context(), 0, "r3", "k2", "x")
			_, refusal = c.book(t.Context(), 1, "r4", "k2", "x")
			is.Equal(refusal.Code, models.RefusalAnswerNotKept)
			is.Equal(c.ledger.count(), 2)
		})
	})
}

func TestClaimsWithoutStore(t *testing.T) {
	t.Run("refused while the store is down", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			c := newClaims(1)
			c.store.SetFaults(platform.Faults{Down: true})
			begin := system.NewClock().Now()
			_, refusal := c.book(t.Context(), 0, "r1", "", "x")
			is.Equal(refusal.Code, models.RefusalStoreUnreachable)
			is.True(refusal.NotRun)
			is.True(refusal.RetryAfter > 0)
			is.True(system.NewClock().Now().Sub(begin) < time.Second) // at once
			is.Equal(c.ledger.count(), 0)
		})
	})
	t.Run("a lost answer of the claim is settled by reading", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			c := newClaims(2)
			c.store.SetFaults(platform.Faults{LoseAnswer: func(models.Transaction) bool { return true }})
			text, refusal := c.book(t.Context(), 0, "r1", "k", "x")
			is.Equal(refusal, nil)
			again, refusal := c.book(t.Context(), 1, "r2", "k", "x")
			is.Equal(refusal, nil)
			is.Equal(again, text)
			is.Equal(c.ledger.count(), 1)
		})
	})
	t.Run("an unsettled claim is not run, and released once the store is back", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			c := newClaims(2)
			c.store.SetFaults(platform.Faults{LoseAnswer: func(models.Transaction) bool {
				c.links[0].cut.Store(true)
				return true
			}})
			_, refusal := c.book(t.Context(), 0, "r1", "k", "x")
			is.Equal(refusal.Code, models.RefusalStoreUnreachable)
			is.True(!refusal.NotRun) // an earlier attempt under the key may have run
			is.True(refusal.RetryAfter > 0)
			is.Equal(c.ledger.count(), 0)
			c.store.SetFaults(platform.Faults{})
			c.links[0].cut.Store(false)
			text, refusal := c.book(t.Context(), 1, "r2", "k", "x")
			is.Equal(refusal, nil)
			is.Equal(text, "booked for r2")
			is.Equal(c.ledger.count(), 1)
		})
	})
	t.Run("the outcome reaches the store after an outage", func(t *testing.T) {
		bubble(t, func(t *testing.T, is *is.I) {
			c := newClaims(2)
			c.ledger.takes = time.Second
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

// TestCommitRate has seven daemons claim 350 requests a second for 10 s.
func TestCommitRate(t *testing.T) {
	const rate, duration = 350, 10 // a second; seconds
	bubble(t, func(t *testing.T, is *is.I) {
		c := newClaims(7)
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
		t.Logf("%d claims a second took %.0f transactions a second", rate, writes)
		is.True(writes <= 300) // the platform takes several hundred writes a second
		is.Equal(c.ledger.count(), rate*duration)
	})
}

// TestClaimOfDeadHolder takes the claim's holder away after its claim was
// written and its answer lost: the request runs nowhere else.
func TestClaimOfDeadHolder(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I) {
		c := newClaims(2)
		c.ledger.takes = time.Hour // the holder never comes back from it
		c.store.SetFaults(platform.Faults{LoseAnswer: func(models.Transaction) bool { return true }})
		dead := make(chan struct{})
		go func() {
			_, _ = c.book(context.Background(), 0, "r1", "k", "x")
			close(dead)
		}()
		_ = system.NewClock().Sleep(t.Context(), time.Second)
		c.links[0].cut.Store(true)
		_, refusal := c.book(t.Context(), 1, "r2", "k", "x")
		is.Equal(refusal.Code, models.RefusalOutcomeUnknown)
		is.True(!refusal.NotRun)
		_ = system.NewClock().Sleep(t.Context(), time.Minute)
		begin := system.NewClock().Now()
		_, refusal = c.book(t.Context(), 1, "r3", "k", "x")
		is.Equal(refusal.Code, models.RefusalOutcomeUnknown)
		is.True(strings.Contains(refusal.Evidence, "daemon a claimed it"))
		is.True(system.NewClock().Now().Sub(begin) < time.Second) // answered at once
		is.Equal(c.ledger.count(), 1)
		<-dead
	})
}

func TestExpiredClaimsAreDeleted(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I) {
		c := newClaims(1)
		for i := range 150 {
			_, refusal := c.book(t.Context(), 0, "r", "k"+string(rune('0'+i)), "x")
			is.Equal(refusal, nil)
		}
		is.NoErr(c.parts[0].Flush(t.Context()))
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
		is.Equal(live(), 50) // one batch
		cleaner.Step(t.Context())
		is.Equal(live(), 0)
	})
}
