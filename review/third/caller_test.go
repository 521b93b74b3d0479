package third

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// call is a request of a caller.
type call struct {
	id       string
	host     string // empty: callerHost
	method   string
	path     string
	body     []byte
	deadline time.Duration
	header   map[string]string
	lines    http.Header // fields that come in several lines
}

// answer is what a caller gets.
type answer struct {
	status int // 0: none
	body   []byte
	signed bool
	taken  time.Duration
	err    error
}

// newCallers returns a client that keeps connections open for many requests.
func newCallers() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
}

// send sends a request to a daemon and waits for the answer until the deadline.
func (l *lab) send(client *http.Client, to string, c call) answer {
	ctx, cancel := context.WithTimeout(l.ctx, c.deadline)
	defer cancel()
	began := l.clock.Now()
	a := l.exchange(ctx, client, to, c)
	a.taken = l.clock.Now().Sub(began)
	return a
}

func (l *lab) exchange(ctx context.Context, client *http.Client, to string, c call) answer {
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+to+c.path, bytes.NewReader(c.body))
	if err != nil {
		return answer{err: errors.Trace(err)}
	}
	request.Host = cmp.Or(c.host, callerHost)
	request.Header.Set("Request-Id", c.id)
	request.Header.Set("X-Api-Key", callerKey)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	for name, values := range c.lines {
		request.Header[name] = values
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: errors.Trace(err)}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: body, signed: response.Header.Get("Upstream-Signature") != "", err: err}
}

// served reports whether the answer is a whole success of a backend server.
func (a answer) served() bool {
	return a.err == nil && a.status == http.StatusOK && a.signed
}
