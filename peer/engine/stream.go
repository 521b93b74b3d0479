package engine

import (
	"context"
	"encoding/json"
	"io"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/engine/wire"
)

// maxStreamBytes bounds what is read of one stream.
const maxStreamBytes = 64 << 20

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
	return form.Domain(), nil
}

// Close implements peer.TokenStream.
func (s *stream) Close() error {
	s.cancel()
	return s.body.Close()
}
