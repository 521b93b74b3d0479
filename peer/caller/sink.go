package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

const (
	objectChat       = "chat.completion"
	objectChatChunk  = "chat.completion.chunk"
	objectCompletion = "text_completion"
	roleAssistant    = "assistant"
)

// errorWriteTimeout limits how long writing an error to a caller may take.
const errorWriteTimeout = 5 * time.Second

// sink writes an answer to the caller, either as one response or as server-sent
// events.
type sink struct {
	w          http.ResponseWriter
	clock      peer.Clock
	id         models.RequestID
	created    int64
	request    tokenRequest
	text       strings.Builder
	started    bool // the response header has been written
	idempotent bool // an idempotency key makes another attempt safe
}

// Piece implements request.Sink.
func (s *sink) Piece(ctx context.Context, piece models.Piece) error {
	s.setWriteDeadline(ctx)
	if s.request.stream {
		return s.streamPiece(piece)
	}
	if !piece.Done {
		s.text.WriteString(piece.Text)
		return nil
	}
	form := s.newCompletion(s.objectName(false))
	form.Choices = []choice{s.fullChoice(string(piece.Finish.Reason))}
	form.Usage = newUsage(piece.Finish.Usage)
	s.started = true
	s.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(s.w).Encode(form)
}

// setWriteDeadline ends writes at the deadline of ctx, so that a caller that
// does not read cannot block longer. It has no effect on a writer that does not
// support deadlines.
func (s *sink) setWriteDeadline(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok {
		_ = http.NewResponseController(s.w).SetWriteDeadline(deadline)
	}
}

// Answer implements request.Sink. It forwards a plain service's response.
func (s *sink) Answer(ctx context.Context, answer models.ServiceResponse) error {
	s.setWriteDeadline(ctx)
	s.started = true
	copyHeader(s.w.Header(), answer.Header)
	s.w.WriteHeader(answer.Status)
	_, err := s.w.Write(answer.Body)
	return err
}

// fail ends the answer with a refusal. If a stream has already started, the
// refusal is its last event.
func (s *sink) fail(refusal *models.Refusal) {
	// The write deadline set for the last piece may have passed.
	_ = http.NewResponseController(s.w).SetWriteDeadline(s.clock.Now().Add(errorWriteTimeout))
	if !s.started {
		refuseAttempt(s.w, refusal, refusal.NotRun || s.idempotent)
		return
	}
	if s.request.stream {
		_ = s.writeEvent(newErrorBody(refusal))
	}
}

func (s *sink) streamPiece(piece models.Piece) error {
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
	}
	form := s.newCompletion(s.objectName(true))
	form.Choices = []choice{s.streamChoice(piece)}
	if err := s.writeEvent(form); err != nil || !piece.Done {
		return err
	}
	return s.endStream(piece)
}

func (s *sink) endStream(piece models.Piece) error {
	if s.request.includeUsage {
		form := s.newCompletion(s.objectName(true))
		form.Choices = []choice{}
		form.Usage = newUsage(piece.Finish.Usage)
		if err := s.writeEvent(form); err != nil {
			return err
		}
	}
	return s.writeAndFlush("data: [DONE]\n\n")
}

func (s *sink) writeEvent(form any) error {
	raw, err := json.Marshal(form)
	if err != nil {
		return err
	}
	return s.writeAndFlush("data: " + string(raw) + "\n\n")
}

func (s *sink) writeAndFlush(text string) error {
	if _, err := s.w.Write([]byte(text)); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

func (s *sink) newCompletion(object string) completion {
	return completion{
		ID:      string(s.id),
		Object:  object,
		Created: s.created,
		Model:   string(s.request.generation.Model),
	}
}

func (s *sink) objectName(chunk bool) string {
	switch {
	case !s.request.chat:
		return objectCompletion
	case chunk:
		return objectChatChunk
	}
	return objectChat
}

func (s *sink) fullChoice(reason string) choice {
	text := s.text.String()
	if !s.request.chat {
		return choice{Text: &text, FinishReason: &reason}
	}
	return choice{Message: &chatMessage{Role: roleAssistant, Content: text}, FinishReason: &reason}
}

func (s *sink) streamChoice(piece models.Piece) choice {
	var c choice
	if piece.Done {
		reason := string(piece.Finish.Reason)
		c.FinishReason = &reason
	}
	if !s.request.chat {
		c.Text = &piece.Text
		return c
	}
	c.Delta = &chatMessage{Content: piece.Text}
	if piece.Index == 0 {
		c.Delta.Role = roleAssistant
	}
	return c
}

func newUsage(tokens models.TokenUsage) *usage {
	return &usage{
		PromptTokens:     tokens.Prompt,
		CompletionTokens: tokens.Output,
		TotalTokens:      tokens.Prompt + tokens.Output,
		PromptDetails:    promptDetail{CachedTokens: tokens.Cached},
	}
}
