package daemon

import (
	"context"
	stderrors "errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"

	"quincewinch/lib/strict"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/daemon/proto"
)

const (
	// acceptTimeout bounds connecting to another daemon until it has accepted a call. A
	// daemon that takes longer is no better than none: the caller waits meanwhile.
	acceptTimeout = 300 * time.Millisecond
	// requestChunkBytes is the size of the parts in which a request's body is sent.
	requestChunkBytes = 32 << 10
)

// errNotAccepted ends the wait for a daemon that does not accept a call.
var errNotAccepted = errors.New("not accepted in time")

// Forwarding makes calls at backend servers by way of another daemon. It implements
// peer.Upstreams.
type Forwarding struct {
	client *Client
	by     netip.AddrPort
}

// Upstreams returns a client that makes calls at backend servers by way of the daemon at
// an address.
func (c *Client) Upstreams(by netip.AddrPort) *Forwarding {
	return &Forwarding{client: c, by: by}
}

// Send implements peer.Upstreams.
func (f *Forwarding) Send(ctx context.Context, to models.Upstream, call models.UpstreamCall) (peer.UpstreamResponse, error) {
	forwarded, err := f.begin(ctx, encodeCall(proto.ForwardKind_FORWARD_KIND_SEND, to, call), call.Body)
	if err != nil {
		return peer.UpstreamResponse{}, err
	}
	answer, _, err := forwarded.answer()
	if err != nil {
		forwarded.cancel(nil)
		return peer.UpstreamResponse{}, err
	}
	answer.Body = forwarded
	return answer, nil
}

// Prefill implements peer.Upstreams.
func (f *Forwarding) Prefill(ctx context.Context, to models.Upstream, call models.UpstreamCall) (models.KVSource, peer.UpstreamResponse, error) {
	forwarded, err := f.begin(ctx, encodeCall(proto.ForwardKind_FORWARD_KIND_PREFILL, to, call), call.Body)
	if err != nil {
		return models.KVSource{}, peer.UpstreamResponse{}, err
	}
	defer forwarded.cancel(nil)
	answer, source, err := forwarded.answer()
	if err != nil {
		return models.KVSource{}, peer.UpstreamResponse{}, err
	}
	answer.Body = http.NoBody
	if err := forwarded.end(); err != nil {
		return models.KVSource{}, answer, err
	}
	return source, answer, nil
}

// Free implements peer.Upstreams.
func (f *Forwarding) Free(ctx context.Context, to models.Upstream, source models.KVSource) error {
	call := models.UpstreamCall{KVSource: &source}
	forwarded, err := f.begin(ctx, encodeCall(proto.ForwardKind_FORWARD_KIND_FREE, to, call), nil)
	if err != nil {
		return err
	}
	defer forwarded.cancel(nil)
	return forwarded.end()
}

// begin sends a call. Until it closes the sending side nothing has run: the other daemon
// waits for that.
func (f *Forwarding) begin(ctx context.Context, form *proto.ForwardedCall, body []byte) (*forwardedCall, error) {
	connection, err := f.client.connection(f.by)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	c := &forwardedCall{ctx: ctx, cancel: cancel, by: f.by}
	err = c.open(connection, form)
	if err == nil {
		err = c.sendBody(body)
	}
	if err != nil {
		defer cancel(nil)
		return nil, c.failure(peer.OutcomeNotDone, err)
	}
	// From here on the call may run. grpc repeats a stream on its own only before the first
	// message of its answer, so that the call runs once.
	if err := c.stream.CloseSend(); err != nil {
		defer cancel(nil)
		return nil, c.failure(peer.OutcomeUnknown, err)
	}
	return c, nil
}

// forwardedCall is a call at a backend server by way of another daemon. It is the body of
// the answer.
type forwardedCall struct {
	ctx      context.Context
	cancel   context.CancelCauseFunc
	by       netip.AddrPort
	stream   grpc.BidiStreamingClient[proto.ForwardRequest, proto.ForwardResponse]
	answered bool
	rest     []byte // received and not read
	ended    error
}

// open sends the head of the call and waits until it is accepted.
func (c *forwardedCall) open(connection *grpc.ClientConn, form *proto.ForwardedCall) error {
	waiting, stop := context.WithTimeout(c.ctx, acceptTimeout)
	defer stop()
	proceed := context.AfterFunc(waiting, func() { c.cancel(errNotAccepted) })
	stream, err := proto.NewDaemonsClient(connection).Forward(c.ctx)
	if err != nil {
		return errors.Trace(err)
	}
	c.stream = stream
	if err := c.send(&proto.ForwardRequest{Part: &proto.ForwardRequest_Call{Call: form}}); err != nil {
		return err
	}
	response, err := stream.Recv()
	if err != nil {
		return errors.Trace(err)
	}
	if failure := response.GetFailure(); failure != nil {
		outcome, err := decodeFailure(failure)
		return peer.NewFailure(outcome, "not accepted", err)
	}
	if response.GetAccepted() == nil {
		return errors.New("neither accepted nor refused")
	}
	if !proceed() {
		return errNotAccepted
	}
	return nil
}

func (c *forwardedCall) sendBody(body []byte) error {
	for len(body) > 0 {
		n := min(len(body), requestChunkBytes)
		if err := c.send(&proto.ForwardRequest{Part: &proto.ForwardRequest_Body{Body: body[:n]}}); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

// send sends a part of the call. If the other daemon has ended the call, it returns why.
func (c *forwardedCall) send(part *proto.ForwardRequest) error {
	err := c.stream.Send(part)
	if !errors.Is(err, io.EOF) {
		return errors.Trace(err)
	}
	response, err := c.stream.Recv()
	if failure := response.GetFailure(); failure != nil {
		_, err = decodeFailure(failure)
	}
	if err == nil || errors.Is(err, io.EOF) {
		return errors.New("ended by the other daemon")
	}
	return errors.Trace(err)
}

// answer waits for the backend server's answer and returns it without its body.
func (c *forwardedCall) answer() (peer.UpstreamResponse, models.KVSource, error) {
	response, err := c.receive()
	if err != nil && !errors.Is(err, io.EOF) {
		return peer.UpstreamResponse{}, models.KVSource{}, err
	}
	form := response.GetAnswer()
	if form == nil {
		return peer.UpstreamResponse{}, models.KVSource{}, c.failure(peer.OutcomeUnknown, errors.New("no answer in the answer"))
	}
	answer, source, err := decodeAnswer(form)
	if err != nil {
		return peer.UpstreamResponse{}, models.KVSource{}, c.failure(peer.OutcomeUnknown, err)
	}
	// A daemon of an earlier version passes on what it should not have accepted.
	if err := strict.Check(answer.Status, answer.Header); err != nil {
		return peer.UpstreamResponse{}, models.KVSource{}, c.failure(peer.OutcomeUnknown, &forwardError{cause: err})
	}
	c.answered = true
	return answer, source, nil
}

// end waits for the end of a call whose answer has no body.
func (c *forwardedCall) end() error {
	_, err := c.receive()
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err == nil {
		return c.failure(peer.OutcomeUnknown, errors.New("more than an answer"))
	}
	return err
}

// receive returns the next part of the answer. At its end the error is io.EOF, otherwise a
// failure.
func (c *forwardedCall) receive() (*proto.ForwardResponse, error) {
	response, err := c.stream.Recv()
	if errors.Is(err, io.EOF) {
		return nil, io.EOF
	}
	if err != nil {
		return nil, c.failure(peer.OutcomeUnknown, err)
	}
	if form := response.GetFailure(); form != nil {
		outcome, err := decodeFailure(form)
		if c.answered {
			outcome = peer.OutcomeUnknown
		}
		return nil, c.failure(outcome, err)
	}
	return response, nil
}

// Read implements io.Reader.
func (c *forwardedCall) Read(p []byte) (int, error) {
	for len(c.rest) == 0 {
		if c.ended != nil {
			return 0, c.ended
		}
		response, err := c.receive()
		if err != nil {
			c.ended = err
			continue
		}
		c.rest = response.GetBody()
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Close implements io.Closer. It ends the call at the other daemon too.
func (c *forwardedCall) Close() error {
	c.cancel(nil)
	return nil
}

// failure returns the failure of the call. What the other daemon has not reported is due
// to the connection to it.
func (c *forwardedCall) failure(outcome peer.Outcome, err error) error {
	var reported *forwardError
	if !stderrors.As(err, &reported) {
		if cause := context.Cause(c.ctx); cause != nil {
			err = cause
		}
		err = &forwardError{cause: err, timeout: true}
	}
	return peer.NewFailure(outcome, "call by way of daemon "+c.by.String(), err)
}

// forwardError is the error of a call at a backend server as the daemon in between reports
// it, or the loss of the connection to that daemon. It implements net.Error.
//
// The loss of that connection is a timeout: nothing arrived from the backend server, which
// has not broken off the call.
type forwardError struct {
	cause   error
	timeout bool
}

// Error returns the text of the cause.
func (e *forwardError) Error() string {
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e *forwardError) Unwrap() error {
	return e.cause
}

// Timeout implements net.Error.
func (e *forwardError) Timeout() bool {
	return e.timeout
}

// Temporary implements net.Error.
func (e *forwardError) Temporary() bool {
	return false
}

// isTimeout reports whether a call failed because nothing arrived in time.
func isTimeout(err error) bool {
	var timeout net.Error
	return stderrors.As(err, &timeout) && timeout.Timeout()
}
