package balance_test

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/routing"
)

const (
	// noLimit is the limit of an engine that states none.
	noLimit = -1.0
	// usuallyRejected is the share of the requests that engines reject at most times.
	usuallyRejected = 0.05
	// maxAnswerDelay bounds the time until an engine answers: some answers overtake
	// others.
	maxAnswerDelay = 700 * time.Millisecond
	// longPrefillShare is the share of the prefills that take up to maxPrefillDelay.
	longPrefillShare = 0.3
	maxPrefillDelay  = 3 * time.Second
)

var (
	llmService  = models.RoutedService{Name: "llm", Engine: &models.EngineLimits{Slots: 64, Capacity: 500000, TokenBytes: 10000, LinkMbps: 100000}}
	deskService = models.RoutedService{Name: "desk"}
)

// limitEngine is an engine that may state a limit.
type limitEngine struct {
	world    *limitWorld
	upstream models.Upstream
	leavesAt time.Duration          // when it begins to say that it leaves; 0: it does not
	said     map[int]*engineRequest // what it has said to VMs
	stated   []statedLimit          // in order of time, the first at the start
	namedAt  time.Duration          // when it stated a limit for the first time
	told     map[int]time.Duration
	arrivals []limitArrival
}

// statedLimit is what an engine states from a time on.
type statedLimit struct {
	from  time.Duration
	limit float64
}

// limitArrival is a request that has reached an engine.
type limitArrival struct {
	at          time.Duration
	told        bool // its VM had been told of the limit before
	undisturbed bool // its VM was
}

// newEngine returns an engine that states no limit. The caller must hold w.mu or be
// the only user.
func (w *limitWorld) newEngine(role models.Role, service models.ServiceName) *limitEngine {
	w.started++
	return &limitEngine{
		world: w, stated: []statedLimit{{limit: noLimit}}, told: map[int]time.Duration{}, said: map[int]*engineRequest{},
		upstream: models.Upstream{
			ID: models.EngineID(fmt.Sprintf("e%03d", w.started)), Service: service, Version: "v1", Role: role, Slots: 64, Started: w.clock.Now(),
			Zone: models.Zone("z" + strconv.Itoa(w.started%w.zones)), Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(w.started)),
		},
	}
}

// register publishes the registrations. The caller must hold w.mu or be the only user.
func (w *limitWorld) register() {
	snapshot := &routing.Snapshot{ByID: map[models.EngineID]models.Upstream{}, ByService: map[models.ServiceName][]models.Upstream{}}
	for _, e := range w.engines {
		snapshot.ByID[e.upstream.ID] = e.upstream
		snapshot.ByService[e.upstream.Service] = append(snapshot.ByService[e.upstream.Service], e.upstream)
	}
	w.snapshot = snapshot
}

// stateLimits lets a share of the engines of each kind state limits, some of which
// change. The caller must hold w.mu.
func (w *limitWorld) stateLimits() {
	for i, e := range w.engines {
		r := w.draw("limit", i)
		if r.Float64() >= w.limited {
			continue
		}
		e.state(drawLimit(r))
		if r.IntN(3) == 0 {
			w.after(between(r, limitedTime/4, limitedTime/2), func() { e.state(drawLimit(r)) })
		}
		if r.IntN(6) == 0 {
			w.after(between(r, limitedTime/2, limitedTime), func() { e.state(noLimit) })
		}
		if w.replaced && r.IntN(3) == 0 {
			w.after(between(r, limitedTime/4, limitedTime), func() { w.replace(e) })
		}
	}
}

func drawLimit(r *rand.Rand) float64 {
	limits := []float64{0, 0.25, 0.5, 1, 1, 1, 2, 2.5, 5, 12}
	return limits[r.IntN(len(limits))]
}

// replace lets the next process of an engine register, which states no limit. The
// caller must hold w.mu.
func (w *limitWorld) replace(e *limitEngine) {
	e.state(noLimit)
	e.upstream.Started = w.clock.Now()
	w.register()
}

// state lets an engine state a limit from now on. The caller must hold w.mu.
func (e *limitEngine) state(limit float64) {
	if e.limit() == limit {
		return
	}
	if e.limit() == noLimit {
		clear(e.told)
		e.namedAt = e.world.since()
	}
	e.stated = append(e.stated, statedLimit{from: e.world.since(), limit: limit})
}

// limit returns the limit that an engine states now.
func (e *limitEngine) limit() float64 {
	return e.stated[len(e.stated)-1].limit
}

// limits calls a function with each limit in force in a period.
func (e *limitEngine) limits(from, until time.Duration, call func(limit float64)) {
	for i, s := range e.stated {
		if s.from <= until && (i+1 == len(e.stated) || e.stated[i+1].from >= from) {
			call(s.limit)
		}
	}
}

// highestLimit returns the highest limit in a period; limited is false if there was
// none at some moment.
func (e *limitEngine) highestLimit(from, until time.Duration) (highest float64, limited bool) {
	limited = true
	e.limits(from, until, func(limit float64) {
		highest = max(highest, limit)
		limited = limited && limit != noLimit
	})
	return highest, limited
}

// lowestLimit returns the lowest limit in a period; limited is false if there was none
// at some moment.
func (e *limitEngine) lowestLimit(from, until time.Duration) (lowest float64, limited bool) {
	lowest, limited = math.Inf(1), true
	e.limits(from, until, func(limit float64) {
		lowest = min(lowest, limit)
		limited = limited && limit != noLimit
	})
	return lowest, limited
}

// rateIn returns how many requests a second an engine got in a period.
func (e *limitEngine) rateIn(from, until time.Duration) float64 {
	n := 0
	for _, a := range e.arrivals {
		if a.at >= from && a.at < until {
			n++
		}
	}
	return float64(n) / (until - from).Seconds()
}

// arrive records a request of a VM.
func (w *limitWorld) arrive(vm *limitVM, to models.Upstream, id models.RequestID) (*limitEngine, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.engines {
		if e.upstream.ID != to.ID {
			continue
		}
		w.checkEngineRequest(e, vm, id)
		toldAt, told := e.told[vm.index]
		e.arrivals = append(e.arrivals, limitArrival{
			at:          w.since(),
			told:        told && w.since()-toldAt >= toldFor,
			undisturbed: w.clock.Now().Sub(vm.disturbedAt) >= contact,
		})
		return e, true
	}
	return nil, false
}

// answer returns what an engine states in an answer to a VM.
func (e *limitEngine) answer(vm *limitVM) models.StatedLimit {
	w := e.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.limit() == noLimit {
		return models.StatedLimit{}
	}
	if _, ok := e.told[vm.index]; !ok {
		e.told[vm.index] = w.since()
	}
	return models.StatedLimit{Named: true, PerSecond: e.limit()}
}

// Send implements peer.Upstreams.
func (vm *limitVM) Send(ctx context.Context, to models.Upstream, call models.UpstreamCall) (peer.UpstreamResponse, error) {
	w := vm.world
	r := w.draw("send "+string(call.ID)+string(to.ID), 0)
	if w.clock.Sleep(ctx, between(r, time.Millisecond, 2*time.Millisecond)) != nil {
		return peer.UpstreamResponse{}, peer.NewFailure(peer.OutcomeUnknown, "cancelled", ctx.Err())
	}
	e, ok := w.arrive(vm, to, call.ID)
	if !ok {
		return peer.UpstreamResponse{}, peer.NewFailure(peer.OutcomeNotDone, "connection refused", nil)
	}
	arrival := w.arrivals.add(call.ID, to.Service, w.since())
	if w.clock.Sleep(ctx, between(r, 10*time.Millisecond, maxAnswerDelay)) != nil {
		return peer.UpstreamResponse{}, peer.NewFailure(peer.OutcomeUnknown, "cancelled", ctx.Err())
	}
	answer := peer.UpstreamResponse{Status: http.StatusOK, Header: http.Header{}, Statement: models.ServerStatement{Limit: e.answer(vm), Leaving: e.saysLeaving(vm)}}
	body := "answer"
	if r.Float64() < w.rejectedShare() {
		arrival.rejected = true
		answer.Status, answer.NotRun = http.StatusServiceUnavailable, true
		answer.Statement.RetryAfter = e.asksForRest(vm, r)
	} else if to.Role != "" {
		body = "id: 1\ndata: x\n\n"
	}
	answer.Body, answer.Length = io.NopCloser(strings.NewReader(body)), int64(len(body))
	return answer, nil
}

// Prefill implements peer.Upstreams.
func (vm *limitVM) Prefill(ctx context.Context, to models.Upstream, call models.UpstreamCall) (models.KVSource, peer.UpstreamResponse, error) {
	call.ID += prefillSuffix
	r := vm.world.draw("prefill "+string(call.ID), 0)
	delay := time.Duration(0)
	if r.Float64() < longPrefillShare {
		delay = between(r, 0, maxPrefillDelay)
	}
	// With limits, the call itself arrives late: that is harder to keep to.
	late := vm.world.resting == 0
	if late && vm.world.clock.Sleep(ctx, delay) != nil {
		return models.KVSource{}, peer.UpstreamResponse{}, peer.NewFailure(peer.OutcomeUnknown, "cancelled", ctx.Err())
	}
	answer, err := vm.Send(ctx, to, call)
	if err == nil && !late && !answer.NotRun && vm.world.clock.Sleep(ctx, delay) != nil {
		return models.KVSource{}, peer.UpstreamResponse{}, peer.NewFailure(peer.OutcomeUnknown, "cancelled", ctx.Err())
	}
	if err != nil || answer.NotRun {
		return models.KVSource{}, answer, err
	}
	return models.KVSource{Engine: to.Address, Handle: string(call.ID)}, answer, nil
}

// Free implements peer.Upstreams.
func (vm *limitVM) Free(context.Context, models.Upstream, models.KVSource) error {
	return nil
}
