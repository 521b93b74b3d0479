package fleet

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"quincewinch/models"
)

// RepairLimits bound how long each step of a change may take.
type RepairLimits struct {
	ReplaceAfter time.Duration // an engine that does not answer counts as lost
	StuckAfter   time.Duration // a change that does not end counts as stuck
	DrainLimit   time.Duration // a drain that does not end is taken back
	MaxAttempts  int           // orders of one step
	WrongAnswers int           // checks in a row that tell a wrong answer
	FailedChecks int           // checks in a row without an answer, after a change
}

// DefaultRepairLimits returns the limits of a daemon.
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

// Observed is what is seen of an engine.
type Observed struct {
	Present          bool // it answers
	State            models.EngineState
	UnreachableFor   time.Duration // without an answer
	ChangingFor      time.Duration // in the same change
	ChecksPassed     int           // checks passed in a row since the step began
	WrongAnswers     int           // checks in a row that told a wrong answer
	ChecksUnanswered int           // checks in a row without an answer
}

// Action is what to do next with an engine. Desired is its new row where
// Changed is set; then, where set, the pending order is given or a check made.
type Action struct {
	Desired models.DesiredEngine
	Changed bool
	Order   bool
	Check   bool
	Why     string
}

// NextAction compares desired with observed and returns what brings them
// together. It is a pure function, so that a new holder of the lease goes on
// from the row where the one before it stopped.
func NextAction(desired models.DesiredEngine, seen Observed, now time.Time, limits RepairLimits) Action {
	s := reconciler{desired: desired, observed: seen, now: now, limits: limits}
	if desired.Step == models.StepBroken {
		return s.broken()
	}
	if action, done := s.handleFault(); done {
		return action
	}
	if desired.Step == models.StepChanging && !seen.State.Draining && s.difference() != "" {
		return s.enterStep(models.StepDraining, "it came back from a restart and takes work again")
	}
	if pending := desired.Pending.ID; pending != "" && seen.State.LastOrder != pending && !s.satisfied(desired.Pending) {
		return Action{Desired: desired, Order: true, Why: "the engine has not confirmed order " + pending}
	}
	switch desired.Step {
	case models.StepDraining:
		return s.draining()
	case models.StepChanging:
		return s.changing()
	case models.StepChecking:
		return s.checking()
	}
	return s.steady()
}

// reconciler works out one action.
type reconciler struct {
	desired  models.DesiredEngine
	observed Observed
	now      time.Time
	limits   RepairLimits
}

// handleFault deals with an engine that does not answer, hangs in a change or
// answers wrongly.
func (s reconciler) handleFault() (Action, bool) {
	switch {
	case !s.observed.Present && s.observed.UnreachableFor > s.limits.ReplaceAfter:
		return s.enterStep(models.StepBroken, fmt.Sprintf("it has not answered for %s, over the limit of %s",
			s.observed.UnreachableFor.Round(time.Second), s.limits.ReplaceAfter)), true
	case !s.observed.Present:
		return s.noChange("it does not answer"), true
	case s.observed.ChangingFor > s.limits.StuckAfter:
		return s.enterStep(models.StepBroken, fmt.Sprintf("its change has gone on for %s, over the limit of %s",
			s.observed.ChangingFor.Round(time.Second), s.limits.StuckAfter)), true
	case s.observed.WrongAnswers >= s.limits.WrongAnswers:
		action := s.enterStep(models.StepBroken, fmt.Sprintf("%d checks in a row told a wrong answer", s.observed.WrongAnswers))
		action.Desired.Wrong = true
		return s.withOrder(action, models.Order{Kind: models.OrderDrain}), true
	case s.observed.State.Changing:
		return s.noChange("a change is under way"), true
	}
	return Action{}, false
}

func (s reconciler) steady() Action {
	if difference := s.difference(); difference != "" {
		return s.enterStep(models.StepDraining, difference)
	}
	if s.observed.State.Draining {
		action := Action{Desired: s.desired, Why: "it drains though it ought to work"}
		return s.withOrder(action, models.Order{Kind: models.OrderResume})
	}
	return s.noChange("it is as desired")
}

func (s reconciler) draining() Action {
	state := s.observed.State
	left := state.Running + state.Queued
	switch {
	case !state.Draining:
		action := Action{Desired: s.desired, Why: s.desired.Why}
		return s.withOrder(action, models.Order{Kind: models.OrderDrain})
	case left > 0 && s.now.Sub(s.desired.Since) > s.limits.DrainLimit:
		action := s.enterStep(models.StepChecking, fmt.Sprintf("%d requests still ran after %s, so the change is taken back", left, s.limits.DrainLimit))
		action.Desired.Role = s.desired.Former
		return action
	case left > 0:
		return s.noChange(fmt.Sprintf("%d requests still run", left))
	}
	return s.enterStep(models.StepChanging, "it has drained")
}

func (s reconciler) changing() Action {
	if s.difference() == "" {
		return s.enterStep(models.StepChecking, "its role and models are as desired")
	}
	if s.desired.Tries >= s.limits.MaxAttempts {
		return s.enterStep(models.StepBroken, strconv.Itoa(s.desired.Tries)+" orders did not bring the change about")
	}
	return s.withOrder(Action{Desired: s.desired, Why: s.difference()}, s.nextOrder())
}

func (s reconciler) checking() Action {
	switch {
	case s.difference() != "":
		return s.enterStep(models.StepDraining, s.difference())
	case s.observed.State.Draining:
		return s.withOrder(Action{Desired: s.desired, Why: "the change is done"}, models.Order{Kind: models.OrderResume})
	case s.observed.ChecksPassed > 0:
		return s.enterStep(models.StepSteady, "its answer to a check was right")
	case s.observed.ChecksUnanswered >= s.limits.FailedChecks && !slices.Equal(s.desired.Models, s.desired.FormerModels):
		return s.rollBack()
	case s.observed.ChecksUnanswered >= s.limits.FailedChecks:
		return s.enterStep(models.StepBroken, strconv.Itoa(s.observed.ChecksUnanswered)+" checks got no answer")
	}
	return Action{Desired: s.desired, Check: true, Why: "its answers are checked"}
}

// rollBack returns to the models that the engine served before.
func (s reconciler) rollBack() Action {
	action := s.enterStep(models.StepDraining, fmt.Sprintf("%d checks got no answer, so it goes back from %v to %v",
		s.observed.ChecksUnanswered, s.desired.Models, s.desired.FormerModels))
	action.Desired.Models = s.desired.FormerModels
	return action
}

// broken lets an engine that came back by itself work again, after a check.
func (s reconciler) broken() Action {
	if s.desired.Wrong && s.observed.Present && !s.observed.State.Changing && !s.observed.State.Draining {
		return s.withOrder(Action{Desired: s.desired, Why: "it gave wrong answers"}, models.Order{Kind: models.OrderDrain})
	}
	well := s.observed.Present && !s.observed.State.Changing && !s.desired.Wrong
	if !well || s.observed.ChecksUnanswered >= s.limits.FailedChecks {
		return s.noChange("it waits to be replaced")
	}
	return s.enterStep(models.StepChecking, "it answers again")
}

// difference tells in words how the engine's role and models differ from
// those desired.
func (s reconciler) difference() string {
	if s.observed.State.Role != s.desired.Role {
		return fmt.Sprintf("it is in role %s and ought to be in %s", s.observed.State.Role, s.desired.Role)
	}
	for _, model := range s.desired.Models {
		if !slices.Contains(s.observed.State.Models, model) {
			return "it has not loaded " + string(model)
		}
	}
	for _, model := range s.observed.State.Models {
		if !slices.Contains(s.desired.Models, model) {
			return "it has loaded " + string(model) + ", which it ought not to"
		}
	}
	return ""
}

// nextOrder returns the order that brings the engine closer to what is desired:
// what is not wanted goes first, to free its memory.
func (s reconciler) nextOrder() models.Order {
	for _, model := range s.observed.State.Models {
		if !slices.Contains(s.desired.Models, model) {
			return models.Order{Kind: models.OrderUnload, Model: model}
		}
	}
	for _, model := range s.desired.Models {
		if !slices.Contains(s.observed.State.Models, model) {
			return models.Order{Kind: models.OrderLoad, Model: model}
		}
	}
	return models.Order{Kind: models.OrderRole, Role: s.desired.Role}
}

// satisfied reports whether the state already shows what an order asks for.
func (s reconciler) satisfied(order models.Order) bool {
	state := s.observed.State
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

func (s reconciler) noChange(why string) Action {
	return Action{Desired: s.desired, Why: why}
}

// enterStep begins another step.
func (s reconciler) enterStep(next models.ChangeStep, why string) Action {
	desired := s.desired
	desired.Step = next
	desired.Since = s.now
	desired.Tries = 0
	desired.Why = why
	desired.Pending = models.Order{}
	return Action{Desired: desired, Changed: true, Why: why}
}

// withOrder adds an order with an identity of its own to an action.
func (s reconciler) withOrder(action Action, order models.Order) Action {
	action.Desired.Orders++
	action.Desired.Tries++
	order.Engine = action.Desired.Engine
	order.ID = fmt.Sprintf("%s/%d/%s", order.Engine, action.Desired.Orders, order.Kind)
	action.Desired.Pending = order
	action.Changed = true
	action.Order = true
	return action
}

// BeginRoleChange returns the row of an engine that is to change its role.
func BeginRoleChange(desired models.DesiredEngine, change RoleChange, now time.Time) models.DesiredEngine {
	s := reconciler{desired: desired, now: now}
	next := s.enterStep(models.StepDraining, change.Why()).Desired
	next.Former = desired.Role
	next.FormerModels = desired.Models
	next.Role = change.To
	return next
}

// BeginModelChange returns the row of an engine that is to load a model.
func BeginModelChange(desired models.DesiredEngine, change ModelChange, now time.Time) models.DesiredEngine {
	s := reconciler{desired: desired, now: now}
	next := s.enterStep(models.StepDraining, fmt.Sprintf("it is to load %s: %s", change.Load, change.Why)).Desired
	next.Former = desired.Role
	next.FormerModels = desired.Models
	next.Models = slices.Sorted(slices.Values(append(without(desired.Models, change.Unload), change.Load)))
	return next
}

// Adopt returns the first row of an engine: it ought to be what it is.
func Adopt(server models.BackendServer, state models.EngineState, now time.Time) models.DesiredEngine {
	return models.DesiredEngine{
		Engine:       server.Engine,
		Zone:         server.Zone,
		Role:         state.Role,
		Former:       state.Role,
		Models:       slices.Sorted(slices.Values(state.Models)),
		FormerModels: slices.Sorted(slices.Values(state.Models)),
		Step:         models.StepSteady,
		Since:        now,
		Why:          "it was found in this state",
	}
}
