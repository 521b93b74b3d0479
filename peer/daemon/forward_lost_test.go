package daemon

import (
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc/credentials/insecure"

	"quincewinch/models"
	"quincewinch/standin/silence"
)

// acceptedListener passes on the connections that it accepts.
type acceptedListener struct {
	net.Listener
	accepted chan net.Conn
}

// Accept implements net.Listener.
func (l *acceptedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- connection
	}
	return connection, err
}

// Guards against calls that hold a backend server for a daemon that has gone silently.
func TestForwardedCallOfALostDaemonEnds(t *testing.T) {
	is := is.New(t)
	forwarder := newFakeForwarder()
	forwarder.answerUntilCancelled()
	plain, err := silence.Listen(t.Context())
	is.NoErr(err)
	listener := &acceptedListener{Listener: plain, accepted: make(chan net.Conn, 1)}
	server := NewEntryServer(nil, nil, nil, insecure.NewCredentials(), &Traffic{})
	server.SetForwarder(forwarder, &stepClock{})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	client := NewClient(insecure.NewCredentials(), time.Second, &Traffic{})
	defer client.Close()
	answer, err := client.Upstreams(netip.MustParseAddrPort(plain.Addr().String())).Send(t.Context(), target(), models.UpstreamCall{})
	is.NoErr(err)
	defer answer.Body.Close()
	is.NoErr(silence.Begin((<-listener.accepted).(syscall.Conn)))
	<-forwarder.released
}
