package crowd

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/peer/system"
)

const (
	// stuckTimeout is how long a member of a crowd waits for the daemon to read.
	stuckTimeout = 5 * time.Second
	// pieceBytes is the size of what a member of a crowd writes at once.
	pieceBytes = 32 << 10
	// receiveBufferBytes is the size of the receive buffer of a member of a crowd.
	receiveBufferBytes = 4 << 10
	// defaultRetryAfter is how long an ordinary caller waits if it is not told.
	defaultRetryAfter = 100 * time.Millisecond
)

// crowd holds connections to a daemon.
type crowd struct {
	mu     sync.Mutex
	conns  []net.Conn
	wrote  int // members that have written everything
	stuck  int // members that the daemon does not read from any more
	closed int // members whose connection the daemon has closed
}

// gather opens connections, writes to all of them at the same time, and returns once
// each member has written everything or cannot go on. The connections stay open.
func gather(t *testing.T, d *daemon, members int, write func(conn io.Writer, member int) error) *crowd {
	t.Helper()
	c := &crowd{}
	t.Cleanup(c.leave)
	var writing sync.WaitGroup
	for i := range members {
		writing.Go(func() { c.join(d.callers, func(w io.Writer) error { return write(w, i) }) })
	}
	writing.Wait()
	return c
}

func (c *crowd) join(address string, write func(io.Writer) error) {
	conn, err := net.DialTimeout("tcp", address, stuckTimeout)
	if err == nil {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(receiveBufferBytes) // the kernel may choose another
		}
		err = write(pieces{conn})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn != nil {
		c.conns = append(c.conns, conn)
	}
	switch {
	case err == nil:
		c.wrote++
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.stuck++
	default:
		c.closed++
	}
}

// leave closes all connections.
func (c *crowd) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}

func (c *crowd) outcome() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%d wrote all, %d stuck, %d closed", c.wrote, c.stuck, c.closed)
}

// pieces writes in pieces, each of which has to be taken within stuckTimeout.
type pieces struct {
	net.Conn
}

// Write implements io.Writer.
func (p pieces) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		if err := p.SetWriteDeadline(system.NewClock().Now().Add(stuckTimeout)); err != nil {
			return written, err
		}
		n, err := p.Conn.Write(b[written:min(written+pieceBytes, len(b))])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// head returns the head of a request without the empty line that ends it.
func head(method, service, key, id string, more ...string) string {
	lines := append([]string{
		method + " /" + service + "/x HTTP/1.1", "Host: h.example", "Request-Id: " + id, "Deadline-Ms: 30000", "X-Api-Key: " + key,
	}, more...)
	return strings.Join(lines, "\r\n") + "\r\n"
}

// answersOrdinary checks that the daemon answers an ordinary request. As callers do, it
// is sent again after a refusal or a failure.
func (d *daemon) answersOrdinary(t *testing.T) {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), hangTimeout)
	defer cancel()
	for attempt := 0; d.lives(); attempt++ {
		status, retryAfter := d.sendOrdinary(ctx, "ordinary-"+strconv.Itoa(attempt))
		if status == http.StatusOK {
			return
		}
		is.NoErr(system.NewClock().Sleep(ctx, retryAfter)) // no answer to an ordinary request
	}
	t.Fatal("the daemon has ended")
}

// sendOrdinary sends a small request on a connection of its own. It returns the status,
// 0 if there was no answer, and how long to wait before the next attempt.
func (d *daemon) sendOrdinary(ctx context.Context, id string) (status int, retryAfter time.Duration) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callers+"/"+serviceOrdinary+"/x", strings.NewReader("an ordinary body"))
	if err != nil {
		return 0, defaultRetryAfter
	}
	request.Host = "h.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("X-Api-Key", ordinaryKey)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, defaultRetryAfter
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, defaultRetryAfter
	}
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		return response.StatusCode, defaultRetryAfter
	}
	return response.StatusCode, time.Duration(seconds * float64(time.Second))
}

// exchange writes one request and returns the status of its answer.
func (d *daemon) exchange(write func(io.Writer) error) (status int, err error) {
	conn, err := net.DialTimeout("tcp", d.callers, stuckTimeout)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := write(conn); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
