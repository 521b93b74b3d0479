// Package silence makes connections on this machine fall silent, as in a network
// partition: packets that arrive are neither delivered nor acknowledged, and what was
// sent is sent again by the kernel once the silence is over.
package silence

import (
	"context"
	"net"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Listen listens at a free port of this machine, without Multipath TCP: its sockets
// cannot be silenced.
func Listen(ctx context.Context) (*net.TCPListener, error) {
	var plain net.ListenConfig
	plain.SetMultipathTCP(false)
	listener, err := plain.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	return listener.(*net.TCPListener), nil
}

// Begin makes a socket ignore all packets that arrive. Both ends of a connection have to
// be silenced to stop both directions.
func Begin(socket syscall.Conn) error {
	none := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	return control(socket, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &none})
	})
}

// End ends what Begin has begun.
func End(socket syscall.Conn) error {
	return control(socket, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	})
}

// control calls set with the descriptor of a socket. A socket that is closed is left
// alone.
func control(socket syscall.Conn, set func(fd int) error) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return errors.Trace(err)
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = set(int(fd)) })
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Trace(err)
	}
	return errors.Trace(failed)
}
