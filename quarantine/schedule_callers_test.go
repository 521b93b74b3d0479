package quarantine_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"quincewinch/models"
	"quincewinch/relay"
)

const (
	subjects      = 30
	callerTimeout = 8 * time.Second
	// popular is the number of sound requests of a kind that come again and again.
	popular = 4
	// returnShare is the share of its remaining time within which a refused caller
	// comes back.
	returnShare = 3
)

// service is the service of all engines of a schedule.
var service = models.RoutedService{Name: "llm", Engine: &models.EngineLimits{Slots: 16, Capacity: 500000, TokenBytes: 10000, LinkMbps: 100000}}

// deskService is the plain service.
var deskService = models.RoutedService{Name: "desk"}

// position is where the deadly part is in a prompt.
type position int

const (
	atStart position = iota
	inMiddle
	beforeLast
	twice
	positions
)

// kind is a kind of requests: those of one route, one workspace and one first part
// of their prompts.
type kind struct {
	name    string
	service models.RoutedService
	route   models.PathRoute
	rate    float64 // requests per second
}

// newKinds returns one kind of each route.
func newKinds(r *rand.Rand, rate float64, desk bool) []*kind {
	base := models.PathRoute{
		Generation: true, Attempts: 2, Repeatable: true, Timeout: callerTimeout, LatencyTarget: time.Second,
		Targets: []models.WeightedService{{Service: service.Name, Weight: 1}},
	}
	once, resumable, whole := base, base, base
	once.Stream, once.Attempts, once.Repeatable = true, 1, false
	resumable.Stream, resumable.Resumable = true, true
	kinds := []*kind{{name: "once", service: service, route: once}, {name: "resumable", service: service, route: resumable}, {name: "whole", service: service, route: whole}}
	if desk {
		plain := base
		plain.Generation, plain.Targets = false, []models.WeightedService{{Service: deskService.Name, Weight: 1}}
		kinds = append(kinds, &kind{name: "plain", service: deskService, route: plain})
	}
	total := 0.0
	for _, k := range kinds {
		k.rate = 0.4 + r.Float64()
		total += k.rate
	}
	for _, k := range kinds {
		k.rate *= rate / total
	}
	return kinds
}

func (k *kind) subjectID(subject int) string {
	return fmt.Sprintf("%s subject %d", k.name, subject)
}

// request is a request of a caller.
type request struct {
	id      models.RequestID
	kind    *kind
	body    string
	deadly  bool // as a whole
	parts   []models.PromptPart
	events  int        // of its answer
	draws   *rand.Rand // of its caller
	arrived int        // at engines
}

// ask makes the requests of a kind until the schedule ends.
func (s *schedule) ask(index int) {
	defer s.callers.Done()
	k := s.kinds[index]
	gaps := s.draw("gaps of "+k.name, 0)
	for n := 0; ; n++ {
		s.sleep(time.Duration(gaps.ExpFloat64() / k.rate * float64(time.Second)))
		s.mu.Lock()
		ended := s.ended
		q, ok := s.newRequest(index, n)
		s.mu.Unlock()
		if ended {
			return
		}
		if ok {
			s.callers.Go(func() { s.call(q) })
		}
	}
}

// newRequest returns the nth request of a kind. It reports false for one that
// would have the deadly part after its time. The caller must hold s.mu.
func (s *schedule) newRequest(index, n int) (q *request, ok bool) {
	k := s.kinds[index]
	r := s.draw("request of "+k.name, n)
	q = &request{id: models.RequestID(fmt.Sprintf("%s-%d", k.name, n)), kind: k, draws: r, events: minEvents + r.IntN(maxEvents-minEvents+1)}
	q.body = string(q.id)
	repeat := s.draw("repeat of "+k.name, n)
	if repeat.Float64() < s.repeats {
		q.body = fmt.Sprintf("popular %d", repeat.IntN(popular))
		q.parts = k.prompt(0, q.body)
		return q, true
	}
	if k.service.Engine == nil {
		return q, true
	}
	first := models.PromptPart{ID: k.name + " first", Tokens: 3000}
	subject := zipf(r)
	about := models.PromptPart{ID: k.subjectID(subject), Tokens: 1000 + 100*subject}
	last := models.PromptPart{ID: string(q.id), Tokens: 200 + r.IntN(1500)}
	q.parts = []models.PromptPart{first, about, last}
	drawn := r.Float64() < s.deadly.share
	if s.coming && index == s.deadly.kind && drawn {
		if bodies := s.deadly.bodies; bodies > 0 {
			q.body = fmt.Sprintf("deadly %d", repeat.IntN(bodies))
		}
		q.parts = withDeadly(models.PromptPart{ID: s.deadlyPart, Tokens: 1500}, first, about, last, s.deadly.position)
	}
	return q, s.coming || len(s.crashTimes) == 0 || !s.carries(q)
}

// prompt returns the parts of the prompt of a request on a subject, nil for a plain
// service.
func (k *kind) prompt(subject int, own string) []models.PromptPart {
	if k.service.Engine == nil {
		return nil
	}
	return []models.PromptPart{{ID: k.name + " first", Tokens: 3000}, {ID: k.subjectID(subject), Tokens: 1000}, {ID: own, Tokens: 500}}
}

// repeatDeadly makes one deadly request again and again until the schedule ends.
func (s *schedule) repeatDeadly() {
	defer s.callers.Done()
	k := s.kinds[s.deadly.kind]
	gaps := s.draw("gaps of the deadly request", 0)
	copies := 1
	if s.deadly.repeated.everywhere {
		copies = s.settings.daemons
	}
	for n := 0; ; n++ {
		s.sleep(time.Duration((0.5 + gaps.Float64()) / s.deadly.repeated.rate * float64(time.Second)))
		s.mu.Lock()
		ended, coming := s.ended, s.coming
		s.mu.Unlock()
		if ended {
			return
		}
		for i := range copies {
			q := &request{
				id: models.RequestID(fmt.Sprintf("deadly-%d-%d", n, i)), kind: k, body: "deadly", deadly: true, events: minEvents,
				parts: k.prompt(0, "deadly"), draws: s.draw("deadly request", n*copies+i),
			}
			if coming {
				s.callers.Go(func() { s.call(q) })
			}
		}
	}
}

// zipf draws a subject; the nth is drawn in proportion to 1/n.
func zipf(r *rand.Rand) int {
	total := 0.0
	for i := range subjects {
		total += 1 / float64(i+1)
	}
	left := r.Float64() * total
	for i := range subjects {
		left -= 1 / float64(i+1)
		if left < 0 {
			return i
		}
	}
	return subjects - 1
}

// withDeadly returns the parts of a prompt with the deadly part.
func withDeadly(deadly, first, subject, last models.PromptPart, at position) []models.PromptPart {
	switch at {
	case atStart:
		return []models.PromptPart{deadly, subject, last}
	case inMiddle:
		return []models.PromptPart{first, deadly, subject, last}
	case beforeLast:
		return []models.PromptPart{first, subject, deadly, last}
	}
	return []models.PromptPart{first, deadly, subject, deadly, last}
}

// carries reports whether a request is deadly, as a whole or for a part of its prompt.
func (s *schedule) carries(q *request) bool {
	return q.deadly || len(q.parts) > 0 && slices.ContainsFunc(q.parts[:len(q.parts)-1], func(p models.PromptPart) bool { return p.ID == s.deadlyPart })
}

// caller is an attempt of a caller. It implements relay.Reply.
type caller struct {
	daemon context.Context // of the process that answers
	begun  bool
}

// Begin implements relay.Reply.
func (c *caller) Begin(int, http.Header, int64) {}

// Write implements relay.Reply.
func (c *caller) Write(_ context.Context, chunk []byte, _ bool) error {
	if err := c.daemon.Err(); err != nil {
		return err
	}
	c.begun = c.begun || len(chunk) > 0
	return nil
}

// call makes a request, and makes it once more if it is refused without a run.
func (s *schedule) call(q *request) {
	deadline := s.clock.Now().Add(callerTimeout)
	refusal := s.attempt(q, deadline, true)
	if refusal == nil || !refusal.NotRun {
		return
	}
	s.sleep(min(refusal.RetryAfter, deadline.Sub(s.clock.Now())/returnShare))
	again := *q
	again.id += "-again"
	_ = s.attempt(&again, deadline, false)
}

// attempt sends a request to one of the daemons.
func (s *schedule) attempt(q *request, deadline time.Time, first bool) *models.Refusal {
	now := s.clock.Now()
	s.mu.Lock()
	var alive []*daemon
	for _, d := range s.daemons {
		if d.alive && d.snapshot != nil {
			alive = append(alive, d)
		}
	}
	if len(alive) == 0 {
		s.mu.Unlock()
		return nil
	}
	d := alive[q.draws.IntN(len(alive))]
	p := d.process
	s.requests[q.id] = q
	o := outcome{kind: q.kind, daemon: d.index, at: s.sinceBegin(), first: first, carries: s.carries(q), inTouch: s.inTouch(d)}
	s.mu.Unlock()
	c := &caller{daemon: p.ctx}
	err := p.handler.Handle(p.ctx, &relay.Exchange{
		ID: q.id, Received: now, CallerTimeout: deadline.Sub(now), Deadline: deadline, Reply: c,
		Call: models.UpstreamCall{
			ID: q.id, Method: http.MethodPost, Host: "h.example", Target: "/" + q.kind.name, Header: http.Header{}, Body: []byte(q.body),
			Workspace: models.Workspace(q.kind.name),
		},
		Routing:   &models.Routing{Services: map[models.ServiceName]models.RoutedService{q.kind.service.Name: q.kind.service}},
		Route:     q.kind.route,
		Service:   q.kind.service,
		Workspace: models.Workspace(q.kind.name),
		Prompt:    models.Prompt{Model: "m", MaxOutput: maxEvents, Parts: q.parts},
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.requests, q.id)
	o.begun = c.begun
	o.inTouch = o.inTouch && p.ctx.Err() == nil
	var refusal *models.Refusal
	if err != nil {
		refusal = relay.RefusalOf(err)
		o.code = refusal.Code
	}
	s.outcomes = append(s.outcomes, o)
	return refusal
}
