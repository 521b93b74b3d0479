// Package control implements the background tasks of a daemon: configuration,
// membership, leases, the fleet and usage windows. Each is a Task stepped by an
// actor of its own, whose mailbox keeps steps of a task from overlapping.
package control

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"quincewinch/peer"
)

// Task is one control loop.
type Task interface {
	// Step runs one iteration of the loop. Calls never overlap.
	Step(ctx context.Context)
}

// tick asks an actor for one step of its task.
type tick struct{}

// System runs tasks as actors.
type System struct {
	clock  peer.Clock
	actors *actor.ActorSystem
	ctx    context.Context
	cancel context.CancelFunc
	pids   []*actor.PID

	mu    sync.Mutex
	ticks sync.WaitGroup // goroutines that send a tick; none is added once ctx has ended
}

// NewSystem returns a system without tasks. The actor library logs to logger.
func NewSystem(clock peer.Clock, logger *slog.Logger) *System {
	ctx, cancel := context.WithCancel(context.Background())
	factory := func(*actor.ActorSystem) *slog.Logger { return logger }
	return &System{
		clock:  clock,
		actors: actor.NewActorSystem(actor.WithLoggerFactory(factory)),
		ctx:    ctx,
		cancel: cancel,
	}
}

// Spawn starts an actor that steps a task at once, and again an interval after
// each step.
func (s *System) Spawn(task Task, interval time.Duration) {
	props := actor.PropsFromProducer(func() actor.Actor {
		return &stepper{system: s, task: task, interval: interval}
	})
	s.pids = append(s.pids, s.actors.Root.Spawn(props))
}

// Stop ends all tasks and waits for their last step. Nothing is logged after it.
func (s *System) Stop() {
	s.mu.Lock()
	s.cancel()
	s.mu.Unlock()
	// The actor library logs a tick that comes after the end of its actor.
	s.ticks.Wait()
	for _, pid := range s.pids {
		_ = s.actors.Root.StopFuture(pid).Wait()
	}
	s.actors.Shutdown()
}

// stepper is the actor of one task.
type stepper struct {
	system   *System
	task     Task
	interval time.Duration
}

// Receive implements actor.Actor.
func (s *stepper) Receive(c actor.Context) {
	switch c.Message().(type) {
	case *actor.Started, tick:
		s.task.Step(s.system.ctx)
		s.scheduleTick(c.Self())
	}
}

// scheduleTick sends the next tick after the interval, unless the system stops.
func (s *stepper) scheduleTick(self *actor.PID) {
	s.system.mu.Lock()
	defer s.system.mu.Unlock()
	if s.system.ctx.Err() != nil {
		return
	}
	s.system.ticks.Go(func() {
		if s.system.clock.Sleep(s.system.ctx, s.interval) == nil {
			s.system.actors.Root.Send(self, tick{})
		}
	})
}
