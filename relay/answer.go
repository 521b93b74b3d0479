package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"quincewinch/models"
	"quincewinch/peer"
)

const (
	// minFailureStatus is the least status that is no success.
	minFailureStatus = http.StatusMultipleChoices
	// minServerErrorStatus is the least status that says that the backend server
	// failed.
	minServerErrorStatus = http.StatusInternalServerError
	// maxBufferedBytes is up to which size an answer is read whole before any of it
	// is passed on, so that one that breaks off can be had elsewhere.
	maxBufferedBytes = 1 << 20
	// readBufferBytes is the size of the buffer for streams.
	readBufferBytes = 8 << 10
)

// bufferedResponse is an answer that has been read to its end.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

func statusText(status int) string {
	return strconv.Itoa(status)
}

// relayBuffered reads an answer to its end and passes it on.
func (d *delivery) relayBuffered(ctx context.Context, placement Placement, answer peer.UpstreamAnswer) (Result, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedBytes+1))
	if err != nil {
		if ctx.Err() != nil {
			return ResultCancelled, errors.Annotate(err, "the answer was not whole in time")
		}
		return ResultFailed, errors.Annotate(err, "the answer broke off")
	}
	placement.ResponseStarted(answer.Load)
	d.recordUsage()
	if len(body) > maxBufferedBytes {
		return d.relayLarge(ctx, answer, body)
	}
	read := bufferedResponse{status: answer.Status, header: answer.Header, body: body}
	if answer.Status >= minServerErrorStatus {
		return d.serverError(read)
	}
	return ResultServed, d.writeBuffered(ctx, read)
}

// serverError keeps a backend server's own failure. It may have run the request;
// the statuses that promise that it did not are not passed on for a request
// that may run once only.
func (d *delivery) serverError(read bufferedResponse) (Result, error) {
	if d.exchange.Route.Repeatable || !impliesNotRun(read.status) {
		d.fallback = &read
	}
	return ResultFailed, errors.Errorf("the backend server answered %d", read.status)
}

// impliesNotRun reports whether callers take a status as a promise that the
// request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (d *delivery) writeBuffered(ctx context.Context, read bufferedResponse) error {
	e := d.exchange
	if !d.exchange.Route.Repeatable && impliesNotRun(read.status) {
		return &models.Refusal{Code: models.RefusalBackendFailed, Message: "the backend server answered " + statusText(read.status) + " and may have run the request"}
	}
	e.Trace.Status = read.status
	e.Trace.FirstResponseAfter = d.sender.clock.Now().Sub(e.Received)
	d.headerWritten = true
	e.Reply.Begin(read.status, read.header, int64(len(read.body)))
	return d.writeBody(ctx, read.body, false)
}

// relayLarge passes on an answer that is too large to be kept.
func (d *delivery) relayLarge(ctx context.Context, answer peer.UpstreamAnswer, start []byte) (Result, error) {
	d.writeHeader(answer, answer.Length)
	if err := d.writeBody(ctx, start, false); err != nil {
		return ResultCancelled, err
	}
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if failed := d.writeBody(ctx, buffer[:n], false); failed != nil {
			return ResultCancelled, failed
		}
		if errors.Is(err, io.EOF) {
			return ResultServed, nil
		}
		if err != nil {
			return ResultFailed, errors.Annotate(err, "the answer broke off")
		}
	}
}

// relayStream passes events on as they come, whole ones only, so that a stream that
// breaks off can go on at another engine.
func (d *delivery) relayStream(ctx context.Context, placement Placement, answer peer.UpstreamAnswer) (Result, error) {
	d.events.pending = d.events.pending[:0]
	buffer := make([]byte, readBufferBytes)
	first := true
	for {
		n, err := answer.Body.Read(buffer)
		events := d.events.add(buffer[:n])
		if len(events) > 0 {
			if first {
				placement.ResponseStarted(answer.Load)
				d.recordUsage()
				first = false
			}
			if !d.headerWritten {
				d.writeHeader(answer, -1)
			}
			d.exchange.Trace.Events = d.events.count
			if failed := d.writeBody(ctx, events, true); failed != nil {
				return ResultCancelled, failed
			}
		}
		switch {
		case errors.Is(err, io.EOF) && !d.events.partial():
			if !d.headerWritten {
				d.writeHeader(answer, -1)
			}
			return ResultServed, nil
		case err != nil && ctx.Err() != nil:
			return ResultCancelled, errors.Annotate(err, "the stream was not over in time")
		case err != nil:
			return ResultFailed, errors.Annotate(err, "the stream broke off")
		}
	}
}

func (d *delivery) writeHeader(answer peer.UpstreamAnswer, length int64) {
	e := d.exchange
	d.headerWritten = true
	e.Trace.Status = answer.Status
	e.Trace.FirstResponseAfter = d.sender.clock.Now().Sub(e.Received)
	e.Reply.Begin(answer.Status, answer.Header, length)
}

func (d *delivery) writeBody(ctx context.Context, piece []byte, flush bool) error {
	if len(piece) == 0 {
		return nil
	}
	if err := d.exchange.Reply.Write(ctx, piece, flush); err != nil {
		return &models.Refusal{Code: models.RefusalCancelled, Message: "the caller has gone"}
	}
	return nil
}
