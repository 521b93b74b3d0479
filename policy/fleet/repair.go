package fleet

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"quincewinch/models"
)

// RepairLimits bound the duration and the attempts of each step of a change.
type RepairLimits struct {
	ReplaceAfter time.Duration // time without an answer after which an engine is broken
	StuckAfter   time.Duration // duration of a change after which an engine is broken
	DrainLimit   time.Duration // duration of a drain after which the change is reverted
	MaxAttempts  int           // orders per step
	WrongAnswers int           // consecutive wrong answers to checks that make an engine broken
	FailedChecks int           // consecutive checks without an answer, after a change
}

// DefaultRepairLimits returns the limits that daemons use.
func DefaultRepairLimits() RepairLimits {
	return RepairLimits{
		ReplaceAfter: time.Minute,
		StuckAfter:   time.Minute,
		DrainLimit:   10 * time.Minute,
		MaxAttempts:  4,
		WrongAnswers: 2,
		FailedChecks: 3,
	}
}

// Observed is the observed state of an engine.
type Observed struct {
	Present          bool // the engine answers
	State            models.EngineState
	UnreachableFor   time.Duration // without an answer
	ChangingFor      time.Duration // duration of the current change
	ChecksPassed     int           // consecutive checks passed since the step began
	WrongAnswers     int           // consecutive checks with a wrong answer
	ChecksUnanswered int           // consecutive checks without an answer
}

// Action is the next action for an engine. If Changed is set, Desired is the
// new row to store. After that the caller sends the pending order if Order is
// set, or checks the engine's answers if Check is set.
type Action struct {
	Desired models.DesiredEngine
	Changed bool
	Order   bool
	Check   bool
	Why     string
}

// NextAction compares the desired with the observed state and returns the
// action that brings the engine closer to the desired state. It is a pure
// function, so that a new holder of the lease continues from the row that the
// previous holder stored.
func NextAction(desired models.DesiredEngine, observed Observed, now time.Time, limits RepairLimits) Action {
	r := reconciler{desired: desired, observed: observed, now: now, limits: limits}
	if desired.Step == models.StepBroken {
		return r.broken()
	}
	if action, done := r.handleFault(); done {
		return action
	}
	if desired.Step == models.StepChanging && !observed.State.Draining && r.difference() != "" {
		return r.enterStep(models.StepDraining, "it came back from a restart and takes work again")
	}
	if pending := desired.PendingOrder.ID; pending != "" && observed.State.LastOrder != pending && !r.satisfied(desired.PendingOrder) {
		return Action{Desired: desired, Order: true, Why: "the engine has not confirmed order " + pending}
	}
	switch desired.Step {
	case models.StepDraining:
		return r.draining()
	case models.StepChanging:
		return r.changing()
	case models.StepChecking:
		return r.checking()
	}
	return r.steady()
}

// reconciler determines the next action for one engine.
type reconciler struct {
	desired  models.DesiredEngine
	observed Observed
	now      time.Time
	limits   RepairLimits
}

// handleFault returns the action for an engine that does not answer, is stuck
// in a change or gives wrong answers. It reports false if there is none.
func (r reconciler) handleFault() (Action, bool) {
	switch {
	case !r.observed.Present && r.observed.UnreachableFor > r.limits.ReplaceAfter:
		return r.enterStep(models.StepBroken, fmt.Sprintf("it has not answered for %s, over the limit of %s",
			r.observed.UnreachableFor.Round(time.Second), r.limits.ReplaceAfter)), true
	case !r.observed.Present:
		return r.noChange("it does not answer"), true
	case r.observed.ChangingFor > r.limits.StuckAfter:
		return r.enterStep(models.StepBroken, fmt.Sprintf("its change has gone on for %s, over the limit of %s",
			r.observed.ChangingFor.Round(time.Second), r.limits.StuckAfter)), true
	case r.observed.WrongAnswers >= r.limits.WrongAnswers:
		action := r.enterStep(models.StepBroken, fmt.Sprintf("%d checks in a row told a wrong answer", r.observed.WrongAnswers))
		action.Desired.WrongAnswers = true
		return r.withOrder(action, models.Order{Kind: models.OrderDrain}), true
	case r.observed.State.Changing:
		return r.noChange("a change is under way"), true
	}
	return Action{}, false
}

func (r reconciler) steady() Action {
	if difference := r.difference(); difference != "" {
		return r.enterStep(models.StepDraining, difference)
	}
	if r.observed.State.Draining {
		action := Action{Desired: r.desired, Why: "it drains though it ought to work"}
		return r.withOrder(action, models.Order{Kind: models.OrderResume})
	}
	return r.noChange("it is as desired")
}

func (r reconciler) draining() Action {
	state := r.observed.State
	left := state.Running + state.Queued
	switch {
	case !state.Draining:
		action := Action{Desired: r.desired, Why: r.desired.Why}
		return r.withOrder(action, models.Order{Kind: models.OrderDrain})
	case left > 0 && r.now.Sub(r.desired.Since) > r.limits.DrainLimit:
		action := r.enterStep(models.StepChecking, fmt.Sprintf("%d requests still ran after %s, so the change is taken back", left, r.limits.DrainLimit))
		action.Desired.Role = r.desired.PreviousRole
		return action
	case left > 0:
		return r.noChange(fmt.Sprintf("%d requests still run", left))
	}
	return r.enterStep(models.StepChanging, "it has drained")
}

func (r reconciler) changing() Action {
	if r.difference() == "" {
		return r.enterStep(models.StepChecking, "its role and models are as desired")
	}
	if r.desired.Attempts >= r.limits.MaxAttempts {
		return r.enterStep(models.StepBroken, strconv.Itoa(r.desired.Attempts)+" orders did not bring the change about")
	}
	return r.withOrder(Action{Desired: r.desired, Why: r.difference()}, r.nextOrder())
}

func (r reconciler) checking() Action {
	switch {
	case r.difference() != "":
		return r.enterStep(models.StepDraining, r.difference())
	case r.observed.State.Draining:
		return r.withOrder(Action{Desired: r.desired, Why: "the change is done"}, models.Order{Kind: models.OrderResume})
	case r.observed.ChecksPassed > 0:
		return r.enterStep(models.StepSteady, "its answer to a check was right")
	case r.observed.ChecksUnanswered >= r.limits.FailedChecks && !slices.Equal(r.desired.Models, r.desired.PreviousModels):
		return r.rollBack()
	case r.observed.ChecksUnanswered >= r.limits.FailedChecks:
		return r.enterStep(models.StepBroken, strconv.Itoa(r.observed.ChecksUnanswered)+" checks got no answer")
	}
	return Action{Desired: r.desired, Check: true, Why: "its answers are checked"}
}

// rollBack restores the models that the engine served before the change.
func (r reconciler) rollBack() Action {
	action := r.enterStep(models.StepDraining, fmt.Sprintf("%d checks got no answer, so it goes back from %v to %v",
		r.observed.ChecksUnanswered, r.desired.Models, r.desired.PreviousModels))
	action.Desired.Models = r.desired.PreviousModels
	return action
}

// broken returns an engine that recovered by itself to service, after a check.
// An engine that gave wrong answers stays drained.
func (r reconciler) broken() Action {
	if r.desired.WrongAnswers && r.observed.Present && !r.observed.State.Changing && !r.observed.State.Draining {
		return r.withOrder(Action{Desired: r.desired, Why: "it gave wrong answers"}, models.Order{Kind: models.OrderDrain})
	}
	recovered := r.observed.Present && !r.observed.State.Changing && !r.desired.WrongAnswers
	if !recovered || r.observed.ChecksUnanswered >= r.limits.FailedChecks {
		return r.noChange("it waits to be replaced")
	}
	return r.enterStep(models.StepChecking, "it answers again")
}

// difference describes how the engine's role and models differ from the desired
// ones. It is empty if they do not.
func (r reconciler) difference() string {
	if r.observed.State.Role != r.desired.Role {
		return fmt.Sprintf("it is in role %s and ought to be in %s", r.observed.State.Role, r.desired.Role)
	}
	for _, model := range r.desired.Models {
		if !slices.Contains(r.observed.State.Models, model) {
			return "it has not loaded " + string(model)
		}
	}
	for _, model := range r.observed.State.Models {
		if !slices.Contains(r.desired.Models, model) {
			return "it has loaded " + string(model) + ", which it ought not to"
		}
	}
	return ""
}

// nextOrder returns the order that brings the engine closer to the desired
// state. Models are unloaded first, to free their memory.
func (r reconciler) nextOrder() models.Order {
	for _, model := range r.observed.State.Models {
		if !slices.Contains(r.desired.Models, model) {
			return models.Order{Kind: models.OrderUnload, Model: model}
		}
	}
	for _, model := range r.desired.Models {
		if !slices.Contains(r.observed.State.Models, model) {
			return models.Order{Kind: models.OrderLoad, Model: model}
		}
	}
	return models.Order{Kind: models.OrderRole, Role: r.desired.Role}
}

// satisfied reports whether the observed state already matches an order.
func (r reconciler) satisfied(order models.Order) bool {
	state := r.observed.State
	switch order.Kind {
	case models.OrderDrain:
		return state.Draining
	case models.OrderResume:
		return !state.Draining
	case models.OrderRole:
		return state.Role == order.Role
	case models.OrderLoad:
		return slices.Contains(state.Models, order.Model)
	}
	return !slices.Contains(state.Models, order.Model)
}

func (r reconciler) noChange(why string) Action {
	return Action{Desired: r.desired, Why: why}
}

// enterStep moves the row to another step and clears its pending order.
func (r reconciler) enterStep(next models.ChangeStep, why string) Action {
	desired := r.desired
	desired.Step = next
	desired.Since = r.now
	desired.Attempts = 0
	desired.Why = why
	desired.PendingOrder = models.Order{}
	return Action{Desired: desired, Changed: true, Why: why}
}

// withOrder adds an order with a unique ID to an action.
func (r reconciler) withOrder(action Action, order models.Order) Action {
	action.Desired.OrderCount++
	action.Desired.Attempts++
	order.Engine = action.Desired.Engine
	order.ID = fmt.Sprintf("%s/%d/%s", order.Engine, action.Desired.OrderCount, order.Kind)
	action.Desired.PendingOrder = order
	action.Changed = true
	action.Order = true
	return action
}

// BeginRoleChange returns the row that starts an engine's change of role.
func BeginRoleChange(desired models.DesiredEngine, change RoleChange, now time.Time) models.DesiredEngine {
	r := reconciler{desired: desired, now: now}
	next := r.enterStep(models.StepDraining, change.Why()).Desired
	next.PreviousRole = desired.Role
	next.PreviousModels = desired.Models
	next.Role = change.To
	return next
}

// BeginModelChange returns the row that starts the load of a model on an
// engine.
func BeginModelChange(desired models.DesiredEngine, change ModelChange, now time.Time) models.DesiredEngine {
	r := reconciler{desired: desired, now: now}
	next := r.enterStep(models.StepDraining, fmt.Sprintf("it is to load %s: %s", change.Load, change.Why)).Desired
	next.PreviousRole = desired.Role
	next.PreviousModels = desired.Models
	next.Models = slices.Sorted(slices.Values(append(without(desired.Models, change.Unload), change.Load)))
	return next
}

// Adopt returns the first row of an engine, with its current state as the
// desired one.
func Adopt(server models.BackendServer, state models.EngineState, now time.Time) models.DesiredEngine {
	return models.DesiredEngine{
		Engine:         server.Engine,
		Zone:           server.Zone,
		Role:           state.Role,
		PreviousRole:   state.Role,
		Models:         slices.Sorted(slices.Values(state.Models)),
		PreviousModels: slices.Sorted(slices.Values(state.Models)),
		Step:           models.StepSteady,
		Since:          now,
		Why:            "it was found in this state",
	}
}
