package caller

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer/system"
	"quincewinch/request"
)

// pipeListener is a listener for in-memory connections.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
}

func (p pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.connections:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p pipeListener) Close() error {
	close(p.closed)
	return nil
}

func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// endlessHandler writes tokens until a write fails, each with a deadline after
// writeTimeout. It then reports how long it ran.
type endlessHandler struct {
	writeTimeout time.Duration
	ended        chan time.Duration
}

func (p endlessHandler) Handle(ctx context.Context, e *request.Exchange) error {
	clock := system.NewClock()
	begin := clock.Now()
	for {
		writeCtx, cancel := context.WithTimeout(ctx, p.writeTimeout)
		err := e.Sink.Piece(writeCtx, models.Piece{Text: " oak"})
		cancel()
		if err != nil {
			p.ended <- clock.Now().Sub(begin)
			return &models.Refusal{Code: models.RefusalCancelled}
		}
	}
}

// TestWriteToStalledCallerTimesOut guards against a caller that stops reading
// and so blocks the write of a stream past its deadline.
func TestWriteToStalledCallerTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		chain := endlessHandler{writeTimeout: 10 * time.Second, ended: make(chan time.Duration, 1)}
		handler := NewHandler(chain, nil, system.NewClock(), func() models.RequestID { return "r" }, Settings{MaxBodyBytes: bodyLimit, Timeout: time.Minute})
		listener := pipeListener{connections: make(chan net.Conn, 1), closed: make(chan struct{})}
		server := &http.Server{Handler: handler}
		go func() { _ = server.Serve(listener) }()
		ours, theirs := net.Pipe()
		listener.connections <- theirs
		r, err := http.NewRequest(http.MethodPost, "http://entry/v1/completions", strings.NewReader(`{"model": "m", "prompt": "x", "stream": true}`))
		is.NoErr(err)
		is.NoErr(r.Write(ours)) // the caller never reads
		is.Equal(<-chain.ended, chain.writeTimeout)
		is.NoErr(server.Close())
		is.NoErr(ours.Close())
		_ = system.NewClock().Sleep(t.Context(), time.Minute)
	})
}
