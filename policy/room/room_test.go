package room_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/policy/room"
)

const target = 300 * time.Millisecond

var start = time.Unix(1000, 0)

// demand is what all daemons have seen of a route.
func demand(route string, served, lost int) models.ServiceDemand {
	return models.ServiceDemand{Workspaces: []models.WorkspaceDemand{{Route: route, Offered: served + lost, Served: served, Lost: lost}}}
}

// work is what was sent for a workspace.
func work(workspace models.Workspace, tokens int) models.ServiceDemand {
	return models.ServiceDemand{Workspaces: []models.WorkspaceDemand{{Workspace: workspace, Route: "b", Work: tokens}}}
}

// errorOf is a factor that requests of a route took longer than predicted.
func errorOf(factor float64) models.ServiceDemand {
	e := models.PredictionError{Route: "b", Wait: models.WaitQueued, Count: 1000, Sum: factor * 1000, Squares: factor * factor * 1000}
	return models.ServiceDemand{Errors: []models.PredictionError{e}}
}

func TestAdmit(t *testing.T) {
	request := func(wait time.Duration, changes ...func(*room.Request)) room.Request {
		r := room.Request{
			Workspace: "w", Route: "b", Rank: 1, Urgency: 4, Unloaded: 100 * time.Millisecond,
			Predicted: 100*time.Millisecond + wait, Target: target, Left: 5 * time.Second,
		}
		for _, change := range changes {
			change(&r)
		}
		return r
	}
	returned := func(r *room.Request) { r.Returned, r.Waited, r.Left = true, time.Second, 4*time.Second }
	large := func(r *room.Request) {
		r.Predicted += 900 * time.Millisecond
		r.Unloaded += 900 * time.Millisecond
	}

	var usual, busy []models.ServiceDemand
	for _, workspace := range []models.Workspace{"w", "v", "u", "t", "s", "r", "q"} {
		usual = append(usual, work(workspace, 50000))
		busy = append(busy, work(workspace, 1000))
	}
	grown := append(busy[1:], work("w", 20000))
	slow := func(r *room.Request) { r.Left = 100 * time.Millisecond }
	tests := []struct {
		name    string
		request room.Request
		news    []models.ServiceDemand
		reason  room.Reason // empty: it is sent
		urgency int
	}{
		{name: "an idle engine", request: request(0), urgency: 4},
		{name: "a wait with which it is in time", request: request(80 * time.Millisecond), urgency: 4},
		{name: "a wait with which it is late", request: request(400 * time.Millisecond), reason: room.ReasonLate},
		{name: "a wait that lasts longer than predicted", request: request(80 * time.Millisecond), news: []models.ServiceDemand{errorOf(1.5)}, reason: room.ReasonLate},
		{name: "late by its own size, with a short wait", request: request(50*time.Millisecond, large), urgency: 4},
		{name: "late by its own size, with a long wait", request: request(600*time.Millisecond, large), reason: room.ReasonLate},
		{name: "a workspace with its share", request: request(110 * time.Millisecond), news: busy, urgency: 4},
		{name: "a workspace far above its share", request: request(110 * time.Millisecond), news: grown, reason: room.ReasonShare},
		{name: "a workspace far above its share, at an idle engine", request: request(0), news: grown, urgency: 4},
		{name: "a route that is served seldom", request: request(400 * time.Millisecond), news: []models.ServiceDemand{demand("b", 10, 40), demand("a", 90, 0)}, urgency: 4},
		{name: "a route that is served more often than a more urgent one", request: request(150 * time.Millisecond), news: []models.ServiceDemand{demand("b", 50, 0), demand("a", 40, 10)}, reason: room.ReasonOrder},
		{name: "back after a refusal, late", request: request(400*time.Millisecond, returned), urgency: 5},
		{name: "back after a refusal, with an idle engine", request: request(0, returned), urgency: 4},
		{name: "back after a refusal, and its caller would leave", request: request(4*time.Second, returned), reason: room.ReasonLeft},
		{name: "back after a refusal, and no time is left", request: request(400*time.Millisecond, returned, slow), reason: room.ReasonLeft},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := room.NewController()
			c.Admit(room.Request{Route: "a", Target: target}, 0, start) // the more urgent route is known
			for _, news := range usual {
				c.Learn(news, start.Add(-time.Minute))
			}
			for _, news := range test.news {
				c.Learn(news, start)
			}
			d := c.Admit(test.request, 0.5, start)
			is.Equal(d.Reason, test.reason)
			is.Equal(d.Send, test.reason == "")
			if d.Send {
				is.Equal(d.Urgency, test.urgency)
				return
			}
			is.True(d.RetryAfter > 0)
			is.True(d.RetryAfter <= test.request.Left/3) // callers heed no later one
		})
	}
}

func TestUrgency(t *testing.T) {
	// Each goes before all that follow.
	order := []int{
		room.Urgency(0, 2, 0, target), room.Urgency(1, 0, 0, target), room.Urgency(1, 0, time.Second, target),
		room.Urgency(1, 2, 0, target), room.Urgency(2, 0, 0, target),
	}
	for i := range order[1:] {
		is.New(t).True(order[i] < order[i+1])
	}
	is.New(t).True(room.Urgency(9, 9, time.Hour, target) < room.Urgencies)
}

// What is queued at less urgent ranks does not make a request late.
func TestOnlyWhatGoesBeforeCounts(t *testing.T) {
	is := is.New(t)
	c := room.NewController()
	c.AddQueued(8, 30000)
	r := room.Request{Route: "b", Urgency: 4, Unloaded: 50 * time.Millisecond, Predicted: time.Second, Target: target, Left: time.Second, Drain: 10000}
	is.True(c.Admit(r, 0, start).Send)
	r.Urgency = 8
	is.True(!c.Admit(r, 0, start).Send)
	c.AddQueued(8, -30000)
	c.AddQueued(0, 30000)
	r.Urgency = 4
	is.True(!c.Admit(r, 0, start).Send)
}

func TestShortage(t *testing.T) {
	is := is.New(t)
	c := room.NewController()
	change := func(wait time.Duration, now time.Time) (short, changed bool) {
		for range 100 {
			now = now.Add(10 * time.Millisecond)
			c.Admit(room.Request{Route: "b", Predicted: wait, Target: target, Left: time.Second}, 0, now)
		}
		return c.Change(now)
	}
	short, changed := change(0, start)
	is.True(!short && !changed)
	short, changed = change(time.Hour, start.Add(time.Second))
	is.True(short && changed)
	short, changed = change(0, start.Add(10*time.Second))
	is.True(!short && changed)
}
