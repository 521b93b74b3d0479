package request

import (
	"context"

	"quincewinch/models"
)

// maxRecordedAnswer is the maximum size of an answer recorded for replay.
const maxRecordedAnswer = 1 << 20 // bytes

// recorder is a Sink that records the answer while forwarding it to the caller.
// It reports no error when the caller disconnects: the request may not be
// repeated, so the caller's next attempt needs the answer.
type recorder struct {
	sink       Sink
	onComplete func(answer *answerRecord) // called before the answer's end is sent
	completed  bool
	callerGone bool
	bytes      int
	answer     answerRecord
}

func newRecorder(sink Sink, onComplete func(answer *answerRecord)) *recorder {
	return &recorder{sink: sink, onComplete: onComplete}
}

// Piece implements Sink.
func (r *recorder) Piece(ctx context.Context, piece models.Piece) error {
	r.bytes += len(piece.Text)
	switch {
	case piece.Done:
		finish := piece.Finish
		r.answer.finish = &finish
		r.complete()
	case r.bytes <= maxRecordedAnswer:
		r.answer.tokens = append(r.answer.tokens, piece.Text)
	}
	if !r.callerGone {
		r.callerGone = r.sink.Piece(ctx, piece) != nil
	}
	return nil
}

// Answer implements Sink.
func (r *recorder) Answer(ctx context.Context, answer models.ServiceResponse) error {
	r.bytes += len(answer.Body)
	r.answer.service = &answer
	r.complete()
	if !r.callerGone {
		r.callerGone = r.sink.Answer(ctx, answer) != nil
	}
	return nil
}

// complete passes the whole answer to onComplete, or nil if it is too large to
// be recorded.
func (r *recorder) complete() {
	r.completed = true
	if r.bytes > maxRecordedAnswer {
		r.onComplete(nil)
		return
	}
	r.onComplete(&r.answer)
}

// replay delivers a recorded answer to the caller.
func replay(ctx context.Context, e *Exchange, answer *answerRecord) error {
	if answer.service != nil {
		return sinkRefusal(e.Sink.Answer(ctx, *answer.service))
	}
	for i, text := range answer.tokens {
		if err := e.Sink.Piece(ctx, models.Piece{Request: e.ID, Index: i, Text: text}); err != nil {
			return sinkRefusal(err)
		}
	}
	last := models.Piece{Request: e.ID, Index: len(answer.tokens), Done: true, Finish: *answer.finish}
	return sinkRefusal(e.Sink.Piece(ctx, last))
}
