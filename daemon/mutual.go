package daemon

import (
	"context"
	"net"

	"google.golang.org/grpc/credentials"
)

// mutual uses one configuration as a client and another as a server.
type mutual struct {
	credentials.TransportCredentials
	server credentials.TransportCredentials
}

// ServerHandshake implements credentials.TransportCredentials.
func (m mutual) ServerHandshake(connection net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return m.server.ServerHandshake(connection)
}

// ClientHandshake implements credentials.TransportCredentials.
func (m mutual) ClientHandshake(ctx context.Context, authority string, connection net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return m.TransportCredentials.ClientHandshake(ctx, authority, connection)
}

// Clone implements credentials.TransportCredentials.
func (m mutual) Clone() credentials.TransportCredentials {
	return mutual{m.TransportCredentials.Clone(), m.server.Clone()}
}
