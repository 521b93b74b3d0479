package daemon

import (
	"context"
	"net"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"quincewinch/models"
	"quincewinch/peer/daemon/proto"
)

// Receiver answers the other daemons.
type Receiver interface {
	// Receive takes in what another daemon tells and returns the answer.
	Receive(message models.Gossip) models.Gossip
	// Events returns the events of this daemon alone.
	Events(filter models.EventFilter) []models.Event
}

// Server serves the other daemons.
type Server struct {
	proto.UnimplementedDaemonsServer
	receiver Receiver
	shares   ShareReceiver
	changes  ChangeReader
	server   *grpc.Server
}

// NewServer returns a server that does not listen yet.
func NewServer(receiver Receiver, credentials credentials.TransportCredentials, traffic *Traffic) *Server {
	s := newServer(credentials, traffic)
	s.receiver = receiver
	return s
}

// NewEntryServer returns a server that takes in shares and passes on changes of
// the store, and does not listen yet.
func NewEntryServer(shares ShareReceiver, changes ChangeReader, credentials credentials.TransportCredentials, traffic *Traffic) *Server {
	s := newServer(credentials, traffic)
	s.shares = shares
	s.changes = changes
	return s
}

func newServer(credentials credentials.TransportCredentials, traffic *Traffic) *Server {
	s := &Server{
		server: grpc.NewServer(
			grpc.Creds(credentials),
			grpc.MaxRecvMsgSize(MaxMessageBytes),
			grpc.StatsHandler(traffic),
		),
	}
	proto.RegisterDaemonsServer(s.server, s)
	return s
}

// Serve answers on a listener until Stop.
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
