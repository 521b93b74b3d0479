package logfmt

import (
	"io"
	"sync"
	"sync/atomic"
)

// Writer hands lines to another writer in the background. It never blocks who
// logs: a line for which there is no room is dropped and counted.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	close   sync.Once
}

// NewWriter returns a writer that keeps up to a number of lines for out.
func NewWriter(out io.Writer, lines int) *Writer {
	w := &Writer{lines: make(chan []byte, lines), done: make(chan struct{})}
	go w.run(out)
	return w
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		// There is nowhere else to tell that the log cannot be written.
		_, _ = out.Write(line)
	}
}

// Write implements io.Writer. It reports a dropped line as written.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Close writes the lines that are left. Nothing may be logged after it.
func (w *Writer) Close() {
	w.close.Do(func() { close(w.lines) })
	<-w.done
}
