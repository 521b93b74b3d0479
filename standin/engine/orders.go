package engine

import (
	"context"
	"slices"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

// Order implements peer.Engine. Loading a model and changing the role take the
// time of the cost model, during which no requests are admitted; requests in
// flight continue.
func (e *Engine) Order(_ context.Context, order models.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return unreachable()
	}
	if e.settings.ChecksFence && order.Fence < e.state.Fence {
		return peer.NewFailure(peer.OutcomeStale, "old fencing number", nil)
	}
	if order.ID == e.state.LastOrder {
		return nil
	}
	if e.state.Changing {
		return peer.NewFailure(peer.OutcomeRefused, "a change is under way", nil)
	}
	if e.settings.ChecksFence {
		e.state.Fence = order.Fence
	}
	e.orders = append(e.orders, order)
	e.state.LastOrder = order.ID
	e.applyOrder(order)
	if e.faults.LoseOrderAnswer {
		return peer.NewFailure(peer.OutcomeUnknown, "the engine's answer was lost", nil)
	}
	return nil
}

func (e *Engine) applyOrder(order models.Order) {
	switch order.Kind {
	case models.OrderDrain:
		e.state.Draining = true
	case models.OrderResume:
		e.state.Draining = false
	case models.OrderRole:
		e.applyAfter(e.settings.Cost.RoleTime, func() { e.state.Role = order.Role })
	case models.OrderLoad:
		e.applyAfter(e.settings.Cost.LoadTime, func() {
			if !slices.Contains(e.state.Models, order.Model) {
				e.state.Models = append(e.state.Models, order.Model)
			}
		})
	case models.OrderUnload:
		e.state.Models = slices.DeleteFunc(e.state.Models, func(m models.Model) bool { return m == order.Model })
	}
}

// applyAfter applies a change once its duration has passed. The lock must be
// held.
func (e *Engine) applyAfter(duration time.Duration, apply func()) {
	e.state.Changing = true
	go func() {
		_ = e.clock.Sleep(context.Background(), duration)
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.crashed || !e.state.Changing {
			return
		}
		apply()
		e.state.Changing = false
	}()
}
