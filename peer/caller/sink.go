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

// failTimeout bounds the write of an error to a caller.
const failTimeout = 5 * time.Second

// sink writes an answer to the caller, whole or as server-sent events.
type sink struct {
	w       http.ResponseWriter
	clock   peer.Clock
	id      models.RequestID
	created int64
	request decoded
	text    strings.Builder
	begun   bool // the status line is out
	keyed   bool // an idempotency key makes a further attempt safe
}

// Piece implements request.Sink.
func (s *sink) Piece(ctx context.Context, piece models.Piece) error {
	s.bound(ctx)
	if s.request.stream {
		return s.streamPiece(piece)
	}
	if !piece.Done {
		s.text.WriteString(piece.Text)
		return nil
	}
	form := s.form(s.object(false))
	form.Choices = []choice{s.wholeChoice(string(piece.Finish.Reason))}
	form.Usage = usageForm(piece.Finish.Usage)
	s.begun = true
	s.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(s.w).Encode(form)
}

// bound keeps a caller who takes nothing from holding a write past ctx's
// deadline. A writer without deadlines stays as it is.
func (s *sink) bound(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok {
		_ = http.NewResponseController(s.w).SetWriteDeadline(deadline)
	}
}

// Answer implements request.Sink: a plain service's answer goes as it came.
func (s *sink) Answer(ctx context.Context, answer models.ServiceAnswer) error {
	s.bound(ctx)
	s.begun = true
	copyHeader(s.w.Header(), answer.Header)
	s.w.WriteHeader(answer.Status)
	_, err := s.w.Write(answer.Body)
	return err
}

// fail ends the answer with a refusal.
func (s *sink) fail(refusal *models.Refusal) {
	// The deadline of the last piece may be over.
	_ = http.NewResponseController(s.w).SetWriteDeadline(s.clock.Now().Add(failTimeout))
	if !s.begun {
		refuseAttempt(s.w, refusal, refusal.NotRun || s.keyed)
		return
	}
	if s.request.stream {
		_ = s.event(problemForm(refusal))
	}
}

func (s *sink) streamPiece(piece models.Piece) error {
	if !s.begun {
		s.begun = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
	}
	form := s.form(s.object(true))
	form.Choices = []choice{s.streamChoice(piece)}
	if err := s.event(form); err != nil || !piece.Done {
		return err
	}
	return s.endStream(piece)
}

func (s *sink) endStream(piece models.Piece) error {
	if s.request.includeUsage {
		form := s.form(s.object(true))
		form.Choices = []choice{}
		form.Usage = usageForm(piece.Finish.Usage)
		if err := s.event(form); err != nil {
			return err
		}
	}
	return s.line("data: [DONE]\n\n")
}

func (s *sink) event(form any) error {
	raw, err := json.Marshal(form)
	if err != nil {
		return err
	}
	return s.line("data: " + string(raw) + "\n\n")
}

func (s *sink) line(text string) error {
	if _, err := s.w.Write([]byte(text)); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

func (s *sink) form(object string) answer {
	return answer{
		ID:      string(s.id),
		Object:  object,
		Created: s.created,
		Model:   string(s.request.generation.Model),
	}
}

func (s *sink) object(chunk bool) string {
	switch {
	case !s.request.chat:
		return objectCompletion
	case chunk:
		return objectChatChunk
	}
	return objectChat
}

func (s *sink) wholeChoice(reason string) choice {
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

func usageForm(tokens models.TokenUsage) *usage {
	return &usage{
		PromptTokens:     tokens.Prompt,
		CompletionTokens: tokens.Output,
		TotalTokens:      tokens.Prompt + tokens.Output,
		PromptDetails:    promptDetail{CachedTokens: tokens.Cached},
	}
}
