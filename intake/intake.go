package intake

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/peer"
)

const (
	// SweepInterval is the time between two looks for connections that stand still.
	SweepInterval = time.Second
	// retryAfter is sent to callers whose request is refused for lack of room: the next
	// look ends what stands still.
	retryAfter = 500 * time.Millisecond
	// unlimited stands for an amount that is not limited.
	unlimited = 1 << 40
	// holderHeads holds the heads of all requests: their keys are not known yet.
	holderHeads = "\x00heads"
)

// reason is why a request is refused or a connection closed.
type reason string

const (
	reasonLargeHead   reason = "head-too-large"
	reasonHeads       reason = "memory-for-heads"
	reasonBody        reason = "memory-for-bodies"
	reasonRequests    reason = "requests"
	reasonConnections reason = "connections"
	reasonIdle        reason = "oldest-idle"
	reasonStalled     reason = "stalled"
)

// Answers to heads that are not read to their end. None has run.
const (
	answerLargeHead = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	answerNoMemory  = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.500\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// Intake holds a daemon within its limits, whatever callers send.
type Intake struct {
	limits       Limits
	maxHeadBytes func() int
	clock        peer.Clock
	logger       *zap.Logger
	metrics      *metrics
	bytes        *Account // of heads and bodies
	answers      *Account // bytes
	requests     *Account

	mu   sync.Mutex
	open map[*conn]*list.Element // the element of idle; nil for others
	idle *list.List              // of *conn, the longest idle first
}

// New returns an intake with limits. The function maxHeadBytes returns the largest size
// of a request's head.
func New(limits Limits, maxHeadBytes func() int, clock peer.Clock, logger *zap.Logger) *Intake {
	amount := func(limit int) int {
		if limit == 0 {
			return unlimited
		}
		return limit
	}
	i := &Intake{
		limits: limits, maxHeadBytes: maxHeadBytes, clock: clock, logger: logger,
		bytes: NewAccount(amount(limits.Bytes)), answers: NewAccount(amount(limits.AnswerBytes)), requests: NewAccount(amount(limits.Requests)),
		open: map[*conn]*list.Element{}, idle: list.New(),
	}
	i.metrics = newMetrics(i)
	return i
}

// Answers returns the account of the bytes of answers.
func (i *Intake) Answers() *Account {
	return i.answers
}

// Listen returns a listener whose connections stay within the limits.
func (i *Intake) Listen(listener net.Listener) net.Listener {
	return &limitedListener{Listener: listener, intake: i}
}

// limitedListener accepts connections within the limits.
type limitedListener struct {
	net.Listener
	intake *Intake
}

// Accept implements net.Listener. A connection beyond the limit closes the one that has
// been idle for longest, or is closed if there is none.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err // net/http looks at its type
		}
		c := &conn{Conn: accepted, intake: l.intake}
		if l.intake.add(c) {
			return c, nil
		}
		accepted.Close()
	}
}

// add adds a connection, and reports whether there is room for it.
func (i *Intake) add(c *conn) bool {
	evicted, ok := i.makeRoom(c)
	if evicted != nil {
		i.metrics.closed.WithLabelValues(string(reasonIdle)).Inc()
		evicted.abort()
	}
	if !ok {
		i.metrics.closed.WithLabelValues(string(reasonConnections)).Inc()
	}
	return ok
}

// makeRoom adds a connection if there is room, and returns the one that has to be closed
// for it.
func (i *Intake) makeRoom(c *conn) (evicted *conn, ok bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.limits.Connections > 0 && len(i.open) >= i.limits.Connections {
		oldest := i.idle.Front()
		if oldest == nil {
			return nil, false
		}
		evicted = i.idle.Remove(oldest).(*conn)
		delete(i.open, evicted)
	}
	i.open[c] = i.idle.PushBack(c)
	return evicted, true
}

// abort closes the connection below http.Server, whose reads and writes then fail.
func (c *conn) abort() {
	_ = c.Conn.Close() // it is closed once more by the server
}

func (i *Intake) remove(c *conn) {
	i.mu.Lock()
	if element := i.open[c]; element != nil {
		i.idle.Remove(element)
	}
	delete(i.open, c)
	i.mu.Unlock()
	if phase(c.phase.Swap(int32(phaseClosed))) == phaseIdle {
		c.returnHead() // the end of a request does so otherwise
	}
}

// setPhase moves a connection to a phase, and reports whether it is still open.
func (i *Intake) setPhase(c *conn, to phase) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	element, open := i.open[c]
	if !open {
		return false
	}
	c.phase.Store(int32(to))
	switch {
	case to == phaseIdle && element == nil:
		i.open[c] = i.idle.PushBack(c)
	case to != phaseIdle && element != nil:
		i.idle.Remove(element)
		i.open[c] = nil
	}
	return true
}

// Connections returns the number of open connections of callers.
func (i *Intake) Connections() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.open)
}

// Step implements control.Task. It closes connections on which a body or an answer has
// stood still.
func (i *Intake) Step(context.Context) {
	now := i.clock.Now()
	for _, c := range i.connections() {
		if c.standsStill(now, i.limits.Stall) {
			i.metrics.closed.WithLabelValues(string(reasonStalled)).Inc()
			i.logger.Info("connection of a caller closed", zap.String("why", string(reasonStalled)), zap.String("caller", c.RemoteAddr().String()))
			c.abort()
		}
	}
}

// connections returns the connections that are not idle.
func (i *Intake) connections() []*conn {
	i.mu.Lock()
	defer i.mu.Unlock()
	busy := make([]*conn, 0, len(i.open)-i.idle.Len())
	for c, element := range i.open {
		if element == nil {
			busy = append(busy, c)
		}
	}
	return busy
}

// standsStill reports whether a body or an answer has stood still for a time.
func (c *conn) standsStill(now time.Time, limit time.Duration) bool {
	if limit == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var still bool
	c.mark, still = stalled(c.mark, c.look(), now, limit)
	return still
}

func (i *Intake) refused(why reason) {
	i.metrics.refusals.WithLabelValues(string(why)).Inc()
}

// refusal returns the error of a request for which there is no room.
func (i *Intake) refusal(why reason) *models.Refusal {
	i.refused(why)
	return &models.Refusal{
		Code: models.RefusalNoRoom, Message: "this daemon has no room left for " + string(why),
		NotRun: true, RetryAfter: retryAfter,
	}
}

type connKey struct{}

// WithConn is the ConnContext of the http.Server that serves the listener.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	for {
		switch known := c.(type) {
		case *conn:
			return context.WithValue(ctx, connKey{}, known)
		case interface{ NetConn() net.Conn }:
			c = known.NetConn()
		default:
			return ctx
		}
	}
}

// lineCount returns the number of lines of a parsed header.
func lineCount(header http.Header) int {
	lines := 0
	for _, values := range header {
		lines += len(values)
	}
	return lines
}
