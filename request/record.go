package request

import (
	"context"

	"quincewinch/models"
)

// maxKeptAnswer bounds an answer that is kept to be given again.
const maxKeptAnswer = 1 << 20 // bytes

// recorder keeps the answer that passes to the caller. A caller who is gone
// does not end the request: it may not be repeated, so that its answer is
// wanted by the caller's next attempt.
type recorder struct {
	sink   Sink
	whole  func(answer *answerRecord) // told before the caller gets the end of the answer
	ended  bool
	gone   bool
	bytes  int
	answer answerRecord
}

func newRecorder(sink Sink, whole func(answer *answerRecord)) *recorder {
	return &recorder{sink: sink, whole: whole}
}

// Piece implements Sink.
func (r *recorder) Piece(ctx context.Context, piece models.Piece) error {
	r.bytes += len(piece.Text)
	switch {
	case piece.Done:
		finish := piece.Finish
		r.answer.finish = &finish
		r.end()
	case r.bytes <= maxKeptAnswer:
		r.answer.tokens = append(r.answer.tokens, piece.Text)
	}
	if !r.gone {
		r.gone = r.sink.Piece(ctx, piece) != nil
	}
	return nil
}

// Answer implements Sink.
func (r *recorder) Answer(ctx context.Context, answer models.ServiceResponse) error {
	r.bytes += len(answer.Body)
	r.answer.service = &answer
	r.end()
	if !r.gone {
		r.gone = r.sink.Answer(ctx, answer) != nil
	}
	return nil
}

// end tells of the whole answer, nil where it is too large to be kept.
func (r *recorder) end() {
	r.ended = true
	if r.bytes > maxKeptAnswer {
		r.whole(nil)
		return
	}
	r.whole(&r.answer)
}

// replay gives a kept answer to a caller.
func replay(ctx context.Context, e *Exchange, answer *answerRecord) error {
	if answer.service != nil {
		return delivered(e.Sink.Answer(ctx, *answer.service))
	}
	for i, text := range answer.tokens {
		if err := e.Sink.Piece(ctx, models.Piece{Request: e.ID, Index: i, Text: text}); err != nil {
			return delivered(err)
		}
	}
	last := models.Piece{Request: e.ID, Index: len(answer.tokens), Done: true, Finish: *answer.finish}
	return delivered(e.Sink.Piece(ctx, last))
}
