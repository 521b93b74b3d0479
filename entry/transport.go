package entry

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// followInterval is the time between two calls that follow changes; they wait
	// in the store.
	followInterval = time.Millisecond
	// upstreamDialTimeout bounds a new connection to a backend server: they are about
	// a millisecond away, and one lost packet takes a second.
	upstreamDialTimeout = 400 * time.Millisecond
	// storeDialTimeout bounds a new connection to the store.
	storeDialTimeout = 500 * time.Millisecond
	// unackedTimeout is how long sent bytes may go unacknowledged until a
	// connection counts as silent.
	unackedTimeout = 1500 * time.Millisecond
	// keepAliveInterval and keepAliveProbes find connections that went silent
	// while nothing was sent.
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	// maxIdleConnections bounds the unused connections to one backend server.
	maxIdleConnections = 32
	// storeIdleTimeout is how long a connection to the store is kept unused.
	storeIdleTimeout = 5 * time.Second
)

// dialer returns a dialer whose connections fail soon after the other end went
// silent.
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

// upstreamTransport connects to backend servers, and closes connections after a
// time unused.
func upstreamTransport(idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:           dialer(upstreamDialTimeout).DialContext,
		DisableCompression:    true,
		MaxIdleConnsPerHost:   maxIdleConnections,
		IdleConnTimeout:       idle,
		ExpectContinueTimeout: time.Second,
	}
}

// storeClient calls the store.
func storeClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer(storeDialTimeout).DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     storeIdleTimeout,
	}}
}

// dutyClient makes the calls of the lease holder. Its connections are reset
// when they are closed: what a cut network holds back is then lost, and cannot
// arrive after a successor's calls.
func dutyClient() *http.Client {
	d := dialer(storeDialTimeout)
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			if tcp, ok := connection.(*net.TCPConn); ok {
				err = tcp.SetLinger(0)
			}
			return connection, err
		},
		DisableCompression: true,
		IdleConnTimeout:    storeIdleTimeout,
	}}
}
