package daemon

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/daemon/proto"
)

const (
	// pingInterval is how long nothing arrives on a connection until its client is asked for
	// a sign of life, and pingTimeout how long that may take. grpc sets TCP_USER_TIMEOUT to
	// the latter, so that it has to be longer than a daemon may be silent.
	pingInterval = 5 * time.Second
	pingTimeout  = 3200 * time.Millisecond
)

// Receiver handles calls of the other daemons.
type Receiver interface {
	// Receive processes another daemon's message and returns the reply.
	Receive(message models.Gossip) models.Gossip
	// Events returns matching events of this daemon's own time line.
	Events(filter models.EventFilter) []models.Event
}

// Server is the gRPC server for the other daemons.
type Server struct {
	proto.UnimplementedDaemonsServer
	receiver   Receiver
	shares     ShareReceiver
	changes    ChangeReader
	rows       RowWriter
	forwarder  Forwarder
	clock      peer.Clock
	forwarding atomic.Int64
	server     *grpc.Server
}

// NewServer returns a server for gossip and time lines. It does not listen
// until Serve is called.
func NewServer(receiver Receiver, credentials credentials.TransportCredentials, traffic *Traffic) *Server {
	s := newServer(credentials, traffic)
	s.receiver = receiver
	return s
}

// NewEntryServer returns a server that receives load shares, forwards changes of the
// store and writes rows there. It does not listen until Serve is called.
func NewEntryServer(shares ShareReceiver, changes ChangeReader, rows RowWriter, credentials credentials.TransportCredentials, traffic *Traffic) *Server {
	s := newServer(credentials, traffic)
	s.shares = shares
	s.changes = changes
	s.rows = rows
	return s
}

func newServer(credentials credentials.TransportCredentials, traffic *Traffic) *Server {
	s := &Server{
		server: grpc.NewServer(
			grpc.Creds(credentials),
			grpc.MaxRecvMsgSize(MaxMessageBytes),
			grpc.StatsHandler(traffic),
			grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
		),
	}
	proto.RegisterDaemonsServer(s.server, s)
	return s
}

// Serve accepts connections on a listener until Stop is called.
func (s *Server) Serve(listener net.Listener) error {
	return errors.Trace(s.server.Serve(listener))
}

// Stop closes the listener and all connections.
func (s *Server) Stop() {
	s.server.Stop()
}

// Exchange implements proto.DaemonsServer.
func (s *Server) Exchange(_ context.Context, form *proto.Gossip) (*proto.Gossip, error) {
	if s.receiver == nil {
		return nil, status.Error(codes.Unimplemented, "this daemon neither exchanges gossip nor keeps a time line")
	}
	return EncodeGossip(s.receiver.Receive(DecodeGossip(form))), nil
}

// Events implements proto.DaemonsServer.
func (s *Server) Events(_ context.Context, form *proto.EventFilter) (*proto.EventList, error) {
	if s.receiver == nil {
		return nil, status.Error(codes.Unimplemented, "this daemon neither exchanges gossip nor keeps a time line")
	}
	list := &proto.EventList{}
	for _, event := range s.receiver.Events(decodeFilter(form)) {
		list.Events = append(list.Events, encodeEvent(event))
	}
	return list, nil
}
