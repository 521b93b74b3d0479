package balance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"quincewinch/models"
	"quincewinch/policy/admission"
	"quincewinch/policy/fleet"
	"quincewinch/policy/room"
	"quincewinch/relay"
)

const (
	// maxQueuedDemand bounds the workspaces and routes of a service whose demand, and
	// whose errors of predictions, are not shared yet.
	maxQueuedDemand = 256
	// fullTimeWindow is how long the longest time that callers of a route state is
	// remembered. Those who come for the first time state fullTimeShare of it on
	// average; those who come back state what is left.
	fullTimeWindow = time.Minute
	fullTimeShare  = 0.925
)

// serviceRoom is what this daemon knows of the demand for a service.
type serviceRoom struct {
	controller *room.Controller
	queued     [room.Urgencies]int         // prompt tokens of this daemon at engines, by urgency
	unshared   demandNews                  // of this daemon
	zone       demandNews                  // of this zone's daemons, since its last sum
	fullTimes  map[string]*fleet.WindowMax // by route: the longest time that its callers state
}

// demandNews is demand that is not shared yet.
type demandNews struct {
	workspaces map[workspaceRoute]models.WorkspaceDemand
	errors     map[errorClass]models.PredictionError
}

type workspaceRoute struct {
	workspace models.Workspace
	route     string
}

type errorClass struct {
	route string
	wait  models.WaitClass
}

func newDemandNews() demandNews {
	return demandNews{workspaces: map[workspaceRoute]models.WorkspaceDemand{}, errors: map[errorClass]models.PredictionError{}}
}

// add adds news; what goes beyond maxQueuedDemand is dropped.
func (n demandNews) add(news models.ServiceDemand) {
	for _, w := range news.Workspaces {
		key := workspaceRoute{w.Workspace, w.Route}
		sum, ok := n.workspaces[key]
		if !ok && len(n.workspaces) >= maxQueuedDemand {
			continue
		}
		w.Offered += sum.Offered
		w.Served += sum.Served
		w.Lost += sum.Lost
		w.Work += sum.Work
		n.workspaces[key] = w
	}
	for _, e := range news.Errors {
		key := errorClass{e.Route, e.Wait}
		sum, ok := n.errors[key]
		if !ok && len(n.errors) >= maxQueuedDemand {
			continue
		}
		e.Count += sum.Count
		e.Sum += sum.Sum
		e.Squares += sum.Squares
		n.errors[key] = e
	}
}

// take returns the news in a fixed order, and empties them.
func (n demandNews) take() (workspaces []models.WorkspaceDemand, predictions []models.PredictionError) {
	workspaces = slices.SortedFunc(maps.Values(n.workspaces), func(a, b models.WorkspaceDemand) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Route, b.Route))
	})
	predictions = slices.SortedFunc(maps.Values(n.errors), func(a, b models.PredictionError) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Wait, b.Wait))
	})
	clear(n.workspaces)
	clear(n.errors)
	return workspaces, predictions
}

// room returns what is known of the demand for a service. The caller must hold b.mu.
func (b *Balancer) room(service models.ServiceName) *serviceRoom {
	r, ok := b.rooms[service]
	if !ok {
		r = &serviceRoom{controller: room.NewController(), unshared: newDemandNews(), zone: newDemandNews(), fullTimes: map[string]*fleet.WindowMax{}}
		b.rooms[service] = r
	}
	return r
}

// learn applies news of this daemon, and queues them for the others.
func (r *serviceRoom) learn(news models.ServiceDemand, now time.Time) {
	r.controller.Learn(news, now)
	r.unshared.add(news)
	r.zone.add(news)
}

// queue adds prompt tokens of this daemon to those that wait at engines.
func (r *serviceRoom) queue(urgency, tokens int) {
	r.queued[urgency] += tokens
	r.controller.AddQueued(urgency, tokens)
}

// roomTicket is the part of a placement that the demand for its service concerns.
type roomTicket struct {
	room      *serviceRoom
	request   room.Request
	decision  room.Decision
	again     bool // it was sent before
	startedAt time.Time
}

// admitByDemand decides whether a request is sent, by the demand of all daemons. A
// stream that has begun, and a request that was sent before, always are. The caller must
// hold b.mu.
func (b *Balancer) admitByDemand(e *relay.Exchange, request admission.Request, drain float64, now time.Time) (*roomTicket, error) {
	r := b.room(e.Service.Name)
	t := &roomTicket{room: r, request: r.request(e, request, drain, now), again: e.Admitted || e.Origin != nil || e.Sends > 0}
	if t.again || request.Target <= 0 {
		t.decision = room.Decision{Send: true, Urgency: t.request.Urgency, Predicted: request.Predicted}
		return t, nil
	}
	news := models.WorkspaceDemand{Workspace: e.Workspace, Route: e.Route.Name}
	if !t.request.Returned {
		news.Offered = 1
	}
	t.decision = r.controller.Admit(t.request, b.random.Float64(), now)
	if !t.decision.Send && t.request.Returned {
		news.Lost = 1
	}
	e.Admitted = t.decision.Send
	r.learn(models.ServiceDemand{Workspaces: []models.WorkspaceDemand{news}}, now)
	if t.decision.Send {
		return t, nil
	}
	return nil, &models.Refusal{
		Code:       models.RefusalOverload,
		Message:    "room at the engines is short (" + string(t.decision.Reason) + "): first event in " + t.decision.Predicted.String(),
		NotRun:     true,
		RetryAfter: t.decision.RetryAfter,
	}
}

// request describes a request to package room. A caller has come back if it gives the
// request much less time than others of its route.
func (r *serviceRoom) request(e *relay.Exchange, request admission.Request, drain float64, now time.Time) room.Request {
	full, waited := r.fullTime(e, now), time.Duration(0)
	returned := e.CallerTimeout > 0 && float64(e.CallerTimeout) < returnedShare*float64(full)
	if returned {
		waited = time.Duration(fullTimeShare*float64(full)) - e.CallerTimeout
	}
	return room.Request{
		Workspace: e.Workspace,
		Route:     e.Route.Name,
		Rank:      e.Route.Rank,
		Urgency:   room.Urgency(e.Rank, e.Route.Rank, request.Unloaded, request.Target),
		Unloaded:  request.Unloaded,
		Predicted: request.Predicted,
		Target:    request.Target,
		Waited:    waited + now.Sub(e.Received),
		Left:      request.Left,
		Returned:  returned,
		Drain:     drain,
	}
}

// fullTime returns the longest time that callers of a request's route stated lately,
// within the route's timeout.
func (r *serviceRoom) fullTime(e *relay.Exchange, now time.Time) time.Duration {
	longest, ok := r.fullTimes[e.Route.Name]
	if !ok {
		longest = fleet.NewWindowMax(fullTimeWindow)
		r.fullTimes[e.Route.Name] = longest
	}
	stated := e.CallerTimeout
	if e.Route.Timeout > 0 {
		stated = min(stated, e.Route.Timeout)
	}
	return time.Duration(longest.Observe(now, float64(stated)))
}

// drainRate returns the prompt tokens that all engines for a request prefill in a second:
// those for prefill, if there are any. It is 0 where requests are not admitted by demand.
// The caller must hold b.mu.
func (b *Balancer) drainRate(candidates []*serverState, now time.Time) float64 {
	if !b.settings.AdmitByDemand {
		return 0
	}
	var prefill, all float64
	for _, s := range candidates {
		rate := b.timings.prefill(s.upstream).TokensPerSecond() / b.speedFactor(s, now)
		all += rate
		if s.upstream.Role == models.RolePrefill {
			prefill += rate
		}
	}
	if prefill > 0 {
		return prefill
	}
	return all
}

// sent counts the work of a request that is about to be sent.
func (t *roomTicket) sent(workspace models.Workspace, prefillTokens int, now time.Time) {
	t.room.queue(t.decision.Urgency, prefillTokens)
	if !t.again {
		t.room.learn(models.ServiceDemand{Workspaces: []models.WorkspaceDemand{
			{Workspace: workspace, Route: t.request.Route, Work: prefillTokens},
		}}, now)
	}
}

// ended records the first token of a request, or that it got none.
func (t *roomTicket) ended(p *placement, result relay.Result, now time.Time) {
	if !t.startedAt.IsZero() {
		return
	}
	t.startedAt = now
	taken := now.Sub(p.placedAt)
	outcome := room.Outcome{
		Workspace: t.request.Workspace,
		Route:     t.request.Route,
		Decision:  t.decision,
		Taken:     taken,
		InTime:    t.request.Waited+taken <= t.request.Target,
		Answered:  result == relay.ResultServed,
		GivenUp:   result == relay.ResultCancelled,
	}
	news := t.room.controller.Ended(outcome)
	if t.again {
		news.Errors = nil
	}
	t.room.learn(news, now)
}

// nextDemand returns the demand for the next load share, or for the next zone sum. The
// caller must hold b.mu.
func (b *Balancer) nextDemand(zone bool, now time.Time) []models.ServiceDemand {
	var list []models.ServiceDemand
	for _, service := range slices.Sorted(maps.Keys(b.rooms)) {
		r := b.rooms[service]
		demand := models.ServiceDemand{Service: service}
		queued := slices.Clone(r.queued[:])
		if zone {
			demand.Workspaces, demand.Errors = r.zone.take()
			b.addZoneQueued(service, queued, now)
		} else {
			demand.Workspaces, demand.Errors = r.unshared.take()
		}
		demand.Queued = trimmed(queued)
		if len(demand.Queued)+len(demand.Workspaces)+len(demand.Errors) > 0 {
			list = append(list, demand)
		}
	}
	return list
}

// addZoneQueued adds the prompt tokens of the other daemons of this zone. The caller
// must hold b.mu.
func (b *Balancer) addZoneQueued(service models.ServiceName, queued []int, now time.Time) {
	for _, received := range b.loadShares {
		if !b.isZonePeer(received.share) || now.Sub(received.receivedAt) >= shareTTL {
			continue
		}
		for _, demand := range received.share.Demand {
			if demand.Service != service {
				continue
			}
			for urgency, tokens := range demand.Queued[:min(len(demand.Queued), len(queued))] {
				queued[urgency] += tokens
			}
		}
	}
}

// trimmed returns numbers without the zeros at the end.
func trimmed(numbers []int) []int {
	for len(numbers) > 0 && numbers[len(numbers)-1] == 0 {
		numbers = numbers[:len(numbers)-1]
	}
	return numbers
}

// receiveDemand applies the demand that another daemon or a zone has seen; previous is
// what it said before. The caller must hold b.mu.
func (b *Balancer) receiveDemand(share, previous models.LoadShare, now time.Time) {
	if !b.settings.AdmitByDemand {
		return
	}
	b.replaceQueued(previous.Demand, share.Demand)
	for _, demand := range share.Demand {
		r := b.room(demand.Service)
		r.controller.Learn(demand, now)
		if b.relaying == relayAll && b.isZonePeer(share) {
			r.zone.add(demand)
		}
	}
}

// replaceQueued replaces the prompt tokens that another daemon has at engines. The
// caller must hold b.mu.
func (b *Balancer) replaceQueued(before, now []models.ServiceDemand) {
	if !b.settings.AdmitByDemand {
		return
	}
	for _, demand := range before {
		for urgency, tokens := range demand.Queued {
			b.room(demand.Service).controller.AddQueued(urgency, -tokens)
		}
	}
	for _, demand := range now {
		for urgency, tokens := range demand.Queued {
			b.room(demand.Service).controller.AddQueued(urgency, tokens)
		}
	}
}

// clearZoneDemand forgets what was to be said for the zone. The caller must hold b.mu.
func (b *Balancer) clearZoneDemand() {
	for _, r := range b.rooms {
		r.zone.take()
	}
}

// requeueDemand takes back the news of a load share that got lost. The caller must hold
// b.mu.
func (b *Balancer) requeueDemand(list []models.ServiceDemand) {
	for _, demand := range list {
		b.room(demand.Service).unshared.add(demand)
	}
}

// keptDemand returns what of the demand in a load share is kept: the news only where
// this daemon has to pass them on. The caller must hold b.mu.
func (b *Balancer) keptDemand(share, previous models.LoadShare, relays bool) []models.ServiceDemand {
	if relays || IsZoneSum(share.From) && b.relaying == relayAll {
		return withEarlierNews(share.Demand, previous.Demand)
	}
	return withoutNews(share.Demand)
}

// withoutNews returns demand without what is to be said once.
func withoutNews(list []models.ServiceDemand) []models.ServiceDemand {
	var rest []models.ServiceDemand
	for _, demand := range list {
		rest = append(rest, models.ServiceDemand{Service: demand.Service, Queued: demand.Queued})
	}
	return rest
}

// withEarlierNews returns demand with the news of an earlier share that were not passed
// on.
func withEarlierNews(list, earlier []models.ServiceDemand) []models.ServiceDemand {
	var joined []models.ServiceDemand
	indexes := map[models.ServiceName]int{}
	for _, demand := range list {
		indexes[demand.Service] = len(joined)
		joined = append(joined, demand)
	}
	for _, demand := range earlier {
		demand.Queued = nil
		i, ok := indexes[demand.Service]
		if !ok {
			joined = append(joined, demand)
			continue
		}
		news := newDemandNews()
		news.add(demand)
		news.add(joined[i])
		joined[i].Workspaces, joined[i].Errors = news.take()
	}
	return joined
}

// RoomState is how a service is short of room.
type RoomState struct {
	Service models.ServiceName
	Short   bool // in RoomChanges only
	Queued  int  // prompt tokens that wait at engines, of all daemons
	Stats   []room.Stats
	Served  map[string]float64 // share of the requests of a route that are answered, at all daemons
}

// RoomStates returns the state of each service whose requests are admitted by demand.
func (b *Balancer) RoomStates() []RoomState {
	b.mu.Lock()
	defer b.mu.Unlock()
	var states []RoomState
	for _, service := range slices.Sorted(maps.Keys(b.rooms)) {
		states = append(states, b.roomState(service, false))
	}
	return states
}

// RoomChanges returns the services that have begun to be short of room since the last
// call, and those that no longer are.
func (b *Balancer) RoomChanges() []RoomState {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var changes []RoomState
	for _, service := range slices.Sorted(maps.Keys(b.rooms)) {
		if short, changed := b.rooms[service].controller.Change(now); changed {
			changes = append(changes, b.roomState(service, short))
		}
	}
	return changes
}

// roomState returns the state of a service. The caller must hold b.mu.
func (b *Balancer) roomState(service models.ServiceName, short bool) RoomState {
	now := b.clock.Now()
	controller := b.rooms[service].controller
	state := RoomState{Service: service, Short: short, Queued: controller.Queued(), Stats: controller.Stats(), Served: map[string]float64{}}
	for _, s := range state.Stats {
		state.Served[s.Route] = controller.Served(s.Route, now)
	}
	return state
}
