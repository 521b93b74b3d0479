package soak

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
)

// daemonOf returns the name of the daemon that opened a connection to this process, empty
// if it has closed it again.
func (w *world) daemonOf(connection *net.TCPConn) string {
	socket := socketOf(connection.RemoteAddr().(*net.TCPAddr).AddrPort())
	if socket == "" {
		return ""
	}
	for _, daemon := range w.daemons {
		id, ok := daemon.pid()
		if !ok {
			continue
		}
		files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", id))
		if err != nil {
			w.t.Error(err)
			return ""
		}
		for _, file := range files {
			if target, err := os.Readlink(file); err == nil && target == socket {
				return daemon.name
			}
		}
	}
	return ""
}

// socketOf returns the file to which descriptors of the socket with an IPv4 address refer,
// empty if there is none.
func socketOf(local netip.AddrPort) string {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	ip := local.Addr().Unmap().As4()
	want := fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), local.Port())
	for line := range strings.Lines(string(table)) {
		// Fields: number, local address, remote address, state, queues, timer,
		// retransmissions, user, timeout, inode.
		if fields := strings.Fields(line); len(fields) > 9 && fields[1] == want && fields[9] != "0" {
			return "socket:[" + fields[9] + "]"
		}
	}
	return ""
}
