package entry

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"quincewinch/lib/strict"
)

const (
	// followInterval is the pause between two calls for changes in the store.
	// It can be short because the store holds each call until there is a change.
	followInterval = time.Millisecond
	// upstreamDialTimeout bounds opening a connection to a backend server.
	// Backend servers are about one millisecond away, and a lost packet is
	// resent only after one second.
	upstreamDialTimeout = 400 * time.Millisecond
	// storeDialTimeout bounds opening a connection to the store or the platform.
	storeDialTimeout = 500 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// connection is closed. As TCP_USER_TIMEOUT, it also decides when keep-alive gives
	// up, before the number of probes does: at the first probe that is due later than
	// this after the last packet. More than three intervals let a sound server miss two
	// probes: it may be silent for a second or two.
	unackedTimeout = 3200 * time.Millisecond
	// keepAliveInterval and keepAliveProbes detect dead connections on which
	// nothing is being sent.
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	// maxIdleConnections bounds the idle connections to one server.
	maxIdleConnections = 32
	// storeIdleTimeout is how long an idle connection to the store or the
	// platform is kept.
	storeIdleTimeout = 5 * time.Second
	// maxAnswerHeaderBytes bounds the header of an answer, together with the
	// answers in advance (status 1xx) before it.
	maxAnswerHeaderBytes = 64 << 10
)

// dialer returns a dialer whose connections fail soon after the peer stops
// acknowledging data or keep-alive probes.
func dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveInterval,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
		Control: func(_, _ string, connection syscall.RawConn) error {
			var failed error
			err := connection.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}

// dialReset returns a function that opens connections which are reset when they are
// closed. Bytes that a network partition has held up are discarded: they cannot
// arrive once the request has been given up.
func dialReset(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := dialer(timeout)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := connection.(*net.TCPConn); ok {
			err = tcp.SetLinger(0)
		}
		return connection, err
	}
}

// upstreamTransport returns a transport for backend servers that closes
// connections after they have been idle for the given time.
func upstreamTransport(idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:            dialReset(upstreamDialTimeout),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnections,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		IdleConnTimeout:        idle,
		ExpectContinueTimeout:  time.Second,
	}
}

// storeClient returns the client for calls to the store.
func storeClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:            strict.Dial(dialer(storeDialTimeout).DialContext),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnections,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		IdleConnTimeout:        storeIdleTimeout,
	}}
}

// dutyClient returns the client for the calls of a lease holder. A call that a
// network partition has held up must not arrive after the calls of the next holder.
// Answers name no call, so that each call has a connection of its own.
func dutyClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:            strict.Dial(dialReset(storeDialTimeout)),
		DisableCompression:     true,
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	}}
}
