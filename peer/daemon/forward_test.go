package daemon

import (
	"bytes"
	"context"
	stderrors "errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/daemon/proto"
)

// stepClock is a clock that advances by one second each time that it is read.
type stepClock struct {
	peer.Clock
	reads atomic.Int64
}

// Now implements peer.Clock.
func (c *stepClock) Now() time.Time {
	return time.Unix(c.reads.Add(1), 0)
}

// fakeForwarder makes calls by functions. Without one for Accept it accepts all calls.
type fakeForwarder struct {
	accept  func(to models.Upstream, bodyBytes int) error
	send    func(ctx context.Context, to models.Upstream, call models.UpstreamCall) (peer.UpstreamResponse, error)
	prefill func(ctx context.Context, to models.Upstream, call models.UpstreamCall) (models.KVSource, peer.UpstreamResponse, error)
	free    func(ctx context.Context, to models.Upstream, source models.KVSource) error

	calls    atomic.Int64
	released chan struct{} // a value for each call that has ended
}

func newFakeForwarder() *fakeForwarder {
	return &fakeForwarder{released: make(chan struct{}, 16)}
}

// Accept implements Forwarder.
func (f *fakeForwarder) Accept(to models.Upstream, bodyBytes int) (release func(), err error) {
	if f.accept != nil {
		if err := f.accept(to, bodyBytes); err != nil {
			return nil, err
		}
	}
	return func() { f.released <- struct{}{} }, nil
}

// Send implements peer.Upstreams.
func (f *fakeForwarder) Send(ctx context.Context, to models.Upstream, call models.UpstreamCall) (peer.UpstreamResponse, error) {
	f.calls.Add(1)
	return f.send(ctx, to, call)
}

// Prefill implements peer.Upstreams.
func (f *fakeForwarder) Prefill(ctx context.Context, to models.Upstream, call models.UpstreamCall) (models.KVSource, peer.UpstreamResponse, error) {
	f.calls.Add(1)
	return f.prefill(ctx, to, call)
}

// Free implements peer.Upstreams.
func (f *fakeForwarder) Free(ctx context.Context, to models.Upstream, source models.KVSource) error {
	f.calls.Add(1)
	return f.free(ctx, to, source)
}

// answerWith makes the forwarder answer with a body.
func (f *fakeForwarder) answerWith(answer peer.UpstreamResponse) {
	f.send = func(context.Context, models.Upstream, models.UpstreamCall) (peer.UpstreamResponse, error) {
		return answer, nil
	}
}

// answerUntilCancelled makes the forwarder answer with a body that ends with the call's
// context. Its error is that of the context.
func (f *fakeForwarder) answerUntilCancelled() {
	f.send = func(ctx context.Context, _ models.Upstream, _ models.UpstreamCall) (peer.UpstreamResponse, error) {
		body, writer := io.Pipe()
		context.AfterFunc(ctx, func() { _ = writer.CloseWithError(ctx.Err()) })
		return peer.UpstreamResponse{Status: http.StatusOK, Body: body, Length: -1}, nil
	}
}

// serveForwarder starts a server and returns it with its address.
func serveForwarder(t *testing.T, forwarder Forwarder) (*Server, netip.AddrPort) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := NewEntryServer(nil, nil, nil, insecure.NewCredentials(), &Traffic{})
	if forwarder != nil {
		server.SetForwarder(forwarder, &stepClock{})
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		server.Stop()
		is.NoErr(<-served)
	})
	return server, netip.MustParseAddrPort(listener.Addr().String())
}

// forwardTo returns a client of the server at an address.
func forwardTo(t *testing.T, address netip.AddrPort) *Forwarding {
	t.Helper()
	client := NewClient(insecure.NewCredentials(), time.Minute, &Traffic{})
	client.LimitUnread()
	t.Cleanup(client.Close)
	return client.Upstreams(address)
}

// forwardBy starts a server and returns a client of it.
func forwardBy(t *testing.T, forwarder Forwarder) (*Forwarding, *Server) {
	t.Helper()
	server, address := serveForwarder(t, forwarder)
	return forwardTo(t, address), server
}

func target() models.Upstream {
	return models.Upstream{
		ID: "e", Service: "s", Version: "v", Address: netip.MustParseAddrPort("10.0.0.1:8000"), Zone: "z", Role: models.RoleDecode,
		Started: time.Date(2026, 1, 1, 0, 0, 0, 7, time.UTC),
	}
}

// fullCall returns a call in which every field is set, with bytes that are not UTF-8.
func fullCall() models.UpstreamCall {
	return models.UpstreamCall{
		ID: "r", Method: "PO\xffST", Target: "/p\xff?q=%2f", Host: "h\xff",
		Header: http.Header{"Accept": {"b\xff", "a", "b\xff"}, "X-Empty": {""}}, Body: bytes.Repeat([]byte("0123456789abcdef!"), 10_000),
		Workspace: "w", TimeLeft: time.Minute, Urgency: 3, ResumeAfter: "event-\xff", PrefillOnly: true,
		KVSource: &models.KVSource{Engine: netip.MustParseAddrPort("[fd00::1]:8001"), Handle: "k\xff"},
		CopyFrom: netip.MustParseAddrPort("10.0.0.2:8000"),
	}
}

// fullAnswer returns an answer in which every field but the body is set.
func fullAnswer() peer.UpstreamResponse {
	return peer.UpstreamResponse{
		Status: http.StatusServiceUnavailable, Header: http.Header{"Set-Cookie": {"b\xff", "a"}, "X-Empty": {""}},
		Length: 7, Unframed: true, Unsigned: true, NotRun: true, WrongInstance: true,
		Load: &models.UpstreamLoad{Running: 1, Waiting: 2, Slots: 3, Pace: 1.5},
		Statement: models.ServerStatement{
			Limit: models.StatedLimit{Named: true, Unreadable: true, PerSecond: 0.5}, Leaving: true, RetryAfter: time.Second,
		},
	}
}

// isFailure checks the outcome of a failed call and whether it counts as a timeout.
func isFailure(t *testing.T, err error, outcome peer.Outcome, timeout bool) {
	t.Helper()
	is := is.New(t)
	var failure *peer.Failure
	is.True(stderrors.As(err, &failure))
	is.Equal(failure.Outcome, outcome)
	is.Equal(isTimeout(err), timeout)
}

func TestForwardCodec(t *testing.T) {
	t.Run("call", func(t *testing.T) {
		is := is.New(t)
		to, call, err := decodeCall(encodeCall(proto.ForwardKind_FORWARD_KIND_SEND, target(), fullCall()))
		is.NoErr(err)
		expected := fullCall()
		expected.Body = nil
		is.Equal(to, target())
		is.Equal(call, expected)
	})
	t.Run("call without optional fields", func(t *testing.T) {
		is := is.New(t)
		minimal := models.Upstream{Address: target().Address}
		to, call, err := decodeCall(encodeCall(proto.ForwardKind_FORWARD_KIND_SEND, minimal, models.UpstreamCall{}))
		is.NoErr(err)
		is.Equal(to, minimal)
		is.Equal(call, models.UpstreamCall{Header: http.Header{}})
	})
	t.Run("answer", func(t *testing.T) {
		is := is.New(t)
		answer, source, err := decodeAnswer(encodeAnswer(fullAnswer(), *fullCall().KVSource))
		is.NoErr(err)
		is.Equal(answer, fullAnswer())
		is.Equal(source, *fullCall().KVSource)
	})
	t.Run("answer without optional fields", func(t *testing.T) {
		is := is.New(t)
		answer, source, err := decodeAnswer(encodeAnswer(peer.UpstreamResponse{Length: -1}, models.KVSource{}))
		is.NoErr(err)
		is.Equal(answer, peer.UpstreamResponse{Length: -1, Header: http.Header{}})
		is.Equal(source, models.KVSource{})
	})
	t.Run("malformed calls", func(t *testing.T) {
		for _, form := range []*proto.ForwardedCall{
			nil,
			{},
			{To: &proto.ForwardTarget{Address: "host"}},
			{To: &proto.ForwardTarget{Address: "10.0.0.1:1"}, BodyLength: -1},
			{To: &proto.ForwardTarget{Address: "10.0.0.1:1"}, CopyFrom: "host"},
			{To: &proto.ForwardTarget{Address: "10.0.0.1:1"}, KvSource: &proto.KVSource{Engine: "host"}},
		} {
			_, _, err := decodeCall(form)
			is.New(t).True(err != nil)
		}
	})
	t.Run("outcomes that a call cannot have are unknown", func(t *testing.T) {
		for _, text := range []string{"", "conflict", "unknown"} {
			outcome, _ := decodeFailure(&proto.ForwardFailure{Outcome: text})
			is.New(t).Equal(outcome, peer.OutcomeUnknown)
		}
	})
}

func TestForwardSend(t *testing.T) {
	t.Run("call and answer arrive whole", func(t *testing.T) {
		is := is.New(t)
		forwarder := newFakeForwarder()
		body := bytes.Repeat([]byte("answer "), 50_000)
		var to models.Upstream
		var call models.UpstreamCall
		accepted := 0
		forwarder.accept = func(_ models.Upstream, bodyBytes int) error {
			accepted = bodyBytes
			return nil
		}
		forwarder.send = func(_ context.Context, received models.Upstream, c models.UpstreamCall) (peer.UpstreamResponse, error) {
			to, call = received, c
			answer := fullAnswer()
			answer.Body = io.NopCloser(bytes.NewReader(body))
			return answer, nil
		}
		client, server := forwardBy(t, forwarder)
		answer, err := client.Send(t.Context(), target(), fullCall())
		is.NoErr(err)
		received, err := io.ReadAll(answer.Body)
		is.NoErr(err)
		is.True(bytes.Equal(received, body))
		_, err = answer.Body.Read(make([]byte, 1))
		is.Equal(err, io.EOF)
		is.NoErr(answer.Body.Close())
		answer.Body = nil
		is.Equal(answer, fullAnswer())
		expected := fullCall()
		expected.TimeLeft -= time.Second // that the clock advanced from the head to the call
		is.Equal(to, target())
		is.Equal(call, expected)
		is.Equal(accepted, len(expected.Body))
		<-forwarder.released
		is.Equal(forwarder.calls.Load(), int64(1))
		server.Stop()
		is.Equal(server.Forwarding(), 0)
	})
	t.Run("parts of the answer arrive one by one", func(t *testing.T) {
		is := is.New(t)
		forwarder := newFakeForwarder()
		body, writer := io.Pipe()
		forwarder.answerWith(peer.UpstreamResponse{Status: http.StatusOK, Body: body, Length: -1})
		client, server := forwardBy(t, forwarder)
		answer, err := client.Send(t.Context(), target(), models.UpstreamCall{})
		is.NoErr(err)
		is.Equal(server.Forwarding(), 1)
		for _, event := range []string{"data: 1\n\n", "data: 2\n\n"} {
			_, err := writer.Write([]byte(event))
			is.NoErr(err)
			buffer := make([]byte, len(event))
			_, err = io.ReadFull(answer.Body, buffer)
			is.NoErr(err)
			is.Equal(string(buffer), event)
		}
		is.NoErr(writer.Close())
		_, err = answer.Body.Read(make([]byte, 1))
		is.Equal(err, io.EOF)
	})
	t.Run("by a dial function", func(t *testing.T) {
		is := is.New(t)
		forwarder := newFakeForwarder()
		forwarder.answerWith(peer.UpstreamResponse{Status: http.StatusOK, Body: http.NoBody})
		_, address := serveForwarder(t, forwarder)
		client := NewClient(insecure.NewCredentials(), time.Minute, &Traffic{})
		t.Cleanup(client.Close)
		dialed := make(chan string, 1)
		client.SetDial(func(ctx context.Context, network, address string) (net.Conn, error) {
			dialed <- network + " " + address
			return (&net.Dialer{}).DialContext(ctx, network, address)
		})
		answer, err := client.Upstreams(address).Send(t.Context(), target(), models.UpstreamCall{})
		is.NoErr(err)
		is.NoErr(answer.Body.Close())
		is.Equal(<-dialed, "tcp "+address.String())
	})
}

func TestForwardFailures(t *testing.T) {
	tests := []struct {
		name    string
		err     error
		outcome peer.Outcome
		timeout bool
	}{
		{"not sent", peer.NewFailure(peer.OutcomeNotDone, "why", nil), peer.OutcomeNotDone, false},
		{"connecting timed out", peer.NewFailure(peer.OutcomeNotDone, "why", os.ErrDeadlineExceeded), peer.OutcomeNotDone, true},
		{"no answer", peer.NewFailure(peer.OutcomeUnknown, "why", nil), peer.OutcomeUnknown, false},
		{"no answer in time", peer.NewFailure(peer.OutcomeUnknown, "why", os.ErrDeadlineExceeded), peer.OutcomeUnknown, true},
		{"text that is not UTF-8", errors.New("why \xff"), peer.OutcomeUnknown, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			forwarder := newFakeForwarder()
			forwarder.send = func(context.Context, models.Upstream, models.UpstreamCall) (peer.UpstreamResponse, error) {
				return peer.UpstreamResponse{}, test.err
			}
			client, _ := forwardBy(t, forwarder)
			_, err := client.Send(t.Context(), target(), fullCall())
			isFailure(t, err, test.outcome, test.timeout)
			is.New(t).True(strings.Contains(err.Error(), "why"))
		})
	}
}

func TestForwardNotAccepted(t *testing.T) {
	t.Run("refused", func(t *testing.T) {
		is := is.New(t)
		forwarder := newFakeForwarder()
		forwarder.accept = func(models.Upstream, int) error { return peer.NewFailure(peer.OutcomeNotDone, "not reached", nil) }
		client, _ := forwardBy(t, forwarder)
		_, err := client.Send(t.Context(), target(), fullCall())
		isFailure(t, err, peer.OutcomeNotDone, false)
		is.True(strings.Contains(err.Error(), "not reached"))
		is.Equal(forwarder.calls.Load(), int64(0))
	})
	t.Run("no forwarder", func(t *testing.T) {
		client, _ := forwardBy(t, nil)
		_, err := client.Send(t.Context(), target(), fullCall())
		isFailure(t, err, peer.OutcomeNotDone, true)
	})
	t.Run("no server", func(t *testing.T) {
		is := is.New(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		is.NoErr(listener.Close())
		_, err = forwardTo(t, netip.MustParseAddrPort(listener.Addr().String())).Send(t.Context(), target(), fullCall())
		isFailure(t, err, peer.OutcomeNotDone, true)
	})
	t.Run("server that never speaks", func(t *testing.T) {
		is := is.New(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		t.Cleanup(func() { _ = listener.Close() })
		_, err = forwardTo(t, netip.MustParseAddrPort(listener.Addr().String())).Send(t.Context(), target(), fullCall())
		isFailure(t, err, peer.OutcomeNotDone, true)
		is.True(errors.Is(err, errNotAccepted))
	})
	t.Run("accepted too late", func(t *testing.T) {
		is := is.New(t)
		forwarder := newFakeForwarder()
		late := make(chan struct{})
		forwarder.accept = func(models.Upstream, int) error {
			<-late
			return nil
		}
		client, _ := forwardBy(t, forwarder)
		_, err := client.Send(t.Context(), target(), models.UpstreamCall{})
		isFailure(t, err, peer.OutcomeNotDone, true)
		is.True(errors.Is(err, errNotAccepted))
		close(late)
		<-forwarder.released
		is.Equal(forwarder.calls.Load(), int64(0))
	})
	t.Run("cancelled", func(t *testing.T) {
		is := is.New(t)
		forwarder := newFakeForwarder()
		ctx, cancel := context.WithCancel(t.Context())
		forwarder.accept = func(models.Upstream, int) error {
			cancel()
			return nil
		}
		client, _ := forwardBy(t, forwarder)
		// Larger than what is sent without the other daemon reading it.
		_, err := client.Send(ctx, target(), models.UpstreamCall{Body: make([]byte, 8<<20)})
		isFailure(t, err, peer.OutcomeNotDone, true)
		is.True(errors.Is(err, context.Canceled))
		<-forwarder.released
		is.Equal(forwarder.calls.Load(), int64(0))
	})
}

// TestForwardIncomplete checks that a call does not run unless its body is whole and its
// request has ended.
func TestForwardIncomplete(t *testing.T) {
	bodies := [][]byte{[]byte("abc"), []byte("de")}
	tests := []struct {
		name   string
		length int
		ended  bool
	}{
		{"no end", 5, false},
		{"too short", 6, true},
		{"too long", 4, true},
		{"much too long", 2, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			forwarder := newFakeForwarder()
			_, address := serveForwarder(t, forwarder)
			connection, err := grpc.NewClient("passthrough:///"+address.String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
			is.NoErr(err)
			t.Cleanup(func() { _ = connection.Close() })
			stream, err := proto.NewDaemonsClient(connection).Forward(t.Context())
			is.NoErr(err)
			head := encodeCall(proto.ForwardKind_FORWARD_KIND_SEND, target(), models.UpstreamCall{})
			head.BodyLength = int64(test.length)
			is.NoErr(stream.Send(&proto.ForwardRequest{Part: &proto.ForwardRequest_Call{Call: head}}))
			response, err := stream.Recv()
			is.NoErr(err)
			is.True(response.GetAccepted() != nil)
			for _, body := range bodies {
				_ = stream.Send(&proto.ForwardRequest{Part: &proto.ForwardRequest_Body{Body: body}}) // fails if the server has ended the call
			}
			if test.ended {
				is.NoErr(stream.CloseSend())
			}
			response, err = stream.Recv()
			is.NoErr(err)
			is.Equal(response.GetFailure().GetOutcome(), string(peer.OutcomeNotDone))
			_, err = stream.Recv()
			is.Equal(status.Code(err), codes.Aborted)
			<-forwarder.released
			is.Equal(forwarder.calls.Load(), int64(0))
		})
	}
}

func TestForwardBrokenAnswer(t *testing.T) {
	t.Run("at the backend server", func(t *testing.T) {
		for _, cause := range []error{io.ErrUnexpectedEOF, os.ErrDeadlineExceeded, peer.NewFailure(peer.OutcomeNotDone, "why", nil)} {
			is := is.New(t)
			forwarder := newFakeForwarder()
			body := io.MultiReader(strings.NewReader("half"), errorReader{cause})
			forwarder.answerWith(peer.UpstreamResponse{Status: http.StatusOK, Body: io.NopCloser(body), Length: 8})
			client, _ := forwardBy(t, forwarder)
			answer, err := client.Send(t.Context(), target(), models.UpstreamCall{})
			is.NoErr(err)
			read, err := io.ReadAll(answer.Body)
			is.Equal(string(read), "half")
			isFailure(t, err, peer.OutcomeUnknown, errors.Is(cause, os.ErrDeadlineExceeded))
			_, again := answer.Body.Read(make([]byte, 1))
			is.Equal(again, err)
		}
	})
	t.Run("between the daemons", func(t *testing.T) {
		is := is.New(t)
		forwarder := newFakeForwarder()
		forwarder.answerUntilCancelled()
		client, server := forwardBy(t, forwarder)
		answer, err := client.Send(t.Context(), target(), models.UpstreamCall{})
		is.NoErr(err)
		server.Stop()
		_, err = io.ReadAll(answer.Body)
		isFailure(t, err, peer.OutcomeUnknown, true)
	})
	t.Run("between the daemons before the answer", func(t *testing.T) {
		forwarder := newFakeForwarder()
		client, server := forwardBy(t, forwarder)
		forwarder.send = func(ctx context.Context, _ models.Upstream, _ models.UpstreamCall) (peer.UpstreamResponse, error) {
			server.Stop()
			<-ctx.Done()
			return peer.UpstreamResponse{}, peer.NewFailure(peer.OutcomeNotDone, "why", ctx.Err())
		}
		_, err := client.Send(t.Context(), target(), models.UpstreamCall{})
		isFailure(t, err, peer.OutcomeUnknown, true)
	})
}

// errorReader fails with an error.
type errorReader struct {
	err error
}

// Read implements io.Reader.
func (r errorReader) Read([]byte) (int, error) {
	return 0, r.err
}

func TestForwardCancel(t *testing.T) {
	t.Run("body closed", func(t *testing.T) {
		is := is.New(t)
		forwarder := newFakeForwarder()
		forwarder.answerUntilCancelled()
		client, _ := forwardBy(t, forwarder)
		answer, err := client.Send(t.Context(), target(), models.UpstreamCall{})
		is.NoErr(err)
		is.NoErr(answer.Body.Close())
		<-forwarder.released
		_, err = io.ReadAll(answer.Body)
		isFailure(t, err, peer.OutcomeUnknown, true)
	})
	t.Run("context of the answer", func(t *testing.T) {
		is := is.New(t)
		forwarder := newFakeForwarder()
		forwarder.answerUntilCancelled()
		client, _ := forwardBy(t, forwarder)
		ctx, cancel := context.WithCancel(t.Context())
		answer, err := client.Send(ctx, target(), models.UpstreamCall{})
		is.NoErr(err)
		cancel()
		<-forwarder.released
		_, err = io.ReadAll(answer.Body)
		isFailure(t, err, peer.OutcomeUnknown, true)
		is.True(errors.Is(err, context.Canceled))
	})
	t.Run("context before the answer", func(t *testing.T) {
		forwarder := newFakeForwarder()
		ctx, cancel := context.WithCancel(t.Context())
		forwarder.send = func(ctx context.Context, _ models.Upstream, _ models.UpstreamCall) (peer.UpstreamResponse, error) {
			cancel()
			<-ctx.Done()
			return peer.UpstreamResponse{}, peer.NewFailure(peer.OutcomeUnknown, "why", ctx.Err())
		}
		client, _ := forwardBy(t, forwarder)
		_, err := client.Send(ctx, target(), fullCall())
		isFailure(t, err, peer.OutcomeUnknown, true)
		<-forwarder.released
	})
}

func TestForwardPrefill(t *testing.T) {
	source := models.KVSource{Engine: target().Address, Handle: "k"}
	reason := fullAnswer()
	reason.Body = http.NoBody
	tests := []struct {
		name    string
		source  models.KVSource
		answer  peer.UpstreamResponse
		err     error
		outcome peer.Outcome
	}{
		{"filled", source, reason, nil, ""},
		{"rejected", models.KVSource{}, reason, nil, ""},
		{"handle broke off", models.KVSource{}, reason, peer.NewFailure(peer.OutcomeUnknown, "why", nil), peer.OutcomeUnknown},
		{"not done after an answer", models.KVSource{}, reason, peer.NewFailure(peer.OutcomeNotDone, "why", nil), peer.OutcomeUnknown},
		{"not sent", models.KVSource{}, peer.UpstreamResponse{}, peer.NewFailure(peer.OutcomeNotDone, "why", nil), peer.OutcomeNotDone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			forwarder := newFakeForwarder()
			received := models.UpstreamCall{}
			forwarder.prefill = func(_ context.Context, _ models.Upstream, call models.UpstreamCall) (models.KVSource, peer.UpstreamResponse, error) {
				received = call
				return test.source, test.answer, test.err
			}
			client, _ := forwardBy(t, forwarder)
			filled, answer, err := client.Prefill(t.Context(), target(), fullCall())
			is.Equal(filled, test.source)
			is.Equal(answer, test.answer)
			is.Equal(received.Body, fullCall().Body)
			<-forwarder.released
			if test.outcome == "" {
				is.NoErr(err)
				return
			}
			isFailure(t, err, test.outcome, false)
		})
	}
}

func TestForwardFree(t *testing.T) {
	source := models.KVSource{Engine: target().Address, Handle: "k"}
	for _, failure := range []error{nil, errors.New("why")} {
		is := is.New(t)
		forwarder := newFakeForwarder()
		freed := models.KVSource{}
		forwarder.free = func(_ context.Context, _ models.Upstream, received models.KVSource) error {
			freed = received
			return failure
		}
		client, _ := forwardBy(t, forwarder)
		err := client.Free(t.Context(), target(), source)
		is.Equal(freed, source)
		<-forwarder.released
		if failure == nil {
			is.NoErr(err)
			continue
		}
		isFailure(t, err, peer.OutcomeUnknown, false)
	}
}
