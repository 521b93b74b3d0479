package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"quincewinch/models"
	"quincewinch/peer"
)

const (
	// minFailureStatus is the lowest status that is not a success.
	minFailureStatus = http.StatusMultipleChoices
	// minServerErrorStatus is the lowest status that reports a failure of the
	// backend server.
	minServerErrorStatus = http.StatusInternalServerError
	// maxBufferedBytes is the largest response body that is buffered in full
	// before any of it is relayed, so that a truncated one can be retried
	// elsewhere.
	maxBufferedBytes = 1 << 20
	// smallBytes is the size up to which a response is buffered at once.
	smallBytes = 16 << 10
	// maxLargeBuffers is the number of responses above smallBytes that a sender
	// without an AnswerMemory buffers at the same time; others wait with their
	// backend server.
	maxLargeBuffers = 32
	// readBufferBytes is the size of the read buffer for streams and for bodies
	// above maxBufferedBytes.
	readBufferBytes = 8 << 10
)

// bufferedResponse is a response that has been read to its end.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

func statusText(status int) string {
	return strconv.Itoa(status)
}

// relayBuffered reads a response to its end and relays it. One above
// maxBufferedBytes is left to relayLarge if it states its length; another may
// have no end.
func (d *delivery) relayBuffered(ctx context.Context, placement Placement, answer peer.UpstreamResponse) (Result, error) {
	d.answerBegun()
	body, err := d.readBuffered(ctx, answer)
	if err != nil {
		if ctx.Err() != nil {
			return ResultCancelled, errors.Annotate(err, "the answer was not whole in time")
		}
		d.runBroken(ctx, err)
		return ResultFailed, errors.Annotate(err, "the answer broke off")
	}
	if len(body) == 0 && answer.Unframed && answer.Status < minFailureStatus {
		// An engine that crashes closes its connection in the same way.
		d.runBroken(ctx, io.EOF)
		return ResultFailed, errors.New("the answer ended with its connection before its body")
	}
	if len(body) > maxBufferedBytes && answer.Length < 0 {
		return ResultFailed, errors.Errorf("the answer states no length and has no end within %d bytes", maxBufferedBytes)
	}
	placement.ResponseStarted(answer.Load)
	d.recordUsage()
	if len(body) > maxBufferedBytes && !d.mayRelayLarge(answer.Status) {
		return ResultFailed, errors.Errorf("the backend server answered %d with more than %d bytes", answer.Status, maxBufferedBytes)
	}
	if len(body) > maxBufferedBytes {
		return d.relayLarge(ctx, answer, body)
	}
	response := bufferedResponse{status: answer.Status, header: answer.Header, body: body}
	if answer.Status >= minServerErrorStatus {
		return d.serverError(response)
	}
	if answer.Status < minFailureStatus {
		d.runCompleted(answer)
	}
	return ResultServed, d.writeBuffered(ctx, response)
}

// readBuffered reads a response, and one above maxBufferedBytes to one byte more.
func (d *delivery) readBuffered(ctx context.Context, answer peer.UpstreamResponse) ([]byte, error) {
	var buffer bytes.Buffer
	if _, err := buffer.ReadFrom(io.LimitReader(answer.Body, smallBytes)); err != nil {
		return nil, errors.Trace(err)
	}
	if buffer.Len() < smallBytes {
		return buffer.Bytes(), nil
	}
	size := int64(maxBufferedBytes + 1)
	if answer.Length >= 0 {
		size = min(answer.Length, size)
	}
	if err := d.takeLargeBuffer(ctx, int(max(size, smallBytes))); err != nil {
		return nil, err
	}
	buffer.Grow(int(max(size-smallBytes, 0)) + bytes.MinRead)
	if _, err := buffer.ReadFrom(io.LimitReader(answer.Body, maxBufferedBytes+1-smallBytes)); err != nil {
		return nil, errors.Trace(err)
	}
	return buffer.Bytes(), nil
}

// takeLargeBuffer waits until the request may buffer a large response of a size in
// bytes. It may then until it ends, or until releaseLargeBuffer.
func (d *delivery) takeLargeBuffer(ctx context.Context, size int) error {
	if size <= d.largeBuffer {
		return nil
	}
	d.releaseLargeBuffer() // of an attempt before
	if err := d.sender.memory.TakeAnswer(ctx, size); err != nil {
		return errors.Annotate(err, "too many large answers at the same time")
	}
	d.largeBuffer = size
	return nil
}

func (d *delivery) releaseLargeBuffer() {
	if d.largeBuffer > 0 {
		d.sender.memory.ReturnAnswer(d.largeBuffer)
		d.largeBuffer = 0
	}
}

// mayRelayLarge reports whether a response with a status may be relayed before it
// has ended: not an error that another attempt may avoid, and not one that would
// be taken to mean that the request has not run.
func (d *delivery) mayRelayLarge(status int) bool {
	if d.exchange.Route.Repeatable {
		return status < minServerErrorStatus
	}
	return !impliesNotRun(status)
}

// serverError keeps an error response of a backend server as the fallback. The
// server may have run the request, so for a non-repeatable route a status that
// implies otherwise is not relayed.
func (d *delivery) serverError(response bufferedResponse) (Result, error) {
	if d.exchange.Route.Repeatable || !impliesNotRun(response.status) {
		d.fallback = &response
	}
	return ResultFailed, errors.Errorf("the backend server answered %d", response.status)
}

// impliesNotRun reports whether callers take a status to mean that the request
// has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// writeBuffered relays a buffered response.
func (d *delivery) writeBuffered(ctx context.Context, response bufferedResponse) error {
	e := d.exchange
	if !d.exchange.Route.Repeatable && impliesNotRun(response.status) {
		return &models.Refusal{Code: models.RefusalBackendFailed, Message: "the backend server answered " + statusText(response.status) + " and may have run the request"}
	}
	e.Trace.Status = response.status
	e.Trace.FirstResponseAfter = d.sender.clock.Now().Sub(e.Received)
	d.headerWritten = true
	e.Reply.Begin(response.status, response.header, int64(len(response.body)))
	return d.writeBody(ctx, response.body, false)
}

// relayLarge relays a response that is too large to be buffered. prefix is the
// part already read.
func (d *delivery) relayLarge(ctx context.Context, answer peer.UpstreamResponse, prefix []byte) (Result, error) {
	d.writeHeader(answer, answer.Length)
	if err := d.writeBody(ctx, prefix, false); err != nil {
		return ResultCancelled, err
	}
	d.releaseLargeBuffer()
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if writeErr := d.writeBody(ctx, buffer[:n], false); writeErr != nil {
			return ResultCancelled, writeErr
		}
		if errors.Is(err, io.EOF) {
			d.runCompleted(answer)
			return ResultServed, nil
		}
		if err != nil {
			d.runBroken(ctx, err)
			return ResultFailed, errors.Annotate(err, "the answer broke off")
		}
	}
}

// relayStream relays events as they arrive, and only complete ones, so that an
// interrupted stream can be resumed at another engine.
func (d *delivery) relayStream(ctx context.Context, placement Placement, answer peer.UpstreamResponse) (Result, error) {
	d.events.reset()
	eventsBefore := d.events.count
	buffer := make([]byte, readBufferBytes)
	first := true
	for {
		n, err := answer.Body.Read(buffer)
		events := d.events.add(buffer[:n])
		if len(events) > 0 {
			if first {
				placement.ResponseStarted(answer.Load)
				d.recordUsage()
				d.answerBegun()
				first = false
			}
			if originErr := d.recordOrigin(placement); originErr != nil {
				return ResultFailed, originErr
			}
			if !d.headerWritten {
				d.shareOrigin(*d.exchange.Origin)
				d.writeHeader(answer, -1)
			}
			d.exchange.Trace.Events = d.events.count
			if writeErr := d.writeBody(ctx, events, true); writeErr != nil {
				return ResultCancelled, writeErr
			}
		}
		d.verifyOrigin(placement)
		switch {
		case d.events.malformed:
			return ResultFailed, errors.New("the stream has bytes that are no event")
		case d.events.tooLarge():
			return ResultFailed, errors.Errorf("an event of the stream has no end within %d bytes", maxEventBytes)
		case errors.Is(err, io.EOF) && answer.Unframed && d.events.count == eventsBefore:
			// An engine that crashes closes its connection in the same way.
			d.runBroken(ctx, err)
			return ResultFailed, errors.New("the stream ended with its connection before an event")
		case errors.Is(err, io.EOF) && !d.events.partial():
			if !d.headerWritten {
				d.writeHeader(answer, -1)
			}
			if events := d.events.count - eventsBefore; events > 1 || events == 1 && !answer.Unframed {
				d.sender.guard.Completed(d.current)
			}
			return ResultServed, nil
		case err != nil && ctx.Err() != nil:
			return ResultCancelled, errors.Annotate(err, "the stream was not over in time")
		case err != nil:
			d.runBroken(ctx, err)
			return ResultFailed, errors.Annotate(err, "the stream broke off")
		}
	}
}

// recordOrigin records the software that begins a stream. Its error means that
// events of a run that continues one must not be relayed: the engine may have
// restarted with another version under the registration by which it was chosen.
func (d *delivery) recordOrigin(placement Placement) error {
	software, certain := placement.Software()
	if d.exchange.Origin == nil {
		d.exchange.Origin = &software
		d.origin = placement
	}
	if certain || d.origin == placement {
		return nil
	}
	return errors.Errorf("the engine is registered with another version than %q, which began the stream", software.Version)
}

// verifyOrigin checks, while the run that began a stream goes on, that its
// engine has not been replaced by one of another version.
func (d *delivery) verifyOrigin(placement Placement) {
	if _, certain := placement.Software(); d.origin == placement && !certain && !d.originUncertain {
		d.originUncertain = true
		d.shareOrigin(models.Software{})
	}
}

// shareOrigin records the software that begins the stream of a request that the
// caller may resume, also for the other daemons.
func (d *delivery) shareOrigin(software models.Software) {
	if !d.exchange.Route.Resumable {
		return
	}
	d.originRevision++
	d.sender.origins.Record(d.exchange.ID, software, d.originRevision, len(d.exchange.Route.Targets) > 1, originExpiry(d.exchange))
}

// writeHeader relays the status and the header of a response. A length below
// zero is unknown.
func (d *delivery) writeHeader(answer peer.UpstreamResponse, length int64) {
	e := d.exchange
	d.headerWritten = true
	e.Trace.Status = answer.Status
	e.Trace.FirstResponseAfter = d.sender.clock.Now().Sub(e.Received)
	d.begun = kindOf(answer)
	e.Reply.Begin(answer.Status, answer.Header, length)
}

// writeBody relays a chunk of the body. Its error is a *models.Refusal.
func (d *delivery) writeBody(ctx context.Context, chunk []byte, flush bool) error {
	if len(chunk) == 0 {
		return nil
	}
	if err := d.exchange.Reply.Write(ctx, chunk, flush); err != nil {
		return &models.Refusal{Code: models.RefusalCancelled, Message: "the caller has gone"}
	}
	return nil
}
