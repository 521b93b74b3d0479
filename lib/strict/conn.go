package strict

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// DialFunc opens connections.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function whose connections report to their reader that they were broken
// off, also if the writer has been told.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: connection}, nil
	}
}

// conn is a connection. The kernel reports a reset, or a timeout, once: if a write is
// blocked at that time it may get the error, and the reader gets the end of the stream as
// if the peer had closed it.
type conn struct {
	net.Conn

	// writing is held during writes.
	writing sync.Mutex
	broken  error // why a write failed; guarded by writing
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	connection, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.NotSupportedf("the descriptor of a connection of another kind")
	}
	return connection.SyscallConn()
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if breaksOff(err) {
		c.broken = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if broken := c.whyBroken(); broken != nil {
			return n, errors.Annotate(broken, "the connection was broken off")
		}
	}
	return n, err
}

// whyBroken returns why a write failed, nil if none did. A write that is under way fails
// now if the connection has gone, and may go on for long if the peer has only ended its
// side: the peer still reads.
func (c *conn) whyBroken() error {
	if !c.writing.TryLock() {
		if !c.gone() {
			return nil
		}
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	return c.broken
}

// gone reports whether the kernel has given up the connection, or it was closed here, as
// net/http does once a write has failed.
func (c *conn) gone() bool {
	control, err := c.SyscallConn()
	if err != nil {
		return false
	}
	gone := false
	err = control.Control(func(fd uintptr) {
		_, err := unix.Getpeername(int(fd))
		gone = errors.Is(err, unix.ENOTCONN)
	})
	return err != nil || gone
}

// breaksOff reports whether an error of a write says that the connection ended before the
// peer had ended its side. EPIPE says that it was after that, or that a write or a read
// has failed before.
func breaksOff(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}
