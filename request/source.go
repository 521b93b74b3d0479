package request

import (
	"context"

	"quincewinch/models"
	"quincewinch/peer"
)

// item is what one read of a stream gave.
type item struct {
	piece models.Piece
	err   error
}

// source reads a stream a bounded number of pieces ahead.
type source struct {
	items  chan item
	cancel context.CancelFunc
	stream peer.TokenStream
}

// open opens a stream. An engine that does not answer within the stall time
// is given up; the stream itself lives until it is stopped.
func (s *Sender) open(ctx context.Context, call func(ctx context.Context) (peer.TokenStream, error)) (*source, error) {
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
	o := &source{items: make(chan item, readAhead), cancel: cancel, stream: stream}
	go o.read(ctx)
	return o, nil
}

func (s *source) read(ctx context.Context) {
	for {
		piece, err := s.stream.Next(ctx)
		select {
		case s.items <- item{piece, err}:
		case <-ctx.Done():
			return
		}
		if err != nil || piece.Done {
			return
		}
	}
}

// stop ends the reading. The request may go on at the engine.
func (s *source) stop() {
	s.cancel()
	_ = s.stream.Close()
}
