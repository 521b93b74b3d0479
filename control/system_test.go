package control_test

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/control"
	"quincewinch/peer/system"
)

// lateWriter counts what is written after it has been closed.
type lateWriter struct {
	closed atomic.Bool
	late   atomic.Int64
}

// Write implements io.Writer.
func (w *lateWriter) Write(b []byte) (int, error) {
	if w.closed.Load() {
		w.late.Add(1)
	}
	return io.Discard.Write(b)
}

// idleTask is a task that does nothing.
type idleTask struct{}

// Step implements control.Task.
func (idleTask) Step(context.Context) {}

// Guards against ticks that come after the stop: the actor library logs each, to a
// writer that is closed by then.
func TestNothingIsLoggedAfterTheStop(t *testing.T) {
	const rounds = 300
	for range rounds {
		writer := &lateWriter{}
		s := control.NewSystem(system.NewClock(), slog.New(slog.NewTextHandler(writer, nil)))
		for range 16 {
			s.Spawn(idleTask{}, time.Microsecond)
		}
		s.Stop()
		writer.closed.Store(true)
		is.New(t).Equal(writer.late.Load(), int64(0))
		defer func() { is.New(t).Equal(writer.late.Load(), int64(0)) }()
	}
}
