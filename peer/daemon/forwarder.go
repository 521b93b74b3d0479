package daemon

import (
	"context"
	"io"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/daemon/proto"
)

const (
	// bodyTimeout bounds the wait for the body of an accepted call. Its memory is
	// reserved meanwhile, and a daemon that is cut off sends neither the rest nor the end.
	bodyTimeout = 2 * time.Second
	// answerBufferBytes is the size of the buffer for the body of an answer.
	answerBufferBytes = 16 << 10
)

// Forwarder makes calls at backend servers for other daemons.
type Forwarder interface {
	// Accept reports whether the daemon makes a call at a backend server whose body has a
	// size in bytes, and takes the memory for it. Its error is a *peer.Failure that gives
	// the reason: OutcomeRefused if only this server is not called, OutcomeNotDone
	// otherwise. The caller calls release at the end of the call.
	Accept(to models.Upstream, bodyBytes int) (release func(), err error)
	peer.Upstreams
}

// forwardStream is the server's side of a forwarded call.
type forwardStream = grpc.BidiStreamingServer[proto.ForwardRequest, proto.ForwardResponse]

// SetForwarder makes the server accept calls at backend servers. It must be called before
// Serve.
func (s *Server) SetForwarder(forwarder Forwarder, clock peer.Clock) {
	s.forwarder = forwarder
	s.clock = clock
}

// Forwarding returns the number of calls at backend servers that run for other daemons. A
// call counts before the forwarder is asked to accept it.
func (s *Server) Forwarding() int {
	return int(s.forwarding.Load())
}

// Forward implements proto.DaemonsServer.
func (s *Server) Forward(stream forwardStream) error {
	if s.forwarder == nil {
		return status.Error(codes.Unimplemented, "this daemon makes no calls at backend servers for others")
	}
	first, err := stream.Recv()
	if err != nil {
		return errors.Trace(err)
	}
	s.forwarding.Add(1)
	defer s.forwarding.Add(-1)
	arrived := s.clock.Now()
	to, call, err := decodeCall(first.GetCall())
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	length := int(first.GetCall().GetBodyLength())
	release, err := s.forwarder.Accept(to, length)
	if err != nil {
		return endWithFailure(stream, peer.OutcomeOf(err), err)
	}
	defer release()
	if err := stream.Send(&proto.ForwardResponse{Part: &proto.ForwardResponse_Accepted{Accepted: &proto.ForwardAccepted{}}}); err != nil {
		return errors.Trace(err)
	}
	call.Body, err = receiveBody(stream, length)
	if err != nil {
		return endWithFailure(stream, peer.OutcomeNotDone, err)
	}
	call.TimeLeft -= s.clock.Now().Sub(arrived)
	switch first.GetCall().GetKind() {
	case proto.ForwardKind_FORWARD_KIND_SEND:
		return s.forwardSend(stream, to, call)
	case proto.ForwardKind_FORWARD_KIND_PREFILL:
		return s.forwardPrefill(stream, to, call)
	case proto.ForwardKind_FORWARD_KIND_FREE:
		return s.forwardFree(stream, to, call)
	}
	return endWithFailure(stream, peer.OutcomeNotDone, errors.Errorf("unknown kind of call %d", first.GetCall().GetKind()))
}

func (s *Server) forwardSend(stream forwardStream, to models.Upstream, call models.UpstreamCall) error {
	answer, err := s.forwarder.Send(stream.Context(), to, call)
	if err != nil {
		return endWithFailure(stream, peer.OutcomeOf(err), err)
	}
	defer answer.Body.Close()
	if err := sendAnswer(stream, answer, models.KVSource{}); err != nil {
		return err
	}
	buffer := make([]byte, answerBufferBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			// Send has copied the bytes when it returns.
			if err := stream.Send(&proto.ForwardResponse{Part: &proto.ForwardResponse_Body{Body: buffer[:n]}}); err != nil {
				return errors.Trace(err)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return endWithFailure(stream, peer.OutcomeUnknown, err)
		}
	}
}

func (s *Server) forwardPrefill(stream forwardStream, to models.Upstream, call models.UpstreamCall) error {
	source, answer, err := s.forwarder.Prefill(stream.Context(), to, call)
	if answer.Status != 0 {
		if err := sendAnswer(stream, answer, source); err != nil {
			return err
		}
	}
	if err != nil {
		return endWithFailure(stream, peer.OutcomeOf(err), err)
	}
	return nil
}

func (s *Server) forwardFree(stream forwardStream, to models.Upstream, call models.UpstreamCall) error {
	if call.KVSource == nil {
		return endWithFailure(stream, peer.OutcomeNotDone, errors.New("nothing to free"))
	}
	if err := s.forwarder.Free(stream.Context(), to, *call.KVSource); err != nil {
		return endWithFailure(stream, peer.OutcomeOf(err), err)
	}
	return nil
}

// receiveBody returns the body of a call once it is whole and the client has ended the
// call's request.
func receiveBody(stream forwardStream, length int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(stream.Context(), bodyTimeout)
	defer cancel()
	type result struct {
		body []byte
		err  error
	}
	received := make(chan result, 1)
	// Receiving cannot be interrupted. It fails once Forward returns.
	go func() {
		body, err := readBody(stream, length)
		received <- result{body, err}
	}()
	select {
	case r := <-received:
		return r.body, r.err
	case <-ctx.Done():
		return nil, errors.Annotate(ctx.Err(), "the body did not arrive")
	}
}

func readBody(stream forwardStream, length int) ([]byte, error) {
	body := make([]byte, 0, length)
	for {
		part, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, errors.Trace(err)
		}
		if len(body)+len(part.GetBody()) > length {
			return nil, errors.Errorf("the body is longer than %d bytes", length)
		}
		body = append(body, part.GetBody()...)
	}
	if len(body) < length {
		return nil, errors.Errorf("the body has %d of %d bytes", len(body), length)
	}
	return body, nil
}

func sendAnswer(stream forwardStream, answer peer.UpstreamResponse, source models.KVSource) error {
	form := encodeAnswer(answer, source)
	return errors.Trace(stream.Send(&proto.ForwardResponse{Part: &proto.ForwardResponse_Answer{Answer: form}}))
}

// endWithFailure ends a call. The status shows it too, so that nothing of the answer is
// taken for whole.
func endWithFailure(stream forwardStream, outcome peer.Outcome, err error) error {
	form := encodeFailure(outcome, err)
	if err := stream.Send(&proto.ForwardResponse{Part: &proto.ForwardResponse_Failure{Failure: form}}); err != nil {
		return errors.Trace(err)
	}
	return status.Error(codes.Aborted, form.GetMessage())
}
