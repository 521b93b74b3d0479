package entry_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"quincewinch/entry"
	"quincewinch/standin/silence"
)

// outage is what a network partition does to the connections to backend servers.
type outage string

const (
	outageHang      outage = "hang"       // no packet passes, in either direction
	outageReset     outage = "reset"      // open connections are reset, new ones refused
	outageRefuseNew outage = "refuse-new" // open connections live on, new ones are refused
)

// partition cuts off daemons of one process from all backend servers.
type partition struct {
	t       *testing.T
	refused string // address at which nothing listens
	silent  string // address at which no packet is acknowledged

	mu       sync.Mutex
	accepted map[string]*net.TCPConn // open connections of backend servers, by remote address
	links    map[string]*link        // by daemon
}

// link holds the connections of one daemon to backend servers.
type link struct {
	outage outage // empty: none
	open   map[*net.TCPConn]bool
}

func newPartition(t *testing.T) *partition {
	t.Helper()
	is := is.New(t)
	listener, err := silence.Listen(t.Context())
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(listener.Close()) })
	is.NoErr(silence.Begin(listener))
	return &partition{
		t: t, refused: freeAddress(t), silent: listener.Addr().String(),
		accepted: map[string]*net.TCPConn{}, links: map[string]*link{},
	}
}

// watch tracks the connections of a backend server. It implements
// http.Server.ConnState.
func (p *partition) watch(connection net.Conn, state http.ConnState) {
	tcp, ok := connection.(*net.TCPConn)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch state {
	case http.StateNew:
		p.accepted[tcp.RemoteAddr().String()] = tcp
	case http.StateClosed, http.StateHijacked:
		delete(p.accepted, tcp.RemoteAddr().String())
	}
}

// wrapDial returns a function for entry.Daemon.WrapUpstreamDial.
func (p *partition) wrapDial(daemon string) func(entry.Dial) entry.Dial {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &link{open: map[*net.TCPConn]bool{}}
	p.links[daemon] = l
	return func(dial entry.Dial) entry.Dial {
		return func(ctx context.Context, network, address string) (net.Conn, error) {
			p.mu.Lock()
			how := l.outage
			p.mu.Unlock()
			switch how {
			case outageHang:
				address = p.silent
			case outageReset, outageRefuseNew:
				address = p.refused
			}
			connection, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			tcp := connection.(*net.TCPConn)
			l.open[tcp] = true
			return &upstreamConnection{TCPConn: tcp, closed: func() { p.forget(l, tcp) }}, nil
		}
	}
}

// upstreamConnection is a connection to a backend server.
type upstreamConnection struct {
	*net.TCPConn
	closed func()
}

// Close implements net.Conn.
func (c *upstreamConnection) Close() error {
	c.closed()
	return c.TCPConn.Close()
}

func (p *partition) forget(l *link, connection *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(l.open, connection)
}

// cut begins an outage between daemons and all backend servers.
func (p *partition) cut(how outage, daemons ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, daemon := range daemons {
		p.links[daemon].outage = how
		for connection := range p.links[daemon].open {
			server := p.accepted[connection.LocalAddr().String()]
			switch {
			case how == outageHang:
				p.set(connection, silence.Begin)
				p.set(server, silence.Begin)
			case how == outageReset && server != nil:
				_ = server.SetLinger(0) // it may be closed already
				_ = server.Close()
			}
		}
	}
}

// heal ends all outages. Packets that were dropped are sent again by the kernel.
func (p *partition) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		if l.outage == outageHang {
			for connection := range l.open {
				p.set(connection, silence.End)
				p.set(p.accepted[connection.LocalAddr().String()], silence.End)
			}
		}
		l.outage = ""
	}
}

// set begins or ends the silence of a connection that may be nil.
func (p *partition) set(connection *net.TCPConn, change func(syscall.Conn) error) {
	if connection == nil {
		return
	}
	if err := change(connection); err != nil {
		p.t.Error(err)
	}
}
