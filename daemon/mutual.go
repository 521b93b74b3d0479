package daemon

import (
	"context"
	"net"

	"google.golang.org/grpc/credentials"
)

// mutualTLS uses separate TLS credentials for the client and the server side:
// the embedded ones as a client, server as a server.
type mutualTLS struct {
	credentials.TransportCredentials
	server credentials.TransportCredentials
}

// ServerHandshake implements credentials.TransportCredentials.
func (m mutualTLS) ServerHandshake(connection net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return m.server.ServerHandshake(connection)
}

// ClientHandshake implements credentials.TransportCredentials.
func (m mutualTLS) ClientHandshake(ctx context.Context, authority string, connection net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return m.TransportCredentials.ClientHandshake(ctx, authority, connection)
}

// Clone implements credentials.TransportCredentials.
func (m mutualTLS) Clone() credentials.TransportCredentials {
	return mutualTLS{m.TransportCredentials.Clone(), m.server.Clone()}
}
