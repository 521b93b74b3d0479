package relay

import (
	"context"

	"github.com/juju/errors"
)

// AnswerMemory bounds the memory of large responses that are buffered. It is safe for
// concurrent use.
type AnswerMemory interface {
	// TakeAnswer waits until there is room for a response of a size in bytes. Its error
	// is that of ctx.
	TakeAnswer(ctx context.Context, size int) error
	// ReturnAnswer returns what TakeAnswer took.
	ReturnAnswer(size int)
}

// bufferSlots bounds the number of large responses. It holds a value for each. It
// implements AnswerMemory.
type bufferSlots chan struct{}

// TakeAnswer implements AnswerMemory.
func (s bufferSlots) TakeAnswer(ctx context.Context, _ int) error {
	select {
	case s <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// ReturnAnswer implements AnswerMemory.
func (s bufferSlots) ReturnAnswer(int) {
	<-s
}
