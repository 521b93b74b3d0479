package strict_test

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"quincewinch/lib/strict"
)

const (
	// receiveBuffer is small, so that a long write blocks.
	receiveBuffer = 8 << 10
	longWrite     = 4 << 20
	attempts      = 200 // it depends on the scheduler who is told of a reset
)

// connect returns both ends of a connection.
func connect(t *testing.T) (near net.Conn, far *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			is.NoErr(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer))
		})
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	near, err = strict.Dial((&net.Dialer{}).DialContext)(t.Context(), "tcp", listener.Addr().String())
	is.NoErr(err)
	accepted, err := listener.Accept()
	is.NoErr(err)
	t.Cleanup(func() {
		_ = near.Close()
		_ = accepted.Close()
	})
	return near, accepted.(*net.TCPConn)
}

// write writes more than the buffers hold, in the background.
func write(near net.Conn) (result chan error) {
	result = make(chan error, 1)
	go func() {
		_, err := near.Write(make([]byte, longWrite))
		result <- err
	}()
	return result
}

// Guards against an answer that ends with its connection and looks complete because the
// writer of the request was told of the reset.
func TestResetDuringAWriteIsNoEnd(t *testing.T) {
	for range attempts {
		is := is.New(t)
		near, far := connect(t)
		written := write(near)
		_, err := io.ReadFull(far, make([]byte, receiveBuffer/2)) // the write is under way
		is.NoErr(err)
		_, err = far.Write([]byte("answer"))
		is.NoErr(err)
		_, err = io.ReadFull(near, make([]byte, len("answer")))
		is.NoErr(err)
		is.NoErr(far.SetLinger(0))
		is.NoErr(far.Close())
		_, err = io.ReadAll(near)
		is.True(err != nil) // the connection was reset
		is.True(<-written != nil)
	}
}

// A peer may end its side and read on.
func TestEndDuringAWrite(t *testing.T) {
	is := is.New(t)
	near, far := connect(t)
	written := write(near)
	_, err := far.Write([]byte("answer"))
	is.NoErr(err)
	is.NoErr(far.CloseWrite())
	answer, err := io.ReadAll(near)
	is.NoErr(err)
	is.Equal(string(answer), "answer")
	_, err = io.CopyN(io.Discard, far, longWrite)
	is.NoErr(err)
	is.NoErr(<-written)
}

// A connection that has ended in order stays so, whatever is written to it afterwards.
func TestWritesAfterTheEnd(t *testing.T) {
	is := is.New(t)
	near, far := connect(t)
	_, err := far.Write([]byte("answer"))
	is.NoErr(err)
	is.NoErr(far.Close())
	_, err = io.ReadFull(near, make([]byte, len("answer")))
	is.NoErr(err)
	for err == nil {
		_, err = near.Write([]byte("x"))
	}
	_, err = near.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// Guards against a wrapper that hides why a connection could not be opened.
func TestDialFails(t *testing.T) {
	refused := func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	_, err := strict.Dial(refused)(t.Context(), "tcp", "")
	is.New(t).Equal(err, syscall.ECONNREFUSED)
}
