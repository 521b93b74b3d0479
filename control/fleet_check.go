package control

import (
	"context"
	"strconv"

	"quincewinch/models"
)

const (
	checkPrompt = "check"
	checkTokens = 4
)

// checkResult is the result of a check of an engine's answers.
type checkResult int

const (
	checkPassed checkResult = iota
	checkWrongAnswer
	checkUnanswered // no complete answer arrived
)

// startCheck sends an engine a short request in the background and records
// whether the answer is correct.
func (f *Fleet) startCheck(ctx context.Context, server models.BackendServer) {
	f.mu.Lock()
	w := f.watched[server.Engine]
	w.busy = true
	w.checkedAt = f.peers.Clock.Now()
	loaded := w.state.Models
	id := models.RequestID("check-" + string(server.Engine) + "-" + strconv.FormatInt(w.checkedAt.UnixNano(), 36))
	f.mu.Unlock()
	f.tasks.Go(func() {
		result := checkPassed
		if len(loaded) > 0 {
			result = f.sendCheck(ctx, server, models.Generation{ID: id, Model: loaded[0], Prompt: checkPrompt, MaxTokens: checkTokens})
		}
		f.recordCheck(w, result)
	})
}

// sendCheck sends one short request and validates the answer.
func (f *Fleet) sendCheck(ctx context.Context, server models.BackendServer, generation models.Generation) checkResult {
	ctx, cancel := context.WithTimeout(ctx, f.settings.CheckTimeout)
	defer cancel()
	engine := f.peers.Engines.Engine(server)
	stream, err := engine.Generate(ctx, generation)
	if err != nil {
		return checkUnanswered
	}
	defer func() { _ = stream.Close() }()
	for index := 0; ; index++ {
		piece, err := stream.Next(ctx)
		if err != nil {
			_ = engine.Cancel(context.WithoutCancel(ctx), generation.ID)
			return checkUnanswered
		}
		if !isNextPiece(piece, generation, index) {
			return checkWrongAnswer
		}
		if piece.Done {
			return checkPassed
		}
	}
}

// isNextPiece reports whether a piece is the next one, at the given index, of
// the answer to a request.
func isNextPiece(piece models.Piece, generation models.Generation, index int) bool {
	if piece.Request != generation.ID || index > generation.MaxTokens {
		return false
	}
	if piece.Done {
		return piece.Finish.Usage.Output == index
	}
	return piece.Index == index && piece.Text != ""
}

// recordCheck updates the counts of checks of an engine.
func (f *Fleet) recordCheck(w *watchedEngine, result checkResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.busy = false
	switch result {
	case checkPassed:
		w.passed++
		w.wrongAnswers, w.unanswered = 0, 0
	case checkWrongAnswer:
		w.wrongAnswers++
		w.passed = 0
	case checkUnanswered:
		w.unanswered++
		w.passed = 0
	}
}
