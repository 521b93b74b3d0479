package quarantine_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/routing"
)

const (
	eventGap  = 30 * time.Millisecond
	minEvents = 3
	maxEvents = 17
	// registrationTTL is how long an engine that has crashed stays registered
	// unless it is replaced.
	registrationTTL = 3600 * time.Millisecond
	// greyShare is the share of its requests that a grey engine resets, and
	// garbledShare that of the answers which a garbling engine ends early.
	greyShare    = 0.4
	garbledShare = 0.4
	// lateHeaderShare is the share of the answers whose header comes with their
	// first byte.
	lateHeaderShare = 0.25
	// sameIDShare is the share of the crashes after which the engine returns under
	// its ID.
	sameIDShare = 0.3
	// maxResetDelay is the longest time in which a crash reaches a daemon.
	maxResetDelay = time.Millisecond
)

// engine is a process of an engine.
type engine struct {
	upstream     models.Upstream
	place        int
	alive        bool
	down         chan struct{} // closed when it crashes
	greyUntil    time.Time
	garbledUntil time.Time
}

// startEngine starts an engine at one of the places, under a new ID unless one is
// given. The caller must hold s.mu or be the only user.
func (s *schedule) startEngine(place int, role models.Role, id models.EngineID) {
	s.started++
	if id == "" {
		id = models.EngineID(fmt.Sprintf("e%04d", s.started))
	}
	of := service.Name
	if place >= decodeEngines+prefillEngines {
		of = deskService.Name
	}
	s.engines[id] = &engine{place: place, alive: true, down: make(chan struct{}), upstream: models.Upstream{
		ID: id, Service: of, Version: "v1", Zone: models.Zone("z" + strconv.Itoa(place%s.zones)), Slots: service.Engine.Slots,
		Role: role, Started: s.clock.Now(), Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(place+1)),
	}}
	s.register()
}

// register publishes the registrations. The caller must hold s.mu or be the only
// user.
func (s *schedule) register() {
	snapshot := &routing.Snapshot{ByID: map[models.EngineID]models.Upstream{}, ByService: map[models.ServiceName][]models.Upstream{}}
	var list []models.Upstream
	for id, e := range s.engines {
		snapshot.ByID[id] = e.upstream
		list = append(list, e.upstream)
	}
	slices.SortFunc(list, func(a, b models.Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for _, upstream := range list {
		snapshot.ByService[upstream.Service] = append(snapshot.ByService[upstream.Service], upstream)
	}
	s.snapshot = snapshot
}

// crash ends the process of an engine; another one starts in its place. The
// caller must hold s.mu.
func (s *schedule) crash(e *engine) {
	if !e.alive {
		return
	}
	e.alive = false
	close(e.down)
	s.crashed++
	r := s.draw("crash", s.crashed)
	next := models.EngineID("")
	if r.Float64() < sameIDShare {
		next = e.upstream.ID
	}
	s.after(between(r, 2*time.Second, 4*time.Second), func() { s.startEngine(e.place, e.upstream.Role, next) })
	s.after(registrationTTL, func() {
		if s.engines[e.upstream.ID] == e {
			delete(s.engines, e.upstream.ID)
			s.register()
		}
	})
}

// engineAt returns the engine that runs under an ID; nil if none does.
func (s *schedule) engineAt(id models.EngineID) *engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.engines[id]; ok && e.alive {
		return e
	}
	return nil
}

// answer is the answer of an engine to one send of a request.
type answer struct {
	ctx      context.Context
	schedule *schedule
	engine   *engine
	request  *request
	draws    *rand.Rand
	next     int           // event
	events   int           // of the whole answer
	resetAt  int           // event at which the connection is reset; 0: at none
	cutAt    int           // event within which the answer ends; 0: in none
	wait     time.Duration // until the next event
	begun    bool          // the engine has begun to write
	rest     string        // bytes that were not read yet
	ended    error
}

// Send implements peer.Upstreams.
func (d *daemon) Send(ctx context.Context, to models.Upstream, call models.UpstreamCall) (peer.UpstreamResponse, error) {
	s := d.schedule
	e := s.engineAt(to.ID)
	if e == nil {
		return peer.UpstreamResponse{}, peer.NewFailure(peer.OutcomeNotDone, "connection refused", syscall.ECONNREFUSED)
	}
	q, sends := s.arrives(d, call.ID)
	r := s.draw("send "+string(call.ID), sends)
	a := &answer{
		ctx: ctx, schedule: s, engine: e, request: q, draws: r, next: 1, events: q.events,
		wait: between(r, 50*time.Millisecond, 700*time.Millisecond),
	}
	if age := s.deadly.repeated.age; age > 0 && q.deadly {
		a.wait = age
	}
	if call.ResumeAfter != "" {
		last, err := strconv.Atoi(call.ResumeAfter)
		s.is.NoErr(err)
		a.next = last + 1
	}
	a.drawFault()
	if r.Float64() < lateHeaderShare {
		if err := a.begin(); err != nil {
			return peer.UpstreamResponse{}, peer.NewFailure(peer.OutcomeUnknown, "no header", err)
		}
	}
	length := int64(-1)
	if !q.kind.route.Stream {
		length = int64(len(a.whole()))
	}
	return peer.UpstreamResponse{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(a), Length: length}, nil
}

// Prefill implements peer.Upstreams.
func (d *daemon) Prefill(ctx context.Context, to models.Upstream, call models.UpstreamCall) (models.KVSource, peer.UpstreamResponse, error) {
	s := d.schedule
	e := s.engineAt(to.ID)
	if e == nil {
		return models.KVSource{}, peer.UpstreamResponse{}, peer.NewFailure(peer.OutcomeNotDone, "connection refused", syscall.ECONNREFUSED)
	}
	_, sends := s.arrives(d, call.ID)
	r := s.draw("prefill "+string(call.ID), sends)
	if err := s.work(ctx, e, between(r, 20*time.Millisecond, 150*time.Millisecond), r); err != nil {
		return models.KVSource{}, peer.UpstreamResponse{}, peer.NewFailure(peer.OutcomeUnknown, "no header", err)
	}
	return models.KVSource{Engine: to.Address, Handle: string(call.ID)}, peer.UpstreamResponse{Status: http.StatusOK}, nil
}

// Free implements peer.Upstreams.
func (d *daemon) Free(context.Context, models.Upstream, models.KVSource) error {
	return nil
}

// work waits while an engine works, and fails if it crashes meanwhile.
func (s *schedule) work(ctx context.Context, e *engine, d time.Duration, draws *rand.Rand) error {
	timer := s.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C():
		return nil
	case <-e.down:
		if err := s.clock.Sleep(ctx, between(draws, 0, maxResetDelay)); err != nil {
			return err
		}
		return io.ErrUnexpectedEOF
	}
}

// drawFault draws whether the engine breaks the answer off without a crash.
func (a *answer) drawFault() {
	s := a.schedule
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	at := a.next + a.draws.IntN(a.events)
	if now.Before(a.engine.greyUntil) && a.draws.Float64() < greyShare {
		a.resetAt = at
	} else if now.Before(a.engine.garbledUntil) && a.draws.Float64() < garbledShare {
		a.cutAt = at
	}
}

// begin waits until the engine begins to write the answer, which crashes it if the
// prompt has the deadly part.
func (a *answer) begin() error {
	s := a.schedule
	if a.begun {
		return nil
	}
	a.begun = true
	if err := s.work(a.ctx, a.engine, a.wait, a.draws); err != nil {
		return err
	}
	a.wait = 0
	s.mu.Lock()
	if s.crashing && a.engine.alive && s.carries(a.request) {
		s.crashTimes = append(s.crashTimes, s.sinceBegin())
		s.crash(a.engine)
	}
	alive := a.engine.alive
	s.mu.Unlock()
	if !alive {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// Read implements io.Reader.
func (a *answer) Read(p []byte) (int, error) {
	if a.rest == "" {
		if a.ended == nil {
			a.rest, a.ended = a.write()
		}
		if a.rest == "" {
			return 0, a.ended
		}
	}
	n := copy(p, a.rest)
	a.rest = a.rest[n:]
	return n, nil
}

// write returns what the engine writes next, and an error if nothing follows.
func (a *answer) write() (string, error) {
	if a.next > a.events {
		return "", io.EOF
	}
	if err := a.begin(); err != nil {
		return "", err
	}
	if !a.request.kind.route.Stream {
		return a.writeWhole()
	}
	if err := a.schedule.work(a.ctx, a.engine, a.wait, a.draws); err != nil {
		return "", err
	}
	event := fmt.Sprintf("id: %d\ndata: %s\n\n", a.next, a.request.id)
	switch a.next {
	case a.resetAt:
		return "", errors.Trace(syscall.ECONNRESET)
	case a.cutAt:
		return event[:len(event)/2], io.EOF
	}
	a.next++
	a.wait = eventGap
	return event, nil
}

// writeWhole returns an answer that is no stream.
func (a *answer) writeWhole() (string, error) {
	if err := a.schedule.work(a.ctx, a.engine, time.Duration(a.events)*eventGap, a.draws); err != nil {
		return "", err
	}
	whole := a.whole()
	switch {
	case a.resetAt > 0:
		return "", errors.Trace(syscall.ECONNRESET)
	case a.cutAt > 0:
		return whole[:len(whole)/2], io.ErrUnexpectedEOF
	}
	return whole, io.EOF
}

func (a *answer) whole() string {
	return strings.Repeat("answer ", a.events)
}
