package request

import (
	"context"

	"quincewinch/models"
	"quincewinch/peer"
)

// streamItem is the result of one read from a stream.
type streamItem struct {
	piece models.Piece
	err   error
}

// streamReader reads up to readAhead pieces ahead of the consumer of a stream.
type streamReader struct {
	items  chan streamItem
	cancel context.CancelFunc
	stream peer.TokenStream
}

// openStream opens a stream and starts reading it. call is cancelled if it does
// not return within the stall timeout. The stream itself stays open until it is
// stopped.
func (s *Sender) openStream(ctx context.Context, call func(ctx context.Context) (peer.TokenStream, error)) (*streamReader, error) {
	ctx, cancel := context.WithCancel(ctx)
	opened := make(chan struct{})
	timer := s.clock.NewTimer(s.settings.StallTimeout)
	go func() {
		select {
		case <-timer.C():
			cancel()
		case <-opened:
			timer.Stop()
		}
	}()
	stream, err := call(ctx)
	close(opened)
	if err != nil {
		cancel()
		return nil, err
	}
	r := &streamReader{items: make(chan streamItem, readAhead), cancel: cancel, stream: stream}
	go r.read(ctx)
	return r, nil
}

func (r *streamReader) read(ctx context.Context) {
	for {
		piece, err := r.stream.Next(ctx)
		select {
		case r.items <- streamItem{piece, err}:
		case <-ctx.Done():
			return
		}
		if err != nil || piece.Done {
			return
		}
	}
}

// stop closes the stream. The request may continue on the engine.
func (r *streamReader) stop() {
	r.cancel()
	_ = r.stream.Close()
}
