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

// verdict is what a check of an engine's answers told.
type verdict int

const (
	verdictRight verdict = iota
	verdictWrong
	verdictNone // no whole answer came
)

// check asks an engine for a short answer and judges it, beside the steps of
// the other engines.
func (f *Fleet) check(ctx context.Context, server models.BackendServer) {
	f.mu.Lock()
	w := f.watched[server.Engine]
	w.busy = true
	w.checkedAt = f.peers.Clock.Now()
	loaded := w.state.Models
	id := models.RequestID("check-" + string(server.Engine) + "-" + strconv.FormatInt(w.checkedAt.UnixNano(), 36))
	f.mu.Unlock()
	f.work.Go(func() {
		v := verdictRight
		if len(loaded) > 0 {
			v = f.ask(ctx, server, models.Generation{ID: id, Model: loaded[0], Prompt: checkPrompt, MaxTokens: checkTokens})
		}
		f.judge(w, v)
	})
}

// ask returns what an engine makes of one short request.
func (f *Fleet) ask(ctx context.Context, server models.BackendServer, generation models.Generation) verdict {
	ctx, cancel := context.WithTimeout(ctx, f.settings.CheckTimeout)
	defer cancel()
	engine := f.peers.Engines.Engine(server)
	stream, err := engine.Generate(ctx, generation)
	if err != nil {
		return verdictNone
	}
	defer func() { _ = stream.Close() }()
	for index := 0; ; index++ {
		piece, err := stream.Next(ctx)
		if err != nil {
			_ = engine.Cancel(context.WithoutCancel(ctx), generation.ID)
			return verdictNone
		}
		if !belongs(piece, generation, index) {
			return verdictWrong
		}
		if piece.Done {
			return verdictRight
		}
	}
}

// belongs reports whether a piece is the next one of the answer to a request.
func belongs(piece models.Piece, generation models.Generation, index int) bool {
	if piece.Request != generation.ID || index > generation.MaxTokens {
		return false
	}
	if piece.Done {
		return piece.Finish.Usage.Output == index
	}
	return piece.Index == index && piece.Text != ""
}

// judge counts a verdict.
func (f *Fleet) judge(w *watchedEngine, v verdict) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.busy = false
	switch v {
	case verdictRight:
		w.checked++
		w.wrong, w.unanswered = 0, 0
	case verdictWrong:
		w.wrong++
		w.checked = 0
	case verdictNone:
		w.unanswered++
		w.checked = 0
	}
}
