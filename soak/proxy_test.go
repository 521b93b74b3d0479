package soak

import (
	"net"
	"sync"
	"testing"
	"time"

	"quincewinch/peer/system"
)

// fault is a network fault that a proxy injects.
type fault string

const (
	faultNone    fault = "none"
	faultDelay   fault = "delay"   // data arrives late
	faultReset   fault = "reset"   // open and new connections are reset
	faultSilence fault = "silence" // no data passes in either direction
	faultOneWay  fault = "one-way" // requests pass, answers are held back
)

const (
	// addedDelay is added by faultDelay: about the delay of one retransmission
	// after a lost packet.
	addedDelay = 250 * time.Millisecond
	// copyBufferBytes is the most that is forwarded at once.
	copyBufferBytes = 32 << 10
)

// proxy forwards TCP connections to one address and can inject faults. Data
// held back by a fault is delivered once the fault ends, as on a network.
type proxy struct {
	listener *net.TCPListener
	target   string

	mu      sync.Mutex
	fault   fault
	changed chan struct{} // closed at the next change of the fault
	open    map[*net.TCPConn]bool
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: listener.(*net.TCPListener), target: target, fault: faultNone, changed: make(chan struct{}), open: map[*net.TCPConn]bool{}}
	t.Cleanup(func() { p.listener.Close() })
	go p.accept()
	return p
}

func (p *proxy) address() string {
	return p.listener.Addr().String()
}

// setFault sets the fault. faultReset also resets all open connections.
func (p *proxy) setFault(f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
	if f != faultReset {
		return
	}
	for connection := range p.open {
		reset(connection)
	}
}

func (p *proxy) accept() {
	for {
		connection, err := p.listener.AcceptTCP()
		if err != nil {
			return // closed at the end of the test
		}
		go p.forward(connection)
	}
}

func (p *proxy) forward(caller *net.TCPConn) {
	if p.currentFault() == faultReset {
		reset(caller)
		return
	}
	connection, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(caller)
		return
	}
	callee := connection.(*net.TCPConn)
	p.track(caller, callee)
	defer p.release(caller, callee)
	var both sync.WaitGroup
	both.Go(func() { p.copy(callee, caller, true) })
	both.Go(func() { p.copy(caller, callee, false) })
	both.Wait()
}

// copy forwards one direction of a connection until it ends.
func (p *proxy) copy(to, from *net.TCPConn, request bool) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		p.waitToPass(request)
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite() // it may be closed already
			return
		}
	}
}

// waitToPass blocks until the current fault lets data pass in the given
// direction.
func (p *proxy) waitToPass(request bool) {
	clock := system.NewClock()
	for {
		p.mu.Lock()
		f, changed := p.fault, p.changed
		p.mu.Unlock()
		switch {
		case f == faultSilence, f == faultOneWay && !request:
			<-changed
			continue
		case f == faultDelay:
			timer := clock.NewTimer(addedDelay)
			<-timer.C()
		}
		return
	}
}

func (p *proxy) currentFault() fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *proxy) track(connections ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, connection := range connections {
		p.open[connection] = true
	}
}

// release closes connections and stops tracking them.
func (p *proxy) release(connections ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, connection := range connections {
		delete(p.open, connection)
		_ = connection.Close() // it may be closed already
	}
}

// reset closes a connection with a TCP reset and discards unsent data.
func reset(connection *net.TCPConn) {
	_ = connection.SetLinger(0) // it may be closed already
	_ = connection.Close()
}
