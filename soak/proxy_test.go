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
	faultNoNew   fault = "no-new"  // open connections live on, new ones are reset
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
	owner   func(connection *net.TCPConn) string // names who opened a connection; nil: not told apart
	fault   fault                                // for all
	cuts    map[string]fault                     // by owner, for that one alone
	changed chan struct{}                        // closed at the next change of a fault
	open    map[*net.TCPConn]string              // to the owner
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: listener.(*net.TCPListener), target: target, fault: faultNone, cuts: map[string]fault{}, changed: make(chan struct{}), open: map[*net.TCPConn]string{}}
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

// tellApart sets the function that names who opened a connection.
func (p *proxy) tellApart(owner func(connection *net.TCPConn) string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.owner = owner
}

// cut sets the fault of the connections of one owner, which applies while there is none
// for all.
func (p *proxy) cut(owner string, f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cuts[owner] = f
	close(p.changed)
	p.changed = make(chan struct{})
	if f != faultReset {
		return
	}
	for connection, opened := range p.open {
		if opened == owner {
			reset(connection)
		}
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
	p.mu.Lock()
	tell := p.owner
	p.mu.Unlock()
	owner := ""
	if tell != nil {
		owner = tell(caller)
	}
	if f, _ := p.currentFault(owner); f == faultReset || f == faultNoNew {
		reset(caller)
		return
	}
	connection, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(caller)
		return
	}
	callee := connection.(*net.TCPConn)
	p.track(owner, caller, callee)
	defer p.release(caller, callee)
	var both sync.WaitGroup
	both.Go(func() { p.copy(callee, caller, owner, true) })
	both.Go(func() { p.copy(caller, callee, owner, false) })
	both.Wait()
}

// copy forwards one direction of a connection until it ends.
func (p *proxy) copy(to, from *net.TCPConn, owner string, request bool) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		p.waitToPass(owner, request)
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
func (p *proxy) waitToPass(owner string, request bool) {
	clock := system.NewClock()
	for {
		f, changed := p.currentFault(owner)
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

// currentFault returns the fault of the connections of an owner, and a channel that is
// closed at the next change.
func (p *proxy) currentFault(owner string) (fault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f, ok := p.cuts[owner]; ok && p.fault == faultNone {
		return f, p.changed
	}
	return p.fault, p.changed
}

func (p *proxy) track(owner string, connections ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, connection := range connections {
		p.open[connection] = owner
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
