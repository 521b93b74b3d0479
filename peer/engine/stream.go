package engine

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/engine/wire"
)

const (
	// maxStreamBytes bounds what is read of one stream.
	maxStreamBytes = 64 << 20
	// endTimeout is how long the end of a response is waited for after the
	// last piece.
	endTimeout = 500 * time.Millisecond
)

// stream reads pieces from a response's body.
type stream struct {
	body    io.ReadCloser
	decoder *json.Decoder
	cancel  context.CancelFunc
}

func newStream(body io.ReadCloser, cancel context.CancelFunc) *stream {
	limited := io.LimitReader(body, maxStreamBytes)
	return &stream{body: body, decoder: json.NewDecoder(limited), cancel: cancel}
}

// Next implements peer.TokenStream. The end of ctx ends the stream.
func (s *stream) Next(ctx context.Context) (models.Piece, error) {
	stop := context.AfterFunc(ctx, s.cancel)
	defer stop()
	var form wire.Piece
	if err := s.decoder.Decode(&form); err != nil {
		return models.Piece{}, peer.NewFailure(peer.OutcomeUnknown, "the engine's stream broke off", err)
	}
	if form.Finish != nil {
		s.end(ctx)
	}
	return form.Domain(), nil
}

// end reads the end of the response, so that its connection can be used again.
func (s *stream) end(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, s.cancel)
	defer stop()
	var rest json.RawMessage
	_ = s.decoder.Decode(&rest)
}

// Close implements peer.TokenStream.
func (s *stream) Close() error {
	s.cancel()
	return s.body.Close()
}
