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
	// firstFailure is the least status that is no success.
	firstFailure = http.StatusMultipleChoices
	// firstServerError is the least status that says that the backend server
	// failed.
	firstServerError = http.StatusInternalServerError
	// wholeBytes is up to which size an answer is read whole before any of it
	// is passed on, so that one that breaks off can be had elsewhere.
	wholeBytes = 1 << 20
	// pieceBytes is the size of the buffer for streams.
	pieceBytes = 8 << 10
)

// wholeAnswer is an answer that has been read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

func statusText(status int) string {
	return strconv.Itoa(status)
}

// whole reads an answer to its end and passes it on.
func (d *delivery) whole(ctx context.Context, placement Placement, answer peer.UpstreamAnswer) (Result, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, wholeBytes+1))
	if err != nil {
		if ctx.Err() != nil {
			return ResultCancelled, errors.Annotate(err, "the answer was not whole in time")
		}
		return ResultFailed, errors.Annotate(err, "the answer broke off")
	}
	placement.Answered(answer.Load)
	d.count()
	if len(body) > wholeBytes {
		return d.large(ctx, answer, body)
	}
	read := wholeAnswer{status: answer.Status, header: answer.Header, body: body}
	if answer.Status >= firstServerError {
		return d.failed(read)
	}
	return ResultServed, d.deliver(ctx, read)
}

// failed keeps a backend server's own failure. It may have run the request;
// the statuses that promise that it did not are not passed on for a request
// that may run once only.
func (d *delivery) failed(read wholeAnswer) (Result, error) {
	if d.exchange.Route.Repeatable || !promisesNotRun(read.status) {
		d.kept = &read
	}
	return ResultFailed, errors.Errorf("the backend server answered %d", read.status)
}

// promisesNotRun reports whether callers take a status as a promise that the
// request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (d *delivery) deliver(ctx context.Context, read wholeAnswer) error {
	e := d.exchange
	if !d.exchange.Route.Repeatable && promisesNotRun(read.status) {
		return &models.Refusal{Code: models.RefusalBackendFailed, Message: "the backend server answered " + statusText(read.status) + " and may have run the request"}
	}
	e.Trace.Status = read.status
	e.Trace.FirstAfter = d.sender.clock.Now().Sub(e.Received)
	d.begun = true
	e.Reply.Begin(read.status, read.header, int64(len(read.body)))
	return d.write(ctx, read.body, false)
}

// large passes on an answer that is too large to be kept.
func (d *delivery) large(ctx context.Context, answer peer.UpstreamAnswer, start []byte) (Result, error) {
	d.begin(answer, answer.Length)
	if err := d.write(ctx, start, false); err != nil {
		return ResultCancelled, err
	}
	buffer := make([]byte, pieceBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if failed := d.write(ctx, buffer[:n], false); failed != nil {
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

// stream passes events on as they come, whole ones only, so that a stream that
// breaks off can go on at another engine.
func (d *delivery) stream(ctx context.Context, placement Placement, answer peer.UpstreamAnswer) (Result, error) {
	d.events.rest = d.events.rest[:0]
	buffer := make([]byte, pieceBytes)
	first := true
	for {
		n, err := answer.Body.Read(buffer)
		events := d.events.add(buffer[:n])
		if len(events) > 0 {
			if first {
				placement.Answered(answer.Load)
				d.count()
				first = false
			}
			if !d.begun {
				d.begin(answer, -1)
			}
			d.exchange.Trace.Events = d.events.count
			if failed := d.write(ctx, events, true); failed != nil {
				return ResultCancelled, failed
			}
		}
		switch {
		case errors.Is(err, io.EOF) && !d.events.partial():
			if !d.begun {
				d.begin(answer, -1)
			}
			return ResultServed, nil
		case err != nil && ctx.Err() != nil:
			return ResultCancelled, errors.Annotate(err, "the stream was not over in time")
		case err != nil:
			return ResultFailed, errors.Annotate(err, "the stream broke off")
		}
	}
}

func (d *delivery) begin(answer peer.UpstreamAnswer, length int64) {
	e := d.exchange
	d.begun = true
	e.Trace.Status = answer.Status
	e.Trace.FirstAfter = d.sender.clock.Now().Sub(e.Received)
	e.Reply.Begin(answer.Status, answer.Header, length)
}

func (d *delivery) write(ctx context.Context, piece []byte, flush bool) error {
	if len(piece) == 0 {
		return nil
	}
	if err := d.exchange.Reply.Write(ctx, piece, flush); err != nil {
		return &models.Refusal{Code: models.RefusalCancelled, Message: "the caller has gone"}
	}
	return nil
}
