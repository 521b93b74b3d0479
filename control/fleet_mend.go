package control

import (
	"context"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/policy/fleet"
)

// watchedEngine is what this daemon has seen of an engine.
type watchedEngine struct {
	state         models.EngineState
	present       bool
	answeredAt    time.Time
	changingSince time.Time // zero while it does not change
	busy          bool      // an order or a check is under way
	checkedAt     time.Time
	step          models.ChangeStep // the checks below belong to
	checked       int               // passed in a row
	wrong         int
	unanswered    int
}

// observe takes in the latest states.
func (f *Fleet) observe(now time.Time, states map[models.EngineID]models.EngineState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.peers.Configuration.Config().Backends {
		w, ok := f.watched[id]
		if !ok {
			w = &watchedEngine{answeredAt: now}
			f.watched[id] = w
		}
		state, present := states[id]
		w.state, w.present = state, present
		if present {
			w.answeredAt = now
		}
		if !state.Changing {
			w.changingSince = time.Time{}
		} else if w.changingSince.IsZero() {
			w.changingSince = now
		}
	}
}

// observed returns what is seen of an engine in a step of its change.
func (f *Fleet) observed(now time.Time, id models.EngineID, step models.ChangeStep) fleet.Observed {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.watched[id]
	if w.step != step {
		w.step, w.checked, w.unanswered = step, 0, 0
	}
	seen := fleet.Observed{
		Present:          w.present,
		State:            w.state,
		UnreachableFor:   now.Sub(w.answeredAt),
		ChecksPassed:     w.checked,
		WrongAnswers:     w.wrong,
		ChecksUnanswered: w.unanswered,
	}
	if !w.changingSince.IsZero() {
		seen.ChangingFor = now.Sub(w.changingSince)
	}
	return seen
}

// mend takes one engine an action further.
func (f *Fleet) mend(ctx context.Context, now time.Time, authority models.Authority, server models.BackendServer) {
	desired, known := f.rows.get(server.Engine)
	if !known || f.busy(server.Engine) {
		return
	}
	action := fleet.NextAction(desired, f.observed(now, server.Engine, desired.Step), now, f.settings.Repair)
	if action.Changed {
		if f.rows.write(ctx, authority, []models.DesiredEngine{action.Desired}) != nil {
			return
		}
	}
	if action.Desired.Step != desired.Step {
		f.record(models.EventFleet, action.Desired, "engine is "+string(action.Desired.Step), action.Why)
	}
	switch {
	case action.Order:
		f.order(ctx, authority, server, action)
	case action.Check || f.checkDue(now, server.Engine, action.Desired):
		f.check(ctx, server)
	}
}

// order gives the pending order, beside the steps of the other engines.
func (f *Fleet) order(ctx context.Context, authority models.Authority, server models.BackendServer, action fleet.Action) {
	f.setBusy(server.Engine, true)
	f.work.Go(func() {
		defer f.setBusy(server.Engine, false)
		order := action.Desired.PendingOrder
		order.Fence = authority.Fence
		what := "order " + order.ID + " was taken"
		why := action.Why
		if err := f.peers.Orders.Send(ctx, authority, server, order); err != nil {
			what = "order " + order.ID + " failed (" + string(peer.OutcomeOf(err)) + ")"
			why = err.Error()
		}
		f.record(models.EventOrder, action.Desired, what, why)
	})
}

// checkDue reports whether an engine that works is to be checked again.
func (f *Fleet) checkDue(now time.Time, id models.EngineID, desired models.DesiredEngine) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.watched[id]
	working := desired.Step == models.StepSteady && w.present && !w.state.Draining && !w.state.Changing
	every := f.settings.CheckEvery
	if w.wrong > 0 {
		every = 0
	}
	return working && now.Sub(w.checkedAt) >= every
}

func (f *Fleet) busy(id models.EngineID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.watched[id]
	return ok && w.busy
}

func (f *Fleet) setBusy(id models.EngineID, busy bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watched[id].busy = busy
}

func (f *Fleet) record(kind models.EventKind, desired models.DesiredEngine, what, why string) {
	f.peers.Timeline.Record(models.Event{
		Kind:   kind,
		Engine: desired.Engine,
		Lease:  models.EngineLease(desired.Zone),
		What:   what,
		Why:    why,
		Cause:  desired.PendingOrder.ID,
	})
}
