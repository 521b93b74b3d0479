package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/system"
	"quincewinch/platform"
)

const (
	earlyReceiveBuffer = 8 << 10
	longBody           = 16 << 20 // more than the kernel buffers
	earlyAttempts      = 20       // it depends on the scheduler who is told of a reset
	// earlyPause is the time from the answer to the reset: the caller has read the one
	// and waits for more.
	earlyPause = 5 * time.Millisecond
)

// startEarlyServer starts a server that answers requests when it has read a little of
// them, and resets the connection. It returns its address.
func startEarlyServer(t *testing.T, answer string) netip.AddrPort {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			is.New(t).NoErr(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, earlyReceiveBuffer))
		})
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := io.ReadFull(connection, make([]byte, earlyReceiveBuffer)); err == nil {
				_, _ = io.WriteString(connection, answer)
				_ = system.NewClock().Sleep(t.Context(), earlyPause)
			}
			_ = connection.(*net.TCPConn).SetLinger(0)
			_ = connection.Close()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// Guards against an answer without a length that was reset while the request was being
// written, and is taken for whole.
func TestAnswerResetDuringTheRequestIsNotWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nUpstream-Signature: s1\r\n\r\n"
	clock := system.NewClock()
	body := []byte(strings.Repeat("x", longBody))
	send := func(ctx context.Context, to netip.AddrPort) error {
		upstreams := platform.NewUpstreams(platform.NewTransport(upstreamTransport))
		call := models.UpstreamCall{ID: "r1", Method: http.MethodPost, Target: "/x", Body: body, Header: http.Header{}, TimeLeft: time.Minute}
		answer, err := upstreams.Send(ctx, models.Upstream{ID: "i-1", Address: to}, call)
		if err != nil {
			return err
		}
		defer answer.Body.Close()
		_, err = io.ReadAll(answer.Body)
		return err
	}
	write := func(ctx context.Context, to netip.AddrPort) error {
		store := platform.NewStore(to, storeClient(), time.Minute)
		key := models.RowKey{Partition: models.PartitionOrigins, Name: "a"}
		_, err := store.Transact(ctx, models.Transaction{Writes: []models.Write{{Key: key, Value: body}}})
		return err
	}
	report := func(ctx context.Context, to netip.AddrPort) error {
		counts := map[models.Workspace]int64{models.Workspace(body): 1}
		duties := platform.NewDuties(to, dutyClient(), clock, "vm-1")
		return duties.Report(ctx, models.Authority{Fence: 1, Deadline: clock.Now().Add(time.Hour)}, 1, counts)
	}
	for name, test := range map[string]struct {
		body string
		call func(ctx context.Context, to netip.AddrPort) error
	}{
		"plain":  {"ans", send},
		"stream": {"id: 1\ndata: a\n\n", send},
		"store":  {`{"ver":5}`, write},
		"report": {"", report},
	} {
		t.Run(name, func(t *testing.T) {
			to := startEarlyServer(t, head+test.body)
			for range earlyAttempts {
				err := test.call(t.Context(), to)
				is.New(t).True(err != nil)
			}
		})
	}
	t.Run("outcome of a write", func(t *testing.T) {
		is.New(t).Equal(peer.OutcomeOf(write(t.Context(), startEarlyServer(t, head+`{"ver":5}`))), peer.OutcomeUnknown)
	})
}
