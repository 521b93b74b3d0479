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
	// maxStreamBytes limits the bytes read from one stream.
	maxStreamBytes = 64 << 20
	// maxPieceBytes limits the bytes read for one piece.
	maxPieceBytes = 64 << 10
	// drainTimeout bounds the wait for the end of the response body after the
	// last piece.
	drainTimeout = 500 * time.Millisecond
)

// stream decodes pieces from a response body.
type stream struct {
	body    io.ReadCloser
	piece   *io.LimitedReader // what may still be read for a piece
	decoder *json.Decoder
	cancel  context.CancelFunc
}

func newStream(body io.ReadCloser, cancel context.CancelFunc) *stream {
	piece := &io.LimitedReader{R: io.LimitReader(body, maxStreamBytes), N: maxPieceBytes}
	return &stream{body: body, piece: piece, decoder: json.NewDecoder(piece), cancel: cancel}
}

// Next implements peer.TokenStream. When ctx is done, the stream is cancelled.
func (s *stream) Next(ctx context.Context) (models.Piece, error) {
	stop := context.AfterFunc(ctx, s.cancel)
	defer stop()
	s.piece.N = maxPieceBytes
	var piece wire.Piece
	if err := s.decoder.Decode(&piece); err != nil {
		return models.Piece{}, peer.NewFailure(peer.OutcomeUnknown, "the engine's stream broke off", err)
	}
	if piece.Finish != nil {
		s.drain(ctx)
	}
	return piece.ToModel(), nil
}

// drain reads the response body to its end, so that net/http can reuse the
// connection.
func (s *stream) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
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
