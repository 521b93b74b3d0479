package logfmt

import (
	"io"
	"sync"
	"sync/atomic"
)

// Writer passes lines to another writer in the background. Write does not wait for it:
// when the buffer is full, the line is dropped and counted.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.RWMutex // held by Write while it uses lines
	closed bool
}

// NewWriter returns a writer that buffers up to the given number of lines for
// out.
func NewWriter(out io.Writer, lines int) *Writer {
	w := &Writer{lines: make(chan []byte, lines), done: make(chan struct{})}
	go w.run(out)
	return w
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		// A failure to write the log cannot be reported anywhere else.
		_, _ = out.Write(line)
	}
}

// Write implements io.Writer. It returns the length of the line also if the
// line is dropped, as each one after Close is: a background task may still be ending.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		w.dropped.Add(1)
		return len(line), nil
	}
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

// Close waits until the buffered lines are written.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
}
