// Package daemon implements the gRPC protocol between daemons.
package daemon

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/daemon/proto"
)

// MaxMessageBytes is the maximum size of a message between daemons.
const MaxMessageBytes = 32 << 20

const (
	// minReconnectDelay and maxReconnectDelay bound the reconnect backoff. It
	// is short because network partitions heal within seconds, and requests are
	// placed badly while daemons do not share their load.
	minReconnectDelay = 100 * time.Millisecond
	maxReconnectDelay = 2 * time.Second
	// reconnectMultiplier is the growth factor of the backoff.
	reconnectMultiplier = 1.6
	// reconnectJitter keeps many daemons from reconnecting at the same time.
	reconnectJitter = 0.2
	// connectTimeout limits one connection attempt.
	connectTimeout = time.Second
	// unreadStreamBytes bounds what a client that limits it holds of an answer that is
	// not read, and unreadConnectionBytes what is under way on a connection.
	unreadStreamBytes     = 64 << 10
	unreadConnectionBytes = 1 << 20
)

// Client calls the other daemons, over one connection to each. It implements
// peer.Daemons.
type Client struct {
	traffic     *Traffic
	credentials credentials.TransportCredentials
	timeout     time.Duration // of one call
	dial        Dial          // nil: the dialer of grpc
	limitUnread bool

	mu          sync.Mutex
	connections map[netip.AddrPort]*grpc.ClientConn
}

// Dial opens connections.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client without connections.
func NewClient(credentials credentials.TransportCredentials, timeout time.Duration, traffic *Traffic) *Client {
	return &Client{
		traffic:     traffic,
		credentials: credentials,
		timeout:     timeout,
		connections: map[netip.AddrPort]*grpc.ClientConn{},
	}
}

// SetDial makes the client open its connections by a function. It must be called before
// the first call.
func (c *Client) SetDial(dial Dial) {
	c.dial = dial
}

// LimitUnread makes the client hold little of answers that are not read. Otherwise grpc
// lets it grow with the speed of the network. It must be called before the first call.
func (c *Client) LimitUnread() {
	c.limitUnread = true
}

// Exchange implements peer.Daemons.
func (c *Client) Exchange(ctx context.Context, to models.VM, message models.Gossip) (models.Gossip, error) {
	connection, err := c.connection(to.Address)
	if err != nil {
		return models.Gossip{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	answer, err := proto.NewDaemonsClient(connection).Exchange(ctx, EncodeGossip(message))
	if err != nil {
		return models.Gossip{}, newUnknownFailure(err)
	}
	return DecodeGossip(answer), nil
}

// Events implements peer.Daemons.
func (c *Client) Events(ctx context.Context, to models.VM, filter models.EventFilter) ([]models.Event, error) {
	connection, err := c.connection(to.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	answer, err := proto.NewDaemonsClient(connection).Events(ctx, encodeFilter(filter))
	if err != nil {
		return nil, newUnknownFailure(err)
	}
	events := make([]models.Event, 0, len(answer.GetEvents()))
	for _, event := range answer.GetEvents() {
		events = append(events, decodeEvent(event))
	}
	return events, nil
}

// CloseExcept closes the connections to all addresses except those given.
func (c *Client) CloseExcept(addresses map[netip.AddrPort]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, connection := range c.connections {
		if !addresses[address] {
			_ = connection.Close()
			delete(c.connections, address)
		}
	}
}

// Drop closes the connection to an address that may have stopped responding.
// The next call opens a new connection.
func (c *Client) Drop(address netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if connection, ok := c.connections[address]; ok {
		_ = connection.Close()
		delete(c.connections, address)
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.CloseExcept(nil)
}

func (c *Client) connection(address netip.AddrPort) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if connection, ok := c.connections[address]; ok {
		return connection, nil
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(c.credentials),
		grpc.WithStatsHandler(c.traffic),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  minReconnectDelay,
				Multiplier: reconnectMultiplier,
				Jitter:     reconnectJitter,
				MaxDelay:   maxReconnectDelay,
			},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes)),
	}
	if c.dial != nil {
		options = append(options, grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return c.dial(ctx, "tcp", address)
		}))
	}
	if c.limitUnread {
		options = append(options, grpc.WithStaticStreamWindowSize(unreadStreamBytes), grpc.WithStaticConnWindowSize(unreadConnectionBytes))
	}
	connection, err := grpc.NewClient("passthrough:///"+address.String(), options...)
	if err != nil {
		return nil, peer.NewFailure(peer.OutcomeNotDone, "connect to daemon "+address.String(), errors.Trace(err))
	}
	c.connections[address] = connection
	return connection, nil
}

// newUnknownFailure wraps the error of a call. The outcome is unknown because
// the other daemon may have processed the message.
func newUnknownFailure(err error) error {
	return peer.NewFailure(peer.OutcomeUnknown, "call to another daemon failed", err)
}
