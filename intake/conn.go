package intake

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lineBytes is the memory that a line of a head costs once it is parsed, copied and
	// written to a backend server.
	lineBytes = 400
	// freeHeadBytes is the cost of a head that is part of its connection's own.
	freeHeadBytes = 16 << 10
	// headStepBytes is the step in which the cost above that is charged.
	headStepBytes = 16 << 10
	// headSlackBytes is what a read may have got beyond a head, as http.Server allows.
	headSlackBytes = 4 << 10
	// writeBytes is the size of the pieces in which answers are written, so that
	// progress shows.
	writeBytes = 16 << 10
	// lingerTime and lingerBytes bound what is read and dropped after a refusal: a
	// connection that is closed with unread bytes is reset, and the refusal with it.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

// phase is what a connection is about.
type phase int32

const (
	phaseIdle    phase = iota // no request, or a head that is not complete
	phaseBody                 // a request whose body is being read, or is not read at all
	phaseRunning              // a request that is being answered
	phaseDone                 // a request whose answer is complete, and may not be written yet
	phaseClosed
)

// conn is a connection of a caller.
type conn struct {
	net.Conn
	intake *Intake

	phase   atomic.Int32
	read    atomic.Int64 // bytes
	written atomic.Int64 // bytes
	writing atomic.Bool  // a write is in progress

	// Of the head that is being read, or of the request. Reads and requests of one
	// connection do not overlap but for the read of one byte ahead.
	headBytes int
	headLines int

	mu          sync.Mutex
	headCharged int // bytes
	mark        progress
}

// progress is a look at a connection.
type progress struct {
	phase   phase
	read    int64
	written int64
	writing bool
	since   time.Time // of the last progress
}

// Read implements net.Conn. It charges the bytes of a head before they are parsed.
// http.Server reads on only once an answer is written. While it handles a request it
// reads one byte ahead, which is not of a head that is being read.
func (c *conn) Read(b []byte) (int, error) {
	ahead := len(b) == 1
	if !ahead && phase(c.phase.Load()) == phaseDone {
		c.intake.setPhase(c, phaseIdle)
	}
	n, err := c.Conn.Read(b)
	if n <= 0 {
		return n, err
	}
	c.read.Add(int64(n))
	if !ahead && phase(c.phase.Load()) == phaseIdle {
		if refusal := c.countHead(b[:n]); refusal != "" {
			return 0, c.refuse(refusal)
		}
	}
	return n, err
}

// countHead charges a part of a head, and returns an answer if it may not be parsed.
func (c *conn) countHead(part []byte) (refusal string) {
	c.headBytes += len(part)
	c.headLines += bytes.Count(part, []byte{'\n'})
	if c.headBytes > c.intake.maxHeadBytes()+headSlackBytes {
		c.intake.refused(reasonLargeHead)
		return answerLargeHead
	}
	if !c.chargeHead(headCost(c.headBytes, c.headLines)) {
		c.intake.refused(reasonHeads)
		return answerNoMemory
	}
	return ""
}

// headCost returns the memory that a head costs.
func headCost(size, lines int) int {
	return 2*size + lines*lineBytes
}

// chargeHead charges the cost of a head as far as it is not charged yet, and reports
// whether there was room.
func (c *conn) chargeHead(cost int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	missing := cost - freeHeadBytes - c.headCharged
	if missing <= 0 {
		return true
	}
	missing = (missing + headStepBytes - 1) / headStepBytes * headStepBytes
	if !c.intake.bytes.Take(holderHeads, KindHead, missing) {
		return false
	}
	c.headCharged += missing
	return true
}

// settleHead returns what the head was charged beyond its cost: what was read with it may
// be part of a body.
func (c *conn) settleHead(cost int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	excess := c.headCharged - max(cost-freeHeadBytes, 0)
	if excess <= 0 {
		return
	}
	c.intake.bytes.Return(holderHeads, KindHead, excess)
	c.headCharged -= excess
}

// endRequest returns what the head was charged, before the next one begins. The next
// body and the next answer are not compared with this one's.
func (c *conn) endRequest() {
	c.headBytes, c.headLines = 0, 0
	c.returnHead()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mark = progress{}
}

// returnHead returns what the head was charged.
func (c *conn) returnHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.intake.bytes.Return(holderHeads, KindHead, c.headCharged)
	c.headCharged = 0
}

// refuse answers to a head that is not read to its end. It returns the error of a
// closed connection, which http.Server does not answer.
func (c *conn) refuse(answer string) error {
	// http.Server has the first part of the head until it gets the error.
	defer c.endRequest()
	c.intake.setPhase(c, phaseBody)
	deadline := c.intake.clock.Now().Add(lingerTime)
	// An error means that the caller has gone.
	_ = c.SetDeadline(deadline)
	_, _ = c.Conn.Write([]byte(answer))
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	scratch := make([]byte, headSlackBytes)
	for dropped := 0; dropped < lingerBytes; {
		n, err := c.Conn.Read(scratch)
		dropped += n
		if err != nil {
			break
		}
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
}

// Write implements net.Conn. It writes in pieces, so that progress shows.
func (c *conn) Write(b []byte) (int, error) {
	c.writing.Store(true)
	defer c.writing.Store(false)
	written := 0
	for {
		n, err := c.Conn.Write(b[written:min(written+writeBytes, len(b))])
		written += n
		c.written.Add(int64(n))
		if err != nil || written >= len(b) {
			return written, err
		}
	}
}

// CloseWrite closes the sending side.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.intake.remove(c)
	return c.Conn.Close()
}

// look returns the present state of the connection.
func (c *conn) look() progress {
	return progress{
		phase: phase(c.phase.Load()), read: c.read.Load(), written: c.written.Load(), writing: c.writing.Load(),
	}
}

// minProgressBytes is what has to be read of a body or written of an answer within the
// stall time.
const minProgressBytes = writeBytes

// stalled compares two looks at a connection and returns the later one, with the time of
// the last progress. It reports whether a body or an answer has stood still for a time.
func stalled(before, now progress, at time.Time, limit time.Duration) (progress, bool) {
	reading := now.phase == phaseBody && before.phase == phaseBody
	writing := now.writing && before.writing
	now.since = at
	switch {
	case !reading && !writing:
		return now, false
	case reading && now.read >= before.read+minProgressBytes:
		return now, false
	case writing && now.written >= before.written+minProgressBytes:
		return now, false
	}
	before.phase, before.writing = now.phase, now.writing
	return before, at.Sub(before.since) >= limit
}
