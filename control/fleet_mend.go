package control

import (
	"context"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/policy/fleet"
)

// watchedEngine is what this daemon has observed of an engine.
type watchedEngine struct {
	state         models.EngineState
	present       bool
	lastAnswered  time.Time
	changingSince time.Time // zero unless the engine reports Changing
	busy          bool      // an order or a check is in flight
	checkedAt     time.Time
	step          models.ChangeStep // to which passed and unanswered belong
	passed        int               // consecutive checks
	wrongAnswers  int
	unanswered    int
}

// observe applies the latest states.
func (f *Fleet) observe(now time.Time, states map[models.EngineID]models.EngineState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.peers.Configuration.Config().Backends {
		w, ok := f.watched[id]
		if !ok {
			w = &watchedEngine{lastAnswered: now}
			f.watched[id] = w
		}
		state, present := states[id]
		w.state, w.present = state, present
		if present {
			w.lastAnswered = now
		}
		if !state.Changing {
			w.changingSince = time.Time{}
		} else if w.changingSince.IsZero() {
			w.changingSince = now
		}
	}
}

// observed returns the observations of an engine for a step of its change. The
// counts of passed and of unanswered checks restart with each step.
func (f *Fleet) observed(now time.Time, id models.EngineID, step models.ChangeStep) fleet.Observed {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.watched[id]
	if w.step != step {
		w.step, w.passed, w.unanswered = step, 0, 0
	}
	observed := fleet.Observed{
		Present:          w.present,
		State:            w.state,
		UnreachableFor:   now.Sub(w.lastAnswered),
		ChecksPassed:     w.passed,
		WrongAnswers:     w.wrongAnswers,
		ChecksUnanswered: w.unanswered,
	}
	if !w.changingSince.IsZero() {
		observed.ChangingFor = now.Sub(w.changingSince)
	}
	return observed
}

// reconcile takes the next action that brings one engine to its desired state.
func (f *Fleet) reconcile(ctx context.Context, now time.Time, authority models.Authority, server models.BackendServer) {
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
		f.sendOrder(ctx, authority, server, action)
	case action.Check || f.checkDue(now, server.Engine, action.Desired):
		f.startCheck(ctx, server)
	}
}

// sendOrder sends the pending order in the background.
func (f *Fleet) sendOrder(ctx context.Context, authority models.Authority, server models.BackendServer, action fleet.Action) {
	f.setBusy(server.Engine, true)
	f.tasks.Go(func() {
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

// checkDue reports whether a steady engine is due for a check. After a wrong
// answer it is due in every step until a check passes.
func (f *Fleet) checkDue(now time.Time, id models.EngineID, desired models.DesiredEngine) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.watched[id]
	steady := desired.Step == models.StepSteady && w.present && !w.state.Draining && !w.state.Changing
	interval := f.settings.CheckInterval
	if w.wrongAnswers > 0 {
		interval = 0
	}
	return steady && now.Sub(w.checkedAt) >= interval
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
